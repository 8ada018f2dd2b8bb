/// Admission decisions of an agent: each submitted attempt is either admitted
/// or refused, and a refused one is not run.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// State of a target as last observed by its agent.
struct TargetState {
  Incarnation incarnation;
  std::string weights_version;
  bool healthy = false;
  uint64_t prefill_tokens_per_second = 0;
};

struct AgentLimits {
  uint32_t max_running = 64;
};

/// Builds the incarnation from the boot identifiers of agent and target.
Incarnation MakeIncarnation(std::string_view agent_boot_id,
                            std::string_view target_boot_id);

/// Whether the boot identifier and weights that a target names in its answer
/// are those the attempt was routed to. A target may restart or load other
/// weights between the agent's health check and the run.
bool MatchesRoutedTarget(const Submit& submit, std::string_view target_boot_id,
                         std::string_view weights_version);

/// Admission state of one agent. Not thread-safe; the daemon serializes access.
class AgentCore {
 public:
  explicit AgentCore(AgentLimits limits) : limits_(limits) {}

  /// Replaces the target's state after a health check, a loss or a restart.
  void SetTarget(TargetState target) { target_ = std::move(target); }

  /// Refuses new attempts from now on; running ones are completed.
  void StartDraining() { draining_ = true; }

  /// Whether this attempt was recently admitted; the caller drops duplicates.
  bool IsDuplicate(const Submit& submit) const;

  /// Admits the attempt and counts it as running, or returns the refusal.
  std::optional<Refused> Admit(const Submit& submit, TimePoint now);

  /// Handles the loss of the target during an attempt on `incarnation`. Returns
  /// the digests that were in flight, the same list for every attempt that the
  /// crash broke.
  std::vector<uint64_t> OnCrash(const Incarnation& incarnation);

  /// Releases an admitted attempt, however it ended.
  void OnEnded(const RequestId& request_id, uint32_t attempt);

  ProbeReply Answer(const Probe& probe) const;
  uint32_t running() const { return static_cast<uint32_t>(running_.size()); }
  const TargetState& target() const { return target_; }

 private:
  using AttemptKey = std::pair<RequestId, uint32_t>;

  struct RunningAttempt {
    uint64_t digest = 0;
    bool alone = false;
    uint32_t prompt_tokens = 0;
    Incarnation incarnation;
  };

  /// Blocks other attempts until the target is idle for a crash suspect.
  struct Reservation {
    uint64_t digest = 0;
    TimePoint until;
  };

  std::optional<RefusalReason> FindRefusal(const Submit& submit,
                                           TimePoint now) const;
  bool IsBusyAlone(const Submit& submit, TimePoint now) const;
  void RecordAttempt(const AttemptKey& key);
  void Reserve(const Submit& submit, TimePoint now);

  AgentLimits limits_;
  TargetState target_;
  bool draining_ = false;
  std::map<AttemptKey, RunningAttempt> running_;
  std::set<AttemptKey> recent_;
  std::deque<AttemptKey> recent_order_;
  std::optional<Reservation> reservation_;
  Incarnation crashed_incarnation_;
  std::vector<uint64_t> crash_suspects_;
  uint64_t queued_tokens_ = 0;
};

}  // namespace dogwoodlatch
