#include "dogwoodlatch/idempotent_lifecycle.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch {
namespace {

const RequestId kRequest{"request-1"};
constexpr Duration kRetryAfter = std::chrono::seconds(2);

IdempotentLifecycle MakeStartedLifecycle() {
  RequestPlan plan;
  plan.request_id = kRequest;
  plan.idempotent = true;
  plan.deadline = TimePoint(std::chrono::seconds(60));
  IdempotentLifecycle lifecycle(plan);
  (void)lifecycle.Start();
  (void)lifecycle.Handle(TargetChosen{{"engine-1"}, {"incarnation-1"}, "v1"});
  return lifecycle;
}

Refused TooLate(uint32_t attempt) {
  return {kRequest, attempt, RefusalReason::kTooLate, kRetryAfter, ""};
}

template <typename Command>
const Command* Find(const std::vector<RequestCommand>& commands) {
  for (const RequestCommand& command : commands) {
    if (const auto* found = std::get_if<Command>(&command)) return found;
  }
  return nullptr;
}

}  // namespace

TEST_CASE("a shed request ends immediately with the agent's retry time") {
  IdempotentLifecycle lifecycle = MakeStartedLifecycle();
  const auto commands = lifecycle.Handle(TooLate(1));
  const auto* report = Find<ReportOutcome>(commands);
  REQUIRE(report != nullptr);
  CHECK(report->outcome.kind == OutcomeKind::kNotRun);
  CHECK(report->outcome.reason == OutcomeReason::kOverloaded);
  CHECK(report->outcome.retry_after == kRetryAfter);
}

TEST_CASE("a partly delivered stream tries another target when it is shed") {
  IdempotentLifecycle lifecycle = MakeStartedLifecycle();
  (void)lifecycle.Handle(Chunk{kRequest, 1, 0, "It "});
  (void)lifecycle.Handle(ConnectionLost{1});
  (void)lifecycle.Handle(TargetChosen{{"engine-2"}, {"incarnation-2"}, "v1"});
  const auto commands = lifecycle.Handle(TooLate(2));
  CHECK(Find<ReportOutcome>(commands) == nullptr);
  CHECK(Find<ChooseTargetCommand>(commands) != nullptr);
}

TEST_CASE("a request refused by an overloaded target tries another") {
  IdempotentLifecycle lifecycle = MakeStartedLifecycle();
  const auto commands = lifecycle.Handle(
      Refused{kRequest, 1, RefusalReason::kOverloaded, kRetryAfter, ""});
  CHECK(Find<ReportOutcome>(commands) == nullptr);
  CHECK(Find<ChooseTargetCommand>(commands) != nullptr);
}

}  // namespace dogwoodlatch
