#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
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

// Attempts that the commands cancel.
std::vector<uint32_t> Cancelled(const std::vector<RequestCommand>& commands) {
  std::vector<uint32_t> cancelled;
  for (const RequestCommand& command : commands) {
    if (const auto* cancel = std::get_if<CancelAttempt>(&command)) {
      cancelled.push_back(cancel->attempt);
    }
  }
  return cancelled;
}

// Everything that the commands deliver.
std::string Delivered(const std::vector<RequestCommand>& commands) {
  std::string text;
  for (const RequestCommand& command : commands) {
    if (const auto* part = std::get_if<Deliver>(&command)) text += part->data;
  }
  return text;
}

RequestPlan MakePlan(bool can_continue = true) {
  RequestPlan plan;
  plan.request_id = kRequest;
  plan.idempotent = true;
  plan.can_continue = can_continue;
  plan.deadline = TimePoint(std::chrono::seconds(60));
  return plan;
}

Finished MakeFinished(uint32_t attempt, uint64_t parts) {
  Finished finished;
  finished.request_id = kRequest;
  finished.attempt = attempt;
  finished.sequence = parts;
  return finished;
}

// A request whose first target fell silent after one part, and that a second
// one has been asked to continue.
struct MovingRequest {
  explicit MovingRequest(const RequestPlan& plan = MakePlan())
      : lifecycle(plan) {
    lifecycle.Advance(now);
    (void)lifecycle.Start();
    (void)lifecycle.Handle(TargetChosen{{"engine-1"}, {"incarnation-1"}, "v1"});
    (void)lifecycle.Handle(Chunk{kRequest, 1, 0, "It "});
    Pass(plan.retry.part_timeout);
    chosen = lifecycle.OnTimer();
    sent =
        lifecycle.Handle(TargetChosen{{"engine-2"}, {"incarnation-2"}, "v1"});
  }

  void Pass(Duration span) {
    now += span;
    lifecycle.Advance(now);
  }

  TimePoint now;
  IdempotentLifecycle lifecycle;
  std::vector<RequestCommand> chosen;
  std::vector<RequestCommand> sent;
};

}  // namespace

