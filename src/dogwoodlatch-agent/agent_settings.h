// Schema and parser of the agent's settings file.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <string>

#include "dogwoodlatch/admission_queue.h"
#include "dogwoodlatch/agent_core.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/schema.h"
#include "dogwoodlatch/util/platform_client.h"

namespace dogwoodlatch::agent {

struct AgentSettings {
  std::string id;
  TargetId target_id;
  PlatformClientOptions platform;
  std::string router_address;
  std::string ops_address;
  RequestKind target_kind = RequestKind::kChat;
  std::string target_address;
  std::chrono::milliseconds health_interval{0};
  std::chrono::milliseconds target_timeout{0};
  AgentLimits limits;
  AdmissionLimits admission;
  std::chrono::milliseconds drain_timeout{0};
  std::chrono::milliseconds handover_after{0};
};

std::span<const KeySpec> AgentSchema();

// Converts a document that is valid and has its defaults filled in.
AgentSettings ParseAgentSettings(const nlohmann::json& document);

}  // namespace dogwoodlatch::agent
