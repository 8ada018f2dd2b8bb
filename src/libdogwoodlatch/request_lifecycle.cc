#include "dogwoodlatch/request_lifecycle.h"

#include <array>
#include <utility>

#include "dogwoodlatch/at_most_once_lifecycle.h"
#include "dogwoodlatch/idempotent_lifecycle.h"

namespace dogwoodlatch {

std::unique_ptr<RequestLifecycle> MakeRequestLifecycle(RequestPlan plan) {
  if (!plan.idempotent) {
    return std::make_unique<AtMostOnceLifecycle>(std::move(plan));
  }
  return std::make_unique<IdempotentLifecycle>(std::move(plan));
}

OutcomeReason ToOutcomeReason(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQuarantined:
      return OutcomeReason::kQuarantined;
    case RefusalReason::kKeyReused:
      return OutcomeReason::kKeyReused;
    case RefusalReason::kClaimFailed:
      return OutcomeReason::kClaimFailed;
    case RefusalReason::kSealed:
    case RefusalReason::kTargetDown:
      return OutcomeReason::kTargetLost;
    default:
      return OutcomeReason::kOverloaded;
  }
}

std::string_view ToString(OutcomeKind kind) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "complete", "not_run", "outcome_unknown", "rejected"};
  return kNames.at(static_cast<size_t>(kind));
}

std::string_view ToString(OutcomeReason reason) {
  static constexpr std::array<std::string_view, 12> kNames = {
      "none",         "no_target",     "overloaded",   "deadline",
      "target_lost",  "stream_broken", "quarantined",  "key_reused",
      "claim_failed", "caller_gone",   "retry_budget", "no_settings"};
  return kNames.at(static_cast<size_t>(reason));
}

}  // namespace dogwoodlatch