// Guards against a run that was cancelled for its silence before another target
// had taken the request, which then failed although the first one went on.
TEST_CASE("a silent target keeps a request that no other target can take") {
  const RequestPlan plan = MakePlan();
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

// Guards against a first target that is cancelled when the second one is asked,
// which may then refuse.
TEST_CASE("a silent target keeps a request that the second one refuses") {
  MovingRequest request;
  CHECK(Contains<ChooseTargetCommand>(request.chosen));
  CHECK(Contains<SendAttempt>(request.sent));
  CHECK(Cancelled(request.sent).empty());
  const RefusalReason reason =
      GENERATE(RefusalReason::kOverloaded, RefusalReason::kTooLate,
               RefusalReason::kQuarantined, RefusalReason::kTargetDown,
               RefusalReason::kBusyAlone, RefusalReason::kDraining);
  auto refused =
      request.lifecycle.Handle(Refused{kRequest, 2, reason, kRetryAfter, ""});
  CHECK(Cancelled(refused).empty());
  CHECK_FALSE(Contains<ReportOutcome>(refused));
  if (Contains<ChooseTargetCommand>(refused)) {
    refused = request.lifecycle.Handle(NoTargetFound{kRetryAfter});
    CHECK(Cancelled(refused).empty());
    CHECK_FALSE(Contains<ReportOutcome>(refused));
  }
  CHECK(Delivered(request.lifecycle.Handle(Chunk{kRequest, 1, 1, "goes "})) ==
        "goes ");
}

// Guards against a stream that ends with its second target although the first
// one still has it.
TEST_CASE("a silent target keeps a request that the second one loses") {
  MovingRequest request;
  const auto lost = request.lifecycle.Handle(ConnectionLost{2});
  CHECK(Cancelled(lost) == std::vector<uint32_t>{2});
  CHECK_FALSE(Contains<ReportOutcome>(request.lifecycle.Handle(
      NoTargetFound{kRetryAfter, OutcomeReason::kRetryBudget})));
  CHECK(Delivered(request.lifecycle.Handle(Chunk{kRequest, 1, 1, "goes "})) ==
        "goes ");
}

// Guards against two targets that work on one request after one has answered,
// and against text that is delivered twice.
TEST_CASE("the first of two targets that answers keeps the request") {
  MovingRequest request;
  const uint32_t answers = GENERATE(1U, 2U);
  const uint64_t sequence = answers == 1 ? 1 : 0;
  const auto part =
      request.lifecycle.Handle(Chunk{kRequest, answers, sequence, "goes "});
  CHECK(Delivered(part) == "goes ");
  CHECK(Cancelled(part) == std::vector<uint32_t>{3 - answers});
  CHECK(request.lifecycle
            .Handle(Chunk{kRequest, 3 - answers, 2 - answers, "went "})
            .empty());
  CHECK(request.lifecycle.Handle(ConnectionLost{3 - answers}).empty());
  const auto end =
      request.lifecycle.Handle(MakeFinished(answers, sequence + 1));
  CHECK(Contains<ReportOutcome>(end));
  CHECK(Cancelled(end).empty());
}

// Guards against an answer that mixes the parts of two runs, or lacks those
// that came before the silence.
TEST_CASE("an answer that can't be continued comes from one target") {
  MovingRequest request(MakePlan(false));
  const auto* sent = std::get_if<SendAttempt>(&request.sent.back());
  REQUIRE(sent != nullptr);
  CHECK(sent->delivered_text.empty());
  const uint32_t answers = GENERATE(1U, 2U);
  const uint64_t sequence = answers == 1 ? 1 : 0;
  (void)request.lifecycle.Handle(Chunk{kRequest, answers, sequence, "goes "});
  const auto end =
      request.lifecycle.Handle(MakeFinished(answers, sequence + 1));
  CHECK(Delivered(end) == (answers == 1 ? "It goes " : "goes "));
}

// Guards against a request that is held by more than two targets, and one that
// is cancelled at the second before the third can have it.
TEST_CASE("a third target is asked only in place of the first") {
  MovingRequest request;
  request.Pass(RetryPolicy{}.first_part_timeout);
  const auto chosen = request.lifecycle.OnTimer();
  REQUIRE(Contains<ChooseTargetCommand>(chosen));
  CHECK(Cancelled(chosen).empty());
  const auto sent = request.lifecycle.Handle(
      TargetChosen{{"engine-3"}, {"incarnation-3"}, "v1"});
  CHECK(Contains<SendAttempt>(sent));
  CHECK(Cancelled(sent) == std::vector<uint32_t>{1});
}

// Guards against a request that crashes the target that was left silent, after
// it has crashed the second one.
TEST_CASE("a request that may have crashed a target runs nowhere else") {
  MovingRequest request;
  const auto broken = request.lifecycle.Handle(
      Broken{kRequest, 2, 0, BreakCause::kTargetCrashed, {1}});
  CHECK(Cancelled(broken) == std::vector<uint32_t>{1});
  CHECK(Contains<ChooseTargetCommand>(broken));
}

// Guards against a target that goes on with a request whose caller has left.
TEST_CASE("both targets are cancelled when the request ends") {
  MovingRequest request;
  CHECK(Cancelled(request.lifecycle.Handle(CallerGone{})) ==
        std::vector<uint32_t>{1, 2});
}

// Guards against a request that is reported as not run although the silent
// target, which was left for another one, may have run it.
TEST_CASE("a request that a target was left with may have run") {
  MovingRequest request(MakePlan(false));
  (void)request.lifecycle.Handle(Chunk{kRequest, 2, 0, "It "});
  (void)request.lifecycle.Handle(ConnectionLost{2});
  const auto end = request.lifecycle.Handle(
      NoTargetFound{kRetryAfter, OutcomeReason::kRetryBudget});
  REQUIRE(Contains<ReportOutcome>(end));
  const auto& report = std::get<ReportOutcome>(end.back());
  CHECK(report.outcome.kind == OutcomeKind::kUnknown);
}

}  // namespace dogwoodlatch
