// Client for the agent's calls to its target, over the target's HTTP protocol.
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

enum class CallOutcome {
  kComplete,  // complete response received
  kNotSent,   // connecting failed: nothing ran
  kLost,      // failed after connecting; the target may have crashed
  kError,     // response without end marker, or from another incarnation
              // or other weights
  kCancelled
};

// Cancels one call from another thread, even while the call is blocked.
// Thread-safe.
class Cancellation {
 public:
  // Only the first call has an effect; its cause is kept.
  void Cancel(BreakCause cause);
  bool is_cancelled() const { return cancelled_; }
  BreakCause cause() const;

  // Until Detach, Cancel also calls `stop`. If already cancelled, calls it
  // immediately.
  void Attach(std::function<void()> stop);
  void Detach() { Attach(nullptr); }

 private:
  mutable std::mutex mutex_;
  std::atomic<bool> cancelled_{false};
  BreakCause cause_ = BreakCause::kCancelled;
  std::function<void()> stop_;
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kError;
  int status = 0;
  std::string content_type;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t output_tokens = 0;
};

// Returns the request id that identifies one attempt of an order at the target.
RequestId MakeRunId(const Submit& order);

// Receives each part of a response. The call is blocked while the handler runs.
using PartHandler = std::function<void(std::string)>;

// Opens a new connection for each call. Thread-safe.
class TargetClient {
 public:
  explicit TargetClient(const AgentSettings& settings) : settings_(settings) {}

  // Returns none if the target does not respond with a valid state.
  std::optional<TargetHealth> CheckHealth() const;

  // Runs one order until it ends or is cancelled.
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
