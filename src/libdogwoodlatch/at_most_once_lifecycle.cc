#include "dogwoodlatch/at_most_once_lifecycle.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dogwoodlatch {
namespace {

using Commands = std::vector<RequestCommand>;

// Probes and redirects are cheap; this bounds them while ownership changes
// quickly.
constexpr uint32_t kMaxChoices = 12;
constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

AtMostOnceLifecycle::AtMostOnceLifecycle(RequestPlan plan)
    : plan_(std::move(plan)) {}

Commands AtMostOnceLifecycle::Start() { return {ChooseTargetCommand{}}; }

Commands AtMostOnceLifecycle::Handle(const RequestEvent& event) {
  if (ended_) return {};
  return std::visit([this](const auto& e) { return On(e); }, event);
}

Commands AtMostOnceLifecycle::On(const TargetChosen& event) {
  current_ = event;
  return SendNextAttempt();
}

Commands AtMostOnceLifecycle::SendNextAttempt() {
  ++attempt_;
  attempt_open_ = true;
  chunks_.clear();
  if (!lookup_only_) {
    unanswered_.push_back({current_.target, current_.incarnation});
  }
  return {SendAttempt{current_.target, attempt_, current_.incarnation,
                      current_.weights_version, "", take_over_from_, false,
                      lookup_only_}};
}

Commands AtMostOnceLifecycle::On(const NoTargetFound& event) {
  if (!preferred_.empty()) {
    some_unreached_ = true;
    return AbandonTarget(preferred_, OutcomeReason::kNoTarget);
  }
  if (lookup_only_) {
    // All agents have answered, and none of them has run the key.
    if (!some_unreached_ && !event.some_unreached) key_not_run_ = true;
    return EndNotRun(lookup_reason_, lookup_retry_after_);
  }
  if (key_not_run_) {
    return EndNotRun(OutcomeReason::kNoTarget, event.retry_after);
  }
  return LookUp(OutcomeReason::kNoTarget, event.retry_after);
}

// A refusal covers every earlier attempt of the request at this agent
// incarnation, whether or not it arrived.
Commands AtMostOnceLifecycle::On(const Refused& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  // Another incarnation of the agent cannot tell what the addressed one did.
  const bool is_proof = event.reason != RefusalReason::kStaleIncarnation;
  attempt_open_ = false;
  if (is_proof) CloseAttempt();
  key_not_run_ = key_not_run_ || event.key_not_run;
  switch (event.reason) {
    case RefusalReason::kNotOwner:
      return RedirectToOwner({event.owner});
    case RefusalReason::kDraining:
    case RefusalReason::kTargetDown:
      return AbandonTarget(current_.target, ToOutcomeReason(event.reason));
    case RefusalReason::kStaleIncarnation:
    case RefusalReason::kStaleWeights:
      return RequestNextTarget(OutcomeReason::kTargetLost, event.retry_after);
    case RefusalReason::kKeyReused:
    case RefusalReason::kQuarantined:
      return End({OutcomeKind::kRejected,
                  ToOutcomeReason(event.reason),
                  event.retry_after,
                  {}});
    default:
      return LookUpElsewhere(event);
  }
}

// Ends the request unless another agent may know more of its key: the owner of
// the claim log if this one is not, or a later owner if the claim could not be
// recorded.
Commands AtMostOnceLifecycle::LookUpElsewhere(const Refused& event) {
  const OutcomeReason reason = ToOutcomeReason(event.reason);
  const bool may_learn_more =
      !event.key_not_run || event.reason == RefusalReason::kClaimFailed;
  if (!may_learn_more) return EndNotRun(reason, event.retry_after);
  avoid_.push_back(current_.target);
  return LookUp(reason, event.retry_after);
}

// Asks the next agent what it knows of the key, without having the request run.
// Agents whose target takes no requests are asked as well.
Commands AtMostOnceLifecycle::LookUp(OutcomeReason reason,
                                     Duration retry_after) {
  if (!lookup_only_) {
    lookup_only_ = true;
    lookup_reason_ = reason;
    lookup_retry_after_ = retry_after;
  }
  preferred_ = {};
  resent_ = false;
  return RequestNextTarget(lookup_reason_, lookup_retry_after_);
}

Commands AtMostOnceLifecycle::RedirectToOwner(const TargetId& owner) {
  if (owner.empty() || std::ranges::find(avoid_, owner) != avoid_.end()) {
    take_over_from_ = owner;
    preferred_ = {};
  } else {
    preferred_ = owner;
  }
  return RequestNextTarget(OutcomeReason::kNoTarget, kRetryAfter);
}

// The next target may take over the claim log from the abandoned one; calls
// that the abandoned target still runs stay claimed by it.
Commands AtMostOnceLifecycle::AbandonTarget(const TargetId& target,
                                            OutcomeReason reason) {
  avoid_.push_back(target);
  take_over_from_ = target;
  preferred_ = {};
  resent_ = false;
  return RequestNextTarget(reason, kRetryAfter);
}

Commands AtMostOnceLifecycle::RequestNextTarget(OutcomeReason reason,
                                                Duration retry_after) {
  if (++choice_count_ >= kMaxChoices) return EndNotRun(reason, retry_after);
  return {ChooseTargetCommand{avoid_, preferred_, false, lookup_only_}};
}

Commands AtMostOnceLifecycle::On(const Chunk& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence == chunks_.size()) chunks_.push_back(event.data);
  return {};
}

