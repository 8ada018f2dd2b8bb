#include "dogwoodlatch/idempotent_lifecycle.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {
namespace {

constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxPause = std::chrono::milliseconds(400);

bool IsFinalRefusal(RefusalReason reason) {
  return reason == RefusalReason::kQuarantined ||
         reason == RefusalReason::kKeyReused;
}

// The target is healthy; only the router's view of it was out of date.
bool IsStaleRoute(RefusalReason reason) {
  return reason == RefusalReason::kStaleIncarnation ||
         reason == RefusalReason::kStaleWeights;
}

Outcome MakeRejected(OutcomeReason reason, Duration retry_after = Duration(0)) {
  return {OutcomeKind::kRejected, reason, retry_after, {}};
}

}  // namespace

IdempotentLifecycle::IdempotentLifecycle(RequestPlan plan)
    : plan_(std::move(plan)),
      random_(static_cast<std::minstd_rand::result_type>(plan_.random_seed)) {}

std::vector<RequestCommand> IdempotentLifecycle::Start() {
  if (plan_.suspicion == Suspicion::kQuarantined) {
    return End(MakeRejected(OutcomeReason::kQuarantined));
  }
  return Choose(false);
}

std::vector<RequestCommand> IdempotentLifecycle::Handle(
    const RequestEvent& event) {
  if (phase_ == Phase::kEnded) return {};
  return std::visit([this](const auto& e) { return On(e); }, event);
}

std::vector<RequestCommand> IdempotentLifecycle::OnTimer() {
  if (phase_ == Phase::kEnded || now_ < wake_at_) return {};
  if (phase_ == Phase::kPausing) {
    return retry_same_target_ ? Send() : Choose(true);
  }
  if (phase_ != Phase::kRunning) return {};
  RecordTargetFailure();
  return CancelAndRetry(OutcomeReason::kStreamBroken);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(
    const TargetChosen& event) {
  if (phase_ != Phase::kChoosing) return {};
  if (event.suspicion == Suspicion::kQuarantined) {
    return End(MakeRejected(OutcomeReason::kQuarantined));
  }
  const FailedIncarnation failed{event.target, event.incarnation};
  if (std::ranges::find(failed_incarnations_, failed) !=
      failed_incarnations_.end()) {
    avoid_.push_back(event.target);
    return Choose(false);
  }
  target_ = event;
  run_alone_ = event.suspicion == Suspicion::kSuspect;
  return Send();
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(
    const NoTargetFound& event) {
  if (phase_ != Phase::kChoosing) return {};
  Outcome fallback = MakeFailure(event.reason, event.retry_after);
  if (event.reason == OutcomeReason::kRetryBudget || attempt_ == 0) {
    return End(std::move(fallback));
  }
  return Pause(std::move(fallback), false);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Refused& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  // A refusal proves that nothing ran, so one that follows parts of the answer
  // is ignored.
  if (next_sequence_ > 0) return {};
  phase_ = Phase::kChoosing;
  if (IsFinalRefusal(event.reason)) {
    return End(MakeRejected(ToOutcomeReason(event.reason), event.retry_after));
  }
  if (event.reason == RefusalReason::kBusyAlone && run_alone_) {
    return Pause(MakeFailure(OutcomeReason::kOverloaded, event.retry_after),
                 true);
  }
  // The target with the lowest cost cannot meet the deadline, so the others
  // cannot either; a retry would only take queue space from other requests.
  if (event.reason == RefusalReason::kTooLate && delivered_text_.empty()) {
    return End(MakeFailure(OutcomeReason::kOverloaded, event.retry_after));
  }
  if (!IsStaleRoute(event.reason)) avoid_.push_back(target_.target);
  // A draining target counts neither as a failed attempt nor against the retry
  // budget.
  if (event.reason == RefusalReason::kDraining) return Choose(false);
  return RetryElsewhere(ToOutcomeReason(event.reason), event.retry_after);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Chunk& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence < next_sequence_) return {};
  if (event.sequence > next_sequence_) {
    avoid_.push_back(target_.target);
    return CancelAndRetry(OutcomeReason::kStreamBroken);
  }
  ++next_sequence_;
  may_have_run_ = true;
  wake_at_ = now_ + plan_.retry.part_timeout;
  delivered_text_ += event.data;
  if (!plan_.can_continue) return {};
  return {Deliver{event.data}};
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Finished& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence != next_sequence_) {
    avoid_.push_back(target_.target);
    return CancelAndRetry(OutcomeReason::kStreamBroken);
  }
  phase_ = Phase::kChoosing;
  Commands commands;
  if (!plan_.can_continue && !delivered_text_.empty()) {
    commands.push_back(Deliver{delivered_text_});
  }
  const Commands end = End({OutcomeKind::kComplete, OutcomeReason::kNone,
                            Duration(0), event, plan_.idempotent});
  commands.insert(commands.end(), end.begin(), end.end());
  return commands;
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Broken& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  phase_ = Phase::kChoosing;
  may_have_run_ = true;
  // A planned handover counts neither as a failed attempt nor against the retry
  // budget.
  if (event.cause == BreakCause::kHandedOver && plan_.idempotent) {
    avoid_.push_back(target_.target);
    return Choose(false);
  }
  if (event.cause == BreakCause::kTargetCrashed && run_alone_) {
    return End(MakeRejected(OutcomeReason::kQuarantined));
  }
  RecordTargetFailure();
  return RetryAfterLoss(event.cause == BreakCause::kDeadline
                            ? OutcomeReason::kDeadline
                            : OutcomeReason::kTargetLost);
}

