#include "dogwoodlatch/idempotent_life.h"

#include <utility>

namespace dogwoodlatch {
namespace {

OutcomeReason ReasonOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQuarantined:
      return OutcomeReason::kQuarantined;
    case RefusalReason::kKeyReused:
      return OutcomeReason::kKeyReused;
    case RefusalReason::kClaimFailed:
      return OutcomeReason::kClaimFailed;
    case RefusalReason::kTargetDown:
      return OutcomeReason::kTargetLost;
    default:
      return OutcomeReason::kOverloaded;
  }
}

bool IsFinalRefusal(RefusalReason reason) {
  return reason == RefusalReason::kQuarantined ||
         reason == RefusalReason::kKeyReused;
}

}  // namespace

IdempotentLife::IdempotentLife(RequestPlan plan) : plan_(std::move(plan)) {}

std::vector<RequestCommand> IdempotentLife::Start() {
  return {ChooseTargetCommand{avoid_, {}}};
}

std::vector<RequestCommand> IdempotentLife::Handle(const RequestEvent& event) {
  if (over_) return {};
  return std::visit([this](const auto& e) { return On(e); }, event);
}

IdempotentLife::Commands IdempotentLife::On(const TargetChosen& event) {
  ++attempt_;
  attempt_open_ = true;
  next_sequence_ = 0;
  target_ = event.target;
  return {SendAttempt{target_,
                      attempt_,
                      event.incarnation,
                      event.weights_version,
                      delivered_text_,
                      {}}};
}

IdempotentLife::Commands IdempotentLife::On(const NoTargetFound& event) {
  if (!delivered_text_.empty()) {
    return End({OutcomeKind::kNotRun,
                OutcomeReason::kStreamBroken,
                event.retry_after,
                {}});
  }
  return End(
      {OutcomeKind::kNotRun, OutcomeReason::kNoTarget, event.retry_after, {}});
}

IdempotentLife::Commands IdempotentLife::On(const Refused& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  attempt_open_ = false;
  if (IsFinalRefusal(event.reason)) {
    return End({OutcomeKind::kRejected,
                ReasonOf(event.reason),
                event.retry_after,
                {}});
  }
  return RetryElsewhere(
      {OutcomeKind::kNotRun, ReasonOf(event.reason), event.retry_after, {}});
}

IdempotentLife::Commands IdempotentLife::On(const Chunk& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence < next_sequence_) return {};
  if (event.sequence > next_sequence_) {
    return AfterLoss(OutcomeReason::kStreamBroken);
  }
  ++next_sequence_;
  delivered_text_ += event.data;
  return {Deliver{event.data}};
}

IdempotentLife::Commands IdempotentLife::On(const Finished& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence != next_sequence_) {
    return AfterLoss(OutcomeReason::kStreamBroken);
  }
  attempt_open_ = false;
  return End(
      {OutcomeKind::kComplete, OutcomeReason::kNone, Duration(0), event});
}

IdempotentLife::Commands IdempotentLife::On(const Broken& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  return AfterLoss(OutcomeReason::kTargetLost);
}

IdempotentLife::Commands IdempotentLife::On(const ConnectionLost& event) {
  if (event.attempt != attempt_ || !attempt_open_) return {};
  return AfterLoss(OutcomeReason::kTargetLost);
}

IdempotentLife::Commands IdempotentLife::On(const CallerGone&) {
  return End(
      {OutcomeKind::kNotRun, OutcomeReason::kCallerGone, Duration(0), {}});
}

IdempotentLife::Commands IdempotentLife::On(const DeadlineReached&) {
  const bool may_have_run = attempt_open_ && !plan_.idempotent;
  return End({may_have_run ? OutcomeKind::kUnknown : OutcomeKind::kNotRun,
              OutcomeReason::kDeadline,
              Duration(0),
              {}});
}

bool IdempotentLife::IsCurrent(const RequestId& request_id,
                               uint32_t attempt) const {
  return attempt_open_ && attempt == attempt_ && request_id == plan_.request_id;
}

IdempotentLife::Commands IdempotentLife::RetryElsewhere(Outcome otherwise) {
  avoid_.push_back(target_);
  if (attempt_ >= plan_.max_attempts) return End(std::move(otherwise));
  return {ChooseTargetCommand{avoid_, {}}};
}

// The attempt may have run: only an idempotent request may be sent again.
IdempotentLife::Commands IdempotentLife::AfterLoss(OutcomeReason reason) {
  if (!plan_.idempotent) {
    return End({OutcomeKind::kUnknown, reason, Duration(0), {}});
  }
  Commands commands = {CancelAttempt{target_, attempt_}};
  attempt_open_ = false;
  Commands retry =
      RetryElsewhere({OutcomeKind::kNotRun, reason, Duration(0), {}});
  commands.insert(commands.end(), retry.begin(), retry.end());
  return commands;
}

IdempotentLife::Commands IdempotentLife::End(Outcome outcome) {
  Commands commands;
  if (attempt_open_) commands.push_back(CancelAttempt{target_, attempt_});
  attempt_open_ = false;
  over_ = true;
  commands.push_back(GiveOutcome{std::move(outcome)});
  return commands;
}

}  // namespace dogwoodlatch
