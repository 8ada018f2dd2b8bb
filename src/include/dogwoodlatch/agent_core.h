/// An agent's decisions about the requests it is ordered to run: run, or refuse
/// with a proof of not run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// What an agent knows of its target at one moment.
struct TargetState {
  Incarnation incarnation;
  std::string weights_version;
  bool healthy = false;
  uint64_t prefill_tokens_per_second = 0;
};

struct AgentLimits {
  uint32_t max_running = 64;
};

/// Admission and state of one agent. Not thread-safe; the daemon guards it.
class AgentCore {
 public:
  explicit AgentCore(AgentLimits limits) : limits_(limits) {}

  /// The target answered a health check, was lost, or came back as another
  /// incarnation.
  void SetTarget(TargetState target) { target_ = std::move(target); }

  /// From now on new work is refused; what runs is finished.
  void StartDraining() { draining_ = true; }

  /// Admits the attempt, which then counts as running, or gives the refusal.
  std::optional<Refused> Admit(const Submit& submit);

  /// An admitted attempt ended, in whatever way.
  void OnEnded(uint32_t prompt_tokens);

  ProbeReply Answer(const Probe& probe) const;
  uint32_t running() const { return running_; }

 private:
  std::optional<RefusalReason> FindRefusal(const Submit& submit) const;

  AgentLimits limits_;
  TargetState target_;
  bool draining_ = false;
  uint32_t running_ = 0;
  uint64_t queued_tokens_ = 0;
};

}  // namespace dogwoodlatch