// A lost connection is no evidence against the target, which may be tried again
// once no other is left.
IdempotentLifecycle::Commands IdempotentLifecycle::On(
    const ConnectionLost& event) {
  if (event.attempt != attempt_ || phase_ != Phase::kRunning) return {};
  avoid_.push_back(target_.target);
  return CancelAndRetry(OutcomeReason::kTargetLost);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const CallerGone&) {
  return End(MakeFailure(OutcomeReason::kCallerGone, Duration(0)));
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const DeadlineReached&) {
  return End(MakeFailure(OutcomeReason::kDeadline, Duration(0)));
}

bool IdempotentLifecycle::IsCurrent(const RequestId& request_id,
                                    uint32_t attempt) const {
  return phase_ == Phase::kRunning && attempt == attempt_ &&
         request_id == plan_.request_id;
}

IdempotentLifecycle::Commands IdempotentLifecycle::Send() {
  ++attempt_;
  phase_ = Phase::kRunning;
  next_sequence_ = 0;
  wake_at_ = now_ + plan_.retry.first_part_timeout;
  return {SendAttempt{target_.target,
                      attempt_,
                      target_.incarnation,
                      target_.weights_version,
                      delivered_text_,
                      {},
                      run_alone_}};
}

IdempotentLifecycle::Commands IdempotentLifecycle::Choose(bool spends_budget) {
  phase_ = Phase::kChoosing;
  wake_at_ = TimePoint::max();
  return {ChooseTargetCommand{avoid_, {}, spends_budget}};
}

// Exponential back-off with equal jitter. A suspect that waits for its target
// to become idle pauses for as long as its deadline allows; other requests give
// up after `max_pauses` pauses.
IdempotentLifecycle::Commands IdempotentLifecycle::Pause(Outcome fallback,
                                                         bool same_target) {
  if (!same_target && pauses_ >= plan_.retry.max_pauses) {
    return End(std::move(fallback));
  }
  const Duration doubled = plan_.retry.pause_base * (1 << pauses_);
  const Duration bound =
      same_target ? plan_.retry.pause_base : std::min(kMaxPause, doubled);
  std::uniform_int_distribution<Duration::rep> pick(bound.count() / 2,
                                                    bound.count());
  const Duration pause(pick(random_));
  if (now_ + pause >= plan_.deadline) return End(std::move(fallback));
  if (!same_target) {
    ++pauses_;
    avoid_.clear();
  }
  retry_same_target_ = same_target;
  phase_ = Phase::kPausing;
  wake_at_ = now_ + pause;
  return {};
}

IdempotentLifecycle::Commands IdempotentLifecycle::RetryElsewhere(
    OutcomeReason reason, Duration retry_after) {
  ++failed_attempts_;
  if (failed_attempts_ >= plan_.retry.max_attempts) {
    return End(MakeFailure(reason, retry_after));
  }
  return Choose(true);
}

// The attempt may have run, so only an idempotent request may be retried. An
// answer that cannot be continued is restarted from the beginning.
IdempotentLifecycle::Commands IdempotentLifecycle::RetryAfterLoss(
    OutcomeReason reason) {
  phase_ = Phase::kChoosing;
  may_have_run_ = true;
  if (!plan_.idempotent || reason == OutcomeReason::kDeadline) {
    return End(MakeFailure(reason, Duration(0)));
  }
  if (!plan_.can_continue) delivered_text_.clear();
  return RetryElsewhere(reason, Duration(0));
}

IdempotentLifecycle::Commands IdempotentLifecycle::CancelAndRetry(
    OutcomeReason reason) {
  Commands commands = {CancelAttempt{target_.target, attempt_}};
  const Commands retry = RetryAfterLoss(reason);
  commands.insert(commands.end(), retry.begin(), retry.end());
  return commands;
}

void IdempotentLifecycle::RecordTargetFailure() {
  avoid_.push_back(target_.target);
  failed_incarnations_.push_back({target_.target, target_.incarnation});
}

// A request that was sent to a target and not refused may have run, so it is
// never reported as not run.
Outcome IdempotentLifecycle::MakeFailure(OutcomeReason reason,
                                         Duration retry_after) const {
  const bool ran = may_have_run_ || phase_ == Phase::kRunning;
  return {ran ? OutcomeKind::kUnknown : OutcomeKind::kNotRun,
          reason,
          retry_after > Duration(0) ? retry_after : kDefaultRetryAfter,
          {},
          plan_.idempotent};
}

IdempotentLifecycle::Commands IdempotentLifecycle::End(Outcome outcome) {
  Commands commands;
  if (phase_ == Phase::kRunning) {
    commands.push_back(CancelAttempt{target_.target, attempt_});
  }
  phase_ = Phase::kEnded;
  wake_at_ = TimePoint::max();
  commands.push_back(ReportOutcome{std::move(outcome)});
  return commands;
}

}  // namespace dogwoodlatch