// The answer is delivered only once complete, so an attempt that joins the run
// again starts from its first chunk.
Commands AtMostOnceLifecycle::On(const Finished& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  if (event.sequence != chunks_.size()) return On(ConnectionLost{attempt_});
  CloseAttempt();
  Commands commands;
  std::string body =
      std::accumulate(chunks_.begin(), chunks_.end(), std::string());
  if (!body.empty()) commands.push_back(Deliver{std::move(body)});
  Commands end =
      End({OutcomeKind::kComplete, OutcomeReason::kNone, Duration(0), event});
  std::ranges::move(end, std::back_inserter(commands));
  return commands;
}

Commands AtMostOnceLifecycle::On(const Broken& event) {
  if (!IsCurrent(event.request_id, event.attempt)) return {};
  return End(
      {OutcomeKind::kUnknown, OutcomeReason::kTargetLost, Duration(0), {}});
}

// The agent may or may not have received the request. Sent once more, the
// request joins its own run; if the agent is gone, another agent learns of the
// claim from the claim log.
Commands AtMostOnceLifecycle::On(const ConnectionLost& event) {
  if (event.attempt != attempt_ || !attempt_open_) return {};
  attempt_open_ = false;
  if (resent_) {
    some_unreached_ = true;
    return AbandonTarget(current_.target, OutcomeReason::kTargetLost);
  }
  resent_ = true;
  preferred_ = current_.target;
  return RequestNextTarget(OutcomeReason::kTargetLost, kRetryAfter);
}

Commands AtMostOnceLifecycle::On(const CallerGone&) {
  return EndNotRun(OutcomeReason::kCallerGone, Duration(0));
}

Commands AtMostOnceLifecycle::On(const DeadlineReached&) {
  return EndNotRun(OutcomeReason::kDeadline, Duration(0));
}

bool AtMostOnceLifecycle::IsCurrent(const RequestId& request_id,
                                    uint32_t attempt) const {
  return attempt_open_ && attempt == attempt_ && request_id == plan_.request_id;
}

void AtMostOnceLifecycle::CloseAttempt() {
  attempt_open_ = false;
  std::erase_if(unanswered_, [this](const UnansweredAttempt& open) {
    return open.target == current_.target &&
           open.incarnation == current_.incarnation;
  });
}

// Reports "not run" only if every attempt has been refused by the incarnation
// that it addressed, and those that would know have told that no submission of
// the key has run; otherwise "unknown". A request that was sent to no agent has
// not run.
Commands AtMostOnceLifecycle::EndNotRun(OutcomeReason reason,
                                        Duration retry_after) {
  const bool key_may_have_run = attempt_ > 0 && !key_not_run_;
  if (!unanswered_.empty() || key_may_have_run) {
    return End({OutcomeKind::kUnknown, reason, Duration(0), {}});
  }
  return End({OutcomeKind::kNotRun, reason, retry_after, {}});
}

Commands AtMostOnceLifecycle::End(Outcome outcome) {
  ended_ = true;
  return {ReportOutcome{std::move(outcome)}};
}

}  // namespace dogwoodlatch
