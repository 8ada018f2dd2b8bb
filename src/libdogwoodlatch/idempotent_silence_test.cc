#include <algorithm>
#include <catch2/catch.hpp>
#include <variant>
#include <vector>

#include "dogwoodlatch/idempotent_lifecycle.h"

namespace dogwoodlatch {
namespace {

const RequestId kRequest{"request-1"};
constexpr Duration kRetryAfter = std::chrono::seconds(2);

template <typename Command>
bool Contains(const std::vector<RequestCommand>& commands) {
  return std::ranges::any_of(commands, [](const RequestCommand& command) {
    return std::holds_alternative<Command>(command);
  });
}

}  // namespace

// Guards against a run that was cancelled for its silence before another target
// had taken the request, which then failed although the first one went on.
TEST_CASE("a silent target keeps a request that no other target can take") {
  RequestPlan plan;
  plan.request_id = kRequest;
  plan.idempotent = true;
  plan.can_continue = true;
  plan.deadline = TimePoint(std::chrono::seconds(60));
  IdempotentLifecycle lifecycle(plan);
  lifecycle.Advance(TimePoint{});
  (void)lifecycle.Start();
  (void)lifecycle.Handle(TargetChosen{{"engine-1"}, {"incarnation-1"}, "v1"});
  (void)lifecycle.Handle(Chunk{kRequest, 1, 0, "It "});
  lifecycle.Advance(TimePoint{} + plan.retry.part_timeout);
  const auto commands = lifecycle.OnTimer();
  CHECK_FALSE(Contains<CancelAttempt>(commands));
  const auto end =
      lifecycle.Handle(NoTargetFound{kRetryAfter, OutcomeReason::kRetryBudget});
  CHECK_FALSE(Contains<ReportOutcome>(end));
  CHECK(Contains<Deliver>(lifecycle.Handle(Chunk{kRequest, 1, 1, "goes "})));
}

}  // namespace dogwoodlatch
