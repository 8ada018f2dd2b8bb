// The agent's calls to its target, by the target's own protocol.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "agent_settings.h"
#include "dogwoodlatch/messages.h"

namespace dogwoodlatch::agent {

struct TargetHealth {
  std::string boot_id;
  std::string weights_version;
  uint64_t prefill_tokens_per_second = 0;
};

enum class CallEnd {
  kWhole,
  kCrashed,
  kError,
  kCancelled,
  kNotSent,  // the connection was refused
};

struct CallResult {
  CallEnd end = CallEnd::kError;
  int status = 0;
  std::string content_type;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t output_tokens = 0;
};

// The name of an attempt at the target.
RequestId RunIdOf(const Submit& order);

// Gets each part of an answer; blocks the call while it runs.
using PartHandler = std::function<void(std::string)>;

// Thread-safe; every call opens its own connection.
class TargetClient {
 public:
  explicit TargetClient(const AgentSettings& settings) : settings_(settings) {}

  // None when the target does not answer.
  std::optional<TargetHealth> CheckHealth() const;

  // Runs one order to its end, or until `cancelled` is seen set at the next
  // part of the answer.
  CallResult Run(const Submit& order, const std::atomic<bool>& cancelled,
                 const PartHandler& on_part) const;

 private:
  CallResult RunChat(const Submit& order, const std::atomic<bool>& cancelled,
                     const PartHandler& on_part) const;
  CallResult RunService(const Submit& order, const std::atomic<bool>& cancelled,
                        const PartHandler& on_part) const;

  const AgentSettings& settings_;
};

}  // namespace dogwoodlatch::agent
