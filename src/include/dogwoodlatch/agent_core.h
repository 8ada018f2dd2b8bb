/// An agent's decisions about the requests it is ordered to run: run, or refuse
/// with a proof of not run.
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

/// The incarnation of an agent's life and its target's life together.
Incarnation MakeIncarnation(std::string_view agent_boot_id,
                            std::string_view target_boot_id);

/// Whether an answer that names this life of the target and these weights is
/// the one that the order was routed on. A target may restart or load other
/// weights between the agent's health check and the run.
bool MatchesRoutedTarget(const Submit& order, std::string_view target_boot_id,
                         std::string_view weights_version);

/// Admission and state of one agent. Not thread-safe; the daemon guards it.
class AgentCore {
 public:
  explicit AgentCore(AgentLimits limits) : limits_(limits) {}

  /// The target answered a health check, was lost, or came back as another
  /// incarnation.
  void SetTarget(TargetState target) { target_ = std::move(target); }

  /// From now on new work is refused; what runs is finished.
  void StartDraining() { draining_ = true; }

  /// Whether this attempt was admitted before; a copy of it is dropped.
  bool IsDuplicate(const Submit& submit) const;

  /// Admits the attempt, which then counts as running, or gives the refusal.
  std::optional<Refused> Admit(const Submit& submit, TimePoint now);

  /// The target was lost under an admitted attempt of this incarnation. Returns
  /// the digests that were in flight; the same ones for each attempt that the
  /// crash broke.
  std::vector<uint64_t> OnCrash(const Incarnation& incarnation);

  /// An admitted attempt ended, in whatever way.
  void OnEnded(const RequestId& request_id, uint32_t attempt);

  ProbeReply AnswerProbe(const Probe& probe) const;
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

  /// Keeps new work away until the target has run empty for a suspect.
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
