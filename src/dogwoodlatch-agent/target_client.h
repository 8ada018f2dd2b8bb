// The agent's calls to its target, by the target's own protocol.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

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
  kNotSent,  // the target refused the connection: nothing ran
  kCrashed,
  kError,
  kCancelled
};

// Stops one call from another thread, also while the call waits. Thread-safe.
class Cancellation {
 public:
  // The first cause stays.
  void Cancel(BreakCause cause);
  bool is_cancelled() const { return cancelled_; }
  BreakCause cause() const;

  // While attached, Cancel also calls `stop`.
  void Attach(std::function<void()> stop);
  void Detach() { Attach(nullptr); }

 private:
  mutable std::mutex mutex_;
  std::atomic<bool> cancelled_{false};
  BreakCause cause_ = BreakCause::kCancelled;
  std::function<void()> stop_;
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
RequestId MakeRunId(const Submit& order);

// Gets each part of an answer; blocks the call while it runs.
using PartHandler = std::function<void(std::string)>;

// Thread-safe; every call opens its own connection.
class TargetClient {
 public:
  explicit TargetClient(const AgentSettings& settings) : settings_(settings) {}

  // None when the target does not answer.
  std::optional<TargetHealth> CheckHealth() const;

  // Runs one order to its end, or until it is cancelled.
  CallResult Run(const Submit& order, Cancellation& cancellation,
                 const PartHandler& on_part) const;

 private:
  CallResult RunChat(const Submit& order, Cancellation& cancellation,
                     const PartHandler& on_part) const;
  CallResult RunService(const Submit& order, Cancellation& cancellation,
                        const PartHandler& on_part) const;

  const AgentSettings& settings_;
};

}  // namespace dogwoodlatch::agent
