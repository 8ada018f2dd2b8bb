#include "dogwoodlatch/idempotent_lifecycle.h"

#include <algorithm>
#include <iterator>
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

// A silent target may go on at any moment, so it keeps the request while
// another one is chosen and asked.
std::vector<RequestCommand> IdempotentLifecycle::OnTimer() {
  if (phase_ == Phase::kEnded || now_ < wake_at_) return {};
  if (phase_ == Phase::kPausing) {
    return retry_same_target_ ? Send(last_target_) : Choose(true);
  }
  if (phase_ != Phase::kRunning) return {};
  if (!plan_.idempotent || failed_attempts_ + 1 >= plan_.retry.max_attempts) {
    wake_at_ = TimePoint::max();
    return {};
  }
  return Choose(true);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(
    const TargetChosen& event) {
  if (phase_ != Phase::kChoosing) return {};
  if (event.suspicion == Suspicion::kQuarantined) {
    return EndUnlessOpen(MakeRejected(OutcomeReason::kQuarantined));
  }
  const FailedIncarnation failed{event.target, event.incarnation};
  if (std::ranges::find(failed_incarnations_, failed) !=
      failed_incarnations_.end()) {
    avoid_.push_back(event.target);
    return Choose(false);
  }
  return Send(event);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(
    const NoTargetFound& event) {
  if (phase_ != Phase::kChoosing) return {};
  if (!open_.empty()) return Wait();
  Outcome fallback = MakeFailure(event.reason, event.retry_after);
  if (event.reason == OutcomeReason::kRetryBudget || attempts_ == 0) {
    return End(std::move(fallback));
  }
  return Pause(std::move(fallback), false);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Refused& event) {
  const Attempt* open = FindOpen(event.request_id, event.attempt);
  // A refusal proves that nothing ran, so one that follows parts of the answer
  // is ignored.
  if (open == nullptr || open->next_sequence > 0) return {};
  const Attempt refused = Remove(event.attempt);
  const TargetId& target = refused.target.target;
  // The target that was asked later has the request.
  if (refused.is_silent && !open_.empty()) {
    if (!IsStaleRoute(event.reason)) avoid_.push_back(target);
    return {};
  }
  phase_ = Phase::kChoosing;
  if (IsFinalRefusal(event.reason)) {
    return EndUnlessOpen(
        MakeRejected(ToOutcomeReason(event.reason), event.retry_after));
  }
  if (event.reason == RefusalReason::kBusyAlone && refused.run_alone) {
    return Pause(MakeFailure(OutcomeReason::kOverloaded, event.retry_after),
                 true);
  }
  // The target with the lowest cost cannot meet the deadline, so the others
  // cannot either; a retry would only take queue space from other requests.
  if (event.reason == RefusalReason::kTooLate && delivered_text_.empty()) {
    return EndUnlessOpen(
        MakeFailure(OutcomeReason::kOverloaded, event.retry_after));
  }
  if (!IsStaleRoute(event.reason)) avoid_.push_back(target);
  // A draining target counts neither as a failed attempt nor against the retry
  // budget.
  if (event.reason == RefusalReason::kDraining) return Choose(false);
  return RetryElsewhere(ToOutcomeReason(event.reason), event.retry_after);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Chunk& event) {
  Attempt* open = FindOpen(event.request_id, event.attempt);
  if (open == nullptr || event.sequence < open->next_sequence) return {};
  if (event.sequence > open->next_sequence) {
    avoid_.push_back(open->target.target);
    return CancelAndRetry(event.attempt, OutcomeReason::kStreamBroken);
  }
  Commands commands = KeepOnly(event.attempt);
  Attempt& attempt = open_.front();
  ++attempt.next_sequence;
  attempt.is_silent = false;
  may_have_run_ = true;
  wake_at_ = now_ + plan_.retry.part_timeout;
  if (plan_.can_continue) {
    delivered_text_ += event.data;
    commands.push_back(Deliver{event.data});
  } else {
    attempt.text += event.data;
  }
  return commands;
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Finished& event) {
  const Attempt* open = FindOpen(event.request_id, event.attempt);
  if (open == nullptr) return {};
  if (event.sequence != open->next_sequence) {
    avoid_.push_back(open->target.target);
    return CancelAndRetry(event.attempt, OutcomeReason::kStreamBroken);
  }
  const Attempt finished = Remove(event.attempt);
  Commands commands = CancelAll();
  if (!finished.text.empty()) commands.push_back(Deliver{finished.text});
  std::ranges::move(End({OutcomeKind::kComplete, OutcomeReason::kNone,
                         Duration(0), event, plan_.idempotent}),
                    std::back_inserter(commands));
  return commands;
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const Broken& event) {
  if (FindOpen(event.request_id, event.attempt) == nullptr) return {};
  const Attempt broken = Remove(event.attempt);
  may_have_run_ = true;
  // A planned handover counts neither as a failed attempt nor against the retry
  // budget.
  if (event.cause == BreakCause::kHandedOver && plan_.idempotent) {
    avoid_.push_back(broken.target.target);
    if (broken.is_silent && !open_.empty()) return {};
    return Choose(false);
  }
  RecordTargetFailure(broken);
  if (event.cause != BreakCause::kTargetCrashed) {
    return RetryAfterLoss(broken, event.cause == BreakCause::kDeadline
                                      ? OutcomeReason::kDeadline
                                      : OutcomeReason::kTargetLost);
  }
  if (broken.run_alone) {
    return End(MakeRejected(OutcomeReason::kQuarantined));
  }
  // The request may have caused the crash, so no other target may go on with it
  // before it runs alone.
  Commands commands = CancelAll();
  std::ranges::move(RetryAfterLoss(broken, OutcomeReason::kTargetLost),
                    std::back_inserter(commands));
  return commands;
}

// A lost connection is no evidence against the target, which may be tried again
// once no other is left.
IdempotentLifecycle::Commands IdempotentLifecycle::On(
    const ConnectionLost& event) {
  const Attempt* open = FindOpen(plan_.request_id, event.attempt);
  if (open == nullptr) return {};
  avoid_.push_back(open->target.target);
  return CancelAndRetry(event.attempt, OutcomeReason::kTargetLost);
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const CallerGone&) {
  return End(MakeFailure(OutcomeReason::kCallerGone, Duration(0)));
}

IdempotentLifecycle::Commands IdempotentLifecycle::On(const DeadlineReached&) {
  return End(MakeFailure(OutcomeReason::kDeadline, Duration(0)));
}

IdempotentLifecycle::Attempt* IdempotentLifecycle::FindOpen(
    const RequestId& request_id, uint32_t number) {
  if (request_id != plan_.request_id) return nullptr;
  const auto found = std::ranges::find(open_, number, &Attempt::number);
  return found == open_.end() ? nullptr : &*found;
}

IdempotentLifecycle::Attempt IdempotentLifecycle::Remove(uint32_t number) {
  const auto found = std::ranges::find(open_, number, &Attempt::number);
  Attempt removed = std::move(*found);
  open_.erase(found);
  return removed;
}

// The silent target that is open keeps the request, unless a third one is asked
// or the request must run alone.
IdempotentLifecycle::Commands IdempotentLifecycle::Send(
    const TargetChosen& target) {
  const bool run_alone = target.suspicion == Suspicion::kSuspect;
  Commands commands;
  if (!open_.empty()) {
    Attempt& silent = open_.back();
    if (!std::exchange(silent.is_silent, true)) ++failed_attempts_;
    commands = run_alone ? CancelAll() : KeepOnly(silent.number);
  }
  last_target_ = target;
  ++attempts_;
  Attempt& attempt = open_.emplace_back();
  attempt.target = target;
  attempt.number = attempts_;
  attempt.run_alone = run_alone;
  phase_ = Phase::kRunning;
  wake_at_ = now_ + plan_.retry.first_part_timeout;
  commands.push_back(SendAttempt{target.target,
                                 attempts_,
                                 target.incarnation,
                                 target.weights_version,
                                 delivered_text_,
                                 {},
                                 run_alone});
  return commands;
}

// Cancels the other attempts. A target that was left for its silence is avoided
// at first, as any other that did not answer.
IdempotentLifecycle::Commands IdempotentLifecycle::KeepOnly(uint32_t number) {
  Commands commands;
  for (const Attempt& attempt : open_) {
    if (attempt.number == number) continue;
    if (attempt.is_silent) avoid_.push_back(attempt.target.target);
    may_have_run_ = true;
    commands.push_back(CancelAttempt{attempt.target.target, attempt.number});
  }
  std::erase_if(open_, [number](const Attempt& attempt) {
    return attempt.number != number;
  });
  if (!open_.empty()) phase_ = Phase::kRunning;
  return commands;
}

IdempotentLifecycle::Commands IdempotentLifecycle::CancelAll() {
  return KeepOnly(0);
}

IdempotentLifecycle::Commands IdempotentLifecycle::Choose(bool spends_budget) {
  phase_ = Phase::kChoosing;
  wake_at_ = TimePoint::max();
  std::vector<TargetId> avoid = avoid_;
  std::ranges::transform(
      open_, std::back_inserter(avoid),
      [](const Attempt& attempt) { return attempt.target.target; });
  return {ChooseTargetCommand{std::move(avoid), {}, spends_budget}};
}

// Exponential back-off with equal jitter. A suspect that waits for its target
// to become idle pauses for as long as its deadline allows; other requests give
// up after `max_pauses` pauses.
IdempotentLifecycle::Commands IdempotentLifecycle::Pause(Outcome fallback,
                                                         bool same_target) {
  if (!open_.empty()) return Wait();
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
    return EndUnlessOpen(MakeFailure(reason, retry_after));
  }
  return Choose(true);
}

// The attempt may have run, so only an idempotent request may be retried. An
// answer that cannot be continued is restarted from the beginning.
IdempotentLifecycle::Commands IdempotentLifecycle::RetryAfterLoss(
    const Attempt& lost, OutcomeReason reason) {
  may_have_run_ = true;
  if (lost.is_silent && !open_.empty()) return {};
  phase_ = Phase::kChoosing;
  if (!plan_.idempotent || reason == OutcomeReason::kDeadline) {
    return EndUnlessOpen(MakeFailure(reason, Duration(0)));
  }
  return RetryElsewhere(reason, Duration(0));
}

IdempotentLifecycle::Commands IdempotentLifecycle::CancelAndRetry(
    uint32_t number, OutcomeReason reason) {
  const Attempt lost = Remove(number);
  Commands commands = {CancelAttempt{lost.target.target, number}};
  std::ranges::move(RetryAfterLoss(lost, reason), std::back_inserter(commands));
  return commands;
}

void IdempotentLifecycle::RecordTargetFailure(const Attempt& attempt) {
  avoid_.push_back(attempt.target.target);
  failed_incarnations_.push_back(
      {attempt.target.target, attempt.target.incarnation});
}

// A request that was sent to a target and not refused may have run, so it is
// never reported as not run.
Outcome IdempotentLifecycle::MakeFailure(OutcomeReason reason,
                                         Duration retry_after) const {
  const bool ran = may_have_run_ || !open_.empty();
  return {ran ? OutcomeKind::kUnknown : OutcomeKind::kNotRun,
          reason,
          retry_after > Duration(0) ? retry_after : kDefaultRetryAfter,
          {},
          plan_.idempotent};
}

// Waits for the open attempts alone; asks another target after a while.
IdempotentLifecycle::Commands IdempotentLifecycle::Wait() {
  phase_ = Phase::kRunning;
  wake_at_ = now_ + plan_.retry.part_timeout;
  return {};
}

IdempotentLifecycle::Commands IdempotentLifecycle::EndUnlessOpen(
    Outcome outcome) {
  return open_.empty() ? End(std::move(outcome)) : Wait();
}

IdempotentLifecycle::Commands IdempotentLifecycle::End(Outcome outcome) {
  Commands commands = CancelAll();
  phase_ = Phase::kEnded;
  wake_at_ = TimePoint::max();
  commands.push_back(ReportOutcome{std::move(outcome)});
  return commands;
}

}  // namespace dogwoodlatch
