/// State machine of one idempotent request.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "dogwoodlatch/request_lifecycle.h"

namespace dogwoodlatch {

/// Lifecycle of a request that is safe to retry: a lost attempt is continued on
/// another target from the text already delivered.
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

  Commands On(const TargetChosen& event);
  Commands On(const NoTargetFound& event);
  Commands On(const Refused& event);
  Commands On(const Chunk& event);
  Commands On(const Finished& event);
  Commands On(const Broken& event);
  Commands On(const ConnectionLost& event);
  Commands On(const CallerGone& event);
  Commands On(const DeadlineReached& event);

  bool IsCurrent(const RequestId& request_id, uint32_t attempt) const;
  Commands Send();
  Commands Choose(bool spends_budget);
  Commands Pause(Outcome fallback, bool same_target);
  Commands RetryElsewhere(OutcomeReason reason, Duration retry_after);
  Commands RetryAfterLoss(OutcomeReason reason);
  Commands CancelAndRetry(OutcomeReason reason);
  void RecordTargetFailure();
  Outcome MakeFailure(OutcomeReason reason, Duration retry_after) const;
  Commands End(Outcome outcome);

  RequestPlan plan_;
  std::minstd_rand random_;
  TimePoint now_;
  TimePoint wake_at_ = TimePoint::max();
  Phase phase_ = Phase::kChoosing;
  TargetChosen target_;
  uint32_t attempt_ = 0;
  uint32_t failed_attempts_ = 0;
  uint32_t pauses_ = 0;
  bool retry_same_target_ = false;
  bool run_alone_ = false;
  bool may_have_run_ = false;
  uint64_t next_sequence_ = 0;
  std::vector<TargetId> avoid_;
  std::vector<FailedIncarnation> failed_incarnations_;
  std::string delivered_text_;
};

}  // namespace dogwoodlatch
