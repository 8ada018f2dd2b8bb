// Schema and parser of the router's settings file.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "caller_server.h"
#include "dogwoodlatch/quarantine.h"
#include "dogwoodlatch/request_lifecycle.h"
#include "dogwoodlatch/retry_budget.h"
#include "dogwoodlatch/schema.h"
#include "dogwoodlatch/util/platform_sync.h"

namespace dogwoodlatch::router {

struct RouterSettings {
  std::string id;
  std::string failure_domain;
  std::string caller_address;
  std::string ops_address;
  PlatformSyncOptions platform;
  CallerLimits caller_limits;
  std::chrono::milliseconds probe_timeout{0};
  std::chrono::milliseconds connect_timeout{0};
  size_t max_candidates = 0;
  std::chrono::milliseconds drain_timeout{0};
  std::vector<std::string> peers;  // ops addresses of the other routers
  RetryPolicy retry;
  RetryBudgetLimits retry_budget;
  QuarantineLimits quarantine;
};

std::span<const KeySpec> RouterSchema();

// Converts a document that is valid and has its defaults filled in.
RouterSettings ParseRouterSettings(const nlohmann::json& document);

}  // namespace dogwoodlatch::router
