/// State machine of one idempotent request.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "dogwoodlatch/request_lifecycle.h"

namespace dogwoodlatch {

/// Lifecycle of a request that is safe to retry: a lost attempt is continued on
/// another target from the text already delivered. A silent target keeps the
/// request until another one answers; whichever of them answers first keeps it.
class IdempotentLifecycle : public RequestLifecycle {
 public:
  explicit IdempotentLifecycle(RequestPlan plan);

  std::vector<RequestCommand> Start() override;

  std::vector<RequestCommand> Handle(const RequestEvent& event) override;

  void Advance(TimePoint now) override { now_ = now; }

  TimePoint WakeAt() const override { return wake_at_; }

  std::vector<RequestCommand> OnTimer() override;

 private:
  using Commands = std::vector<RequestCommand>;

  enum class Phase { kChoosing, kRunning, kPausing, kEnded };

  /// A target incarnation that failed this request.
  struct FailedIncarnation {
    TargetId target;
    Incarnation incarnation;

    bool operator==(const FailedIncarnation&) const = default;
  };

  /// An attempt that may still answer.
  struct Attempt {
    TargetChosen target;
    uint32_t number = 0;
    bool run_alone = false;
    bool is_silent = false;  ///< another target was asked because of it
    uint64_t next_sequence = 0;
    std::string text;  ///< held back, if the answer can't be continued
  };

  Commands On(const TargetChosen& event);
  Commands On(const NoTargetFound& event);
  Commands On(const Refused& event);
  Commands On(const Chunk& event);
  Commands On(const Finished& event);
  Commands On(const Broken& event);
  Commands On(const ConnectionLost& event);
  Commands On(const CallerGone& event);
  Commands On(const DeadlineReached& event);

  Attempt* FindOpen(const RequestId& request_id, uint32_t number);
  Attempt Remove(uint32_t number);
  Commands Send(const TargetChosen& target);
  Commands KeepOnly(uint32_t number);
  Commands CancelAll();
  Commands Choose(bool spends_budget);
  Commands Pause(Outcome fallback, bool same_target);
  Commands RetryElsewhere(OutcomeReason reason, Duration retry_after);
  Commands RetryAfterLoss(const Attempt& lost, OutcomeReason reason);
  Commands CancelAndRetry(uint32_t number, OutcomeReason reason);
  void RecordTargetFailure(const Attempt& attempt);
  Outcome MakeFailure(OutcomeReason reason, Duration retry_after) const;
  Commands Wait();
  Commands EndUnlessOpen(Outcome outcome);
  Commands End(Outcome outcome);

  RequestPlan plan_;
  std::minstd_rand random_;
  TimePoint now_;
  TimePoint wake_at_ = TimePoint::max();
  Phase phase_ = Phase::kChoosing;
  std::vector<Attempt> open_;  ///< oldest first, at most two
  TargetChosen last_target_;
  uint32_t attempts_ = 0;
  uint32_t failed_attempts_ = 0;
  uint32_t pauses_ = 0;
  bool retry_same_target_ = false;
  bool may_have_run_ = false;
  std::vector<TargetId> avoid_;
  std::vector<FailedIncarnation> failed_incarnations_;
  std::string delivered_text_;
};

}  // namespace dogwoodlatch
