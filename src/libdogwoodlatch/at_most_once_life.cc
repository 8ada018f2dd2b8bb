#include "dogwoodlatch/at_most_once_life.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dogwoodlatch {
namespace {

using Commands = std::vector<RequestCommand>;

// Probes and hops are cheap; this bounds them when owners change quickly.
constexpr uint32_t kMaxChoices = 12;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

AtMostOnceLife::AtMostOnceLife(RequestPlan plan) : plan_(std::move(plan)) {}

Commands AtMostOnceLife::Start() { return {ChooseTargetCommand{}}; }

Commands AtMostOnceLife::Handle(const RequestEvent& event) {
  if (over_) return {};
  return std::visit([this](const auto& e) { return On(e); }, event);
}

Commands AtMostOnceLife::On(const TargetChosen& event) {
  current_ = event;
  return SendAgain();
}

Commands AtMostOnceLife::SendAgain() {
  ++attempt_;
  attempt_open_ = true;
  parts_.clear();
  open_.push_back({current_.target, current_.incarnation});
  return {SendAttempt{current_.target, attempt_, current_.incarnation,
                      current_.weights_version, "", take_over_from_, false}};
}

Commands AtMostOnceLife::On(const NoTargetFound& event) {
  if (preferred_.empty()) {
    return EndNotRun(OutcomeReason::kNoTarget, event.retry_after);
  }
  return LeaveTarget(preferred_, OutcomeReason::kNoTarget);
}

// A refusal covers every attempt of the request that this life of the agent was
// sent before, whether it arrived or not.
Commands AtMostOnceLife::On(const Refused& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  // Another life of the agent can't tell what the addressed one has done.
  const bool is_proof = event.reason != RefusalReason::kStaleIncarnation;
  attempt_open_ = false;
  if (is_proof) CloseAttempt();
  switch (event.reason) {
    case RefusalReason::kNotOwner:
      return FollowOwner({event.owner});
    case RefusalReason::kDraining:
    case RefusalReason::kTargetDown:
      return LeaveTarget(current_.target, ToOutcomeReason(event.reason));
    case RefusalReason::kStaleIncarnation:
    case RefusalReason::kStaleWeights:
      return ChooseAgain(OutcomeReason::kTargetLost, event.retry_after);
    case RefusalReason::kKeyReused:
    case RefusalReason::kQuarantined:
      return End({OutcomeKind::kRejected,
                  ToOutcomeReason(event.reason),
                  event.retry_after,
                  {}});
    default:
      return EndNotRun(ToOutcomeReason(event.reason), event.retry_after);
  }
}

Commands AtMostOnceLife::FollowOwner(const TargetId& owner) {
  if (owner.empty() || std::ranges::find(avoid_, owner) != avoid_.end()) {
    take_over_from_ = owner;
    preferred_ = {};
  } else {
    preferred_ = owner;
  }
  return ChooseAgain(OutcomeReason::kNoTarget, kRetryAfter);
}

// The next target may take the claim log over from the one that is left; what
// that one still runs stays claimed by it.
Commands AtMostOnceLife::LeaveTarget(const TargetId& target,
                                     OutcomeReason reason) {
  avoid_.push_back(target);
  take_over_from_ = target;
  preferred_ = {};
  sent_again_ = false;
  return ChooseAgain(reason, kRetryAfter);
}

Commands AtMostOnceLife::ChooseAgain(OutcomeReason reason,
                                     Duration retry_after) {
  if (++choices_ >= kMaxChoices) return EndNotRun(reason, retry_after);
  return {ChooseTargetCommand{avoid_, preferred_, false}};
}

Commands AtMostOnceLife::On(const Chunk& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence == parts_.size()) parts_.push_back(event.data);
  return {};
}

// Nothing is delivered before the answer is whole, so an attempt that joins
// again starts from its first part.
Commands AtMostOnceLife::On(const Finished& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence != parts_.size()) return On(ConnectionLost{attempt_});
  CloseAttempt();
  Commands commands;
  std::string whole =
      std::accumulate(parts_.begin(), parts_.end(), std::string());
  if (!whole.empty()) commands.push_back(Deliver{std::move(whole)});
  Commands end =
      End({OutcomeKind::kComplete, OutcomeReason::kNone, Duration(0), event});
  std::ranges::move(end, std::back_inserter(commands));
  return commands;
}

Commands AtMostOnceLife::On(const Broken& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  return End(
      {OutcomeKind::kUnknown, OutcomeReason::kTargetLost, Duration(0), {}});
}

// The agent may have the request or not. Sent to it once more, the request
// joins its own run; if the agent is gone, the claim log tells another agent.
Commands AtMostOnceLife::On(const ConnectionLost& event) {
  if (event.attempt != attempt_ || !attempt_open_) return {};
  attempt_open_ = false;
  if (sent_again_) {
    return LeaveTarget(current_.target, OutcomeReason::kTargetLost);
  }
  sent_again_ = true;
  preferred_ = current_.target;
  return ChooseAgain(OutcomeReason::kTargetLost, kRetryAfter);
}

Commands AtMostOnceLife::On(const CallerGone&) {
  return EndNotRun(OutcomeReason::kCallerGone, Duration(0));
}

Commands AtMostOnceLife::On(const DeadlineReached&) {
  return EndNotRun(OutcomeReason::kDeadline, Duration(0));
}

bool AtMostOnceLife::IsCurrent(const RequestId& request_id,
                               uint32_t attempt) const {
  return attempt_open_ && attempt == attempt_ && request_id == plan_.request_id;
}

void AtMostOnceLife::CloseAttempt() {
  attempt_open_ = false;
  std::erase_if(open_, [this](const OpenAttempt& open) {
    return open.target == current_.target &&
           open.incarnation == current_.incarnation;
  });
}

// "Not run" is said only when no attempt is without an answer.
Commands AtMostOnceLife::EndNotRun(OutcomeReason reason, Duration retry_after) {
  if (!open_.empty()) {
    return End({OutcomeKind::kUnknown, reason, Duration(0), {}});
  }
  return End({OutcomeKind::kNotRun, reason, retry_after, {}});
}

Commands AtMostOnceLife::End(Outcome outcome) {
  over_ = true;
  return {ReportOutcome{std::move(outcome)}};
}

}  // namespace dogwoodlatch
