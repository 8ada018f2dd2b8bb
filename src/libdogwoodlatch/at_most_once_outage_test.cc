// What a router reports of a non-idempotent call when its first agent cannot
// tell whether the call has run: the decision code of one router and of several
// agents with a fake store, on a virtual clock.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "dogwoodlatch/at_most_once_core.h"
#include "dogwoodlatch/at_most_once_lifecycle.h"

namespace dogwoodlatch {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kTickInterval = std::chrono::milliseconds(5);

struct Report {
  Outcome outcome;
  std::string answer;
};

// Agents whose single claim log is kept in a store. Requests are handled one at
// a time.
class Fleet {
 public:
  explicit Fleet(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      AtMostOnceOptions options;
      options.log.self = {name};
      options.log.claimant = {"boot-" + name};
      agents_[name] = std::make_unique<AtMostOnceCore>(
          options,
          [this, name](const Submit& submit) { return Admit(name, submit); },
          std::mt19937_64(1));
    }
  }

  // Sends a call through a router that prefers the agents in this order.
  Report Send(const std::string& key, const std::vector<std::string>& order) {
    RequestPlan plan;
    plan.request_id.value = "request-" + std::to_string(next_request_++);
    plan.deadline = now_ + kDeadline;
    AtMostOnceLifecycle lifecycle(plan);
    Submit submit;
    submit.request_id = plan.request_id;
    submit.idempotency_key = key;
    submit.time_left = kDeadline;
    submit.claim.service = "orders";
    submit.claim.logs = 1;
    submit.claim.retention = std::chrono::hours(1);
    submit.claim.issued = Wall();
    Report report;
    std::optional<Outcome> outcome;
    PushRouter(lifecycle.Start());
    while (!outcome) {
      if (!router_commands_.empty()) {
        const RequestCommand command = std::move(router_commands_.front());
        router_commands_.pop_front();
        if (const auto* choose = std::get_if<ChooseTargetCommand>(&command)) {
          PushRouter(lifecycle.Handle(Choose(*choose, order)));
        } else if (const auto* attempt = std::get_if<SendAttempt>(&command)) {
          Deliver(submit, *attempt);
        } else if (const auto* part =
                       std::get_if<dogwoodlatch::Deliver>(&command)) {
          report.answer += part->data;
        } else if (const auto* end = std::get_if<ReportOutcome>(&command)) {
          outcome = end->outcome;
        }
      } else if (!agent_commands_.empty()) {
        const AgentCommand next = std::move(agent_commands_.front());
        agent_commands_.pop_front();
        std::visit([&](const auto& c) { Execute(next.agent, c, lifecycle); },
                   next.command);
      } else {
        Tick();
        if (now_ >= plan.deadline) {
          PushRouter(lifecycle.Handle(DeadlineReached{}));
        }
      }
    }
    report.outcome = *outcome;
    return report;
  }

  // Lets the agents' pauses after a failed access pass.
  void Wait(Duration span) { now_ += span; }

  int runs(const std::string& key) const {
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
  }

  bool store_reads = true;
  bool store_writes = true;
  std::set<std::string> unreachable;
  std::set<std::string> overloaded;
  std::set<std::string> unhealthy;

 private:
  struct AgentCommand {
    std::string agent;
    AtMostOnceCommand command;
  };

  void Tick() {
    now_ += kTickInterval;
    for (const auto& [name, core] : agents_) {
      PushAgent(name, core->Tick(now_, Wall()));
    }
  }

  WallTime Wall() const {
    return WallTime(now_.time_since_epoch() + std::chrono::hours(1000));
  }

  std::optional<Refused> Admit(const std::string& name,
                               const Submit& submit) const {
    if (!overloaded.contains(name)) return std::nullopt;
    return Refused{submit.request_id, submit.attempt,
                   RefusalReason::kOverloaded, std::chrono::seconds(3), ""};
  }

  RequestEvent Choose(const ChooseTargetCommand& command,
                      const std::vector<std::string>& order) const {
    const auto can_take = [&](const std::string& name) {
      const bool is_named =
          command.preferred.empty()
              ? std::ranges::find(command.avoid, TargetId{name}) ==
                    command.avoid.end()
              : command.preferred.value == name;
      const bool takes_work = command.lookup_only ||
                              !command.preferred.empty() ||
                              !unhealthy.contains(name);
      return is_named && takes_work && !unreachable.contains(name);
    };
    const auto found = std::ranges::find_if(order, can_take);
    const auto is_unreached = [&](const std::string& name) {
      return unreachable.contains(name) &&
             std::ranges::find(command.avoid, TargetId{name}) ==
                 command.avoid.end();
    };
    if (found == order.end()) {
      return NoTargetFound{std::chrono::seconds(1), OutcomeReason::kNoTarget,
                           std::ranges::any_of(order, is_unreached)};
    }
    return TargetChosen{{*found}, {"boot-" + *found + "/target"}, ""};
  }

  void Deliver(Submit submit, const SendAttempt& attempt) {
    submit.attempt = attempt.attempt;
    submit.incarnation = attempt.incarnation;
    submit.claim.take_over_from = attempt.take_over_from;
    submit.claim.lookup_only = attempt.lookup_only;
    const std::string& name = attempt.target.value;
    PushAgent(name, agents_.at(name)->OnSubmit(submit, 0, now_, Wall()));
  }

  void Execute(const std::string&, const SendBack& command,
               AtMostOnceLifecycle& lifecycle) {
    std::visit(
        [&](const auto& message) {
          using T = std::remove_cvref_t<decltype(message)>;
          if constexpr (std::is_constructible_v<RequestEvent, T>) {
            PushRouter(lifecycle.Handle(message));
          }
        },
        command.message);
  }

  void Execute(const std::string& name, const StartRun& command,
               AtMostOnceLifecycle&) {
    const std::string& key = command.submit.idempotency_key;
    ++runs_[key];
    PushAgent(name,
              agents_.at(name)->OnRunEnded(command.key, RunOutcome::kComplete,
                                           {Finished{}, "answer to " + key}));
  }

  void Execute(const std::string& name, const EnsureLayout& command,
               AtMostOnceLifecycle&) {
    const auto logs = store_reads ? std::optional<uint32_t>(1) : std::nullopt;
    PushAgent(name,
              agents_.at(name)->OnLayout(command.service, logs, now_, Wall()));
  }

  void Execute(const std::string& name, const AccessLog& command,
               AtMostOnceLifecycle&) {
    AtMostOnceCore& core = *agents_.at(name);
    if (std::holds_alternative<ReadClaims>(command.command)) {
      const auto read = store_reads ? std::optional(stored_) : std::nullopt;
      PushAgent(name, core.OnRead(command.name, read, now_, Wall()));
    } else if (const auto* write = std::get_if<WriteHead>(&command.command)) {
      PushAgent(name,
                core.OnHeadWritten(command.name, Write(*write), now_, Wall()));
    }
  }

  void Execute(const std::string&, const EndAdmission&, AtMostOnceLifecycle&) {}

  HeadWritten Write(const WriteHead& write) {
    if (!store_writes) return {WriteOutcome::kNotWritten, 0};
    if (write.expected_version != stored_.head_version) {
      return {WriteOutcome::kConflict, 0};
    }
    stored_.head = write.head;
    return {WriteOutcome::kWritten, ++stored_.head_version};
  }

  void PushRouter(std::vector<RequestCommand> commands) {
    std::ranges::move(commands, std::back_inserter(router_commands_));
  }

  void PushAgent(const std::string& name, AtMostOnceCore::Commands commands) {
    std::ranges::transform(commands, std::back_inserter(agent_commands_),
                           [&](AtMostOnceCommand& c) {
                             return AgentCommand{name, std::move(c)};
                           });
  }

  TimePoint now_;
  int next_request_ = 0;
  std::map<std::string, std::unique_ptr<AtMostOnceCore>> agents_;
  ClaimsRead stored_;
  std::map<std::string, int> runs_;
  std::deque<RequestCommand> router_commands_;
  std::deque<AgentCommand> agent_commands_;
};

void StopStore(Fleet& fleet) {
  fleet.store_reads = false;
  fleet.store_writes = false;
}

void CheckStoredResponse(const Report& repeated, const Report& first) {
  CHECK(repeated.outcome.kind == OutcomeKind::kComplete);
  CHECK(repeated.answer == first.answer);
}

// Has "order" run by agent b, which takes the log over while a, its owner, is
// unreachable; a still believes that it owns the log.
void RunAtSuccessor(Fleet& fleet) {
  REQUIRE(fleet.Send("other order", {"a", "b"}).outcome.kind ==
          OutcomeKind::kComplete);
  fleet.unreachable = {"a"};
  REQUIRE(fleet.Send("order", {"a", "b"}).outcome.kind ==
          OutcomeKind::kComplete);
  fleet.unreachable = {};
  fleet.Wait(std::chrono::seconds(1));
}

}  // namespace

// Guards against "not run" for a finished call whose repeat reached an agent
// without the claim log while the store was down.
TEST_CASE(
    "a finished call gets its stored response in an outage of the store") {
  Fleet fleet({"a", "b", "c"});
  const Report first = fleet.Send("order", {"a", "b", "c"});
  REQUIRE(first.outcome.kind == OutcomeKind::kComplete);
  StopStore(fleet);
  CheckStoredResponse(fleet.Send("order", {"c", "b", "a"}), first);
  CHECK(fleet.runs("order") == 1);
}

// Guards against "not run" from agents none of which can tell: the one that ran
// the call is gone and the store is down.
TEST_CASE("a call that no reachable agent knows is unknown in an outage") {
  Fleet fleet({"a", "b"});
  REQUIRE(fleet.Send("order", {"a", "b"}).outcome.kind ==
          OutcomeKind::kComplete);
  StopStore(fleet);
  fleet.unreachable = {"a"};
  const Outcome outcome = fleet.Send("order", {"b", "a"}).outcome;
  CHECK(outcome.kind == OutcomeKind::kUnknown);
  CHECK(outcome.reason == OutcomeReason::kClaimFailed);
}

// Guards against giving up "not run" where it is known: the log's owner sees
// that the key is not claimed.
TEST_CASE(
    "a new call in an outage is not run if the owner of its log says so") {
  Fleet fleet({"a", "b"});
  REQUIRE(fleet.Send("other order", {"a", "b"}).outcome.kind ==
          OutcomeKind::kComplete);
  StopStore(fleet);
  const auto order = GENERATE(std::vector<std::string>{"a", "b"},
                              std::vector<std::string>{"b", "a"});
  const Outcome outcome = fleet.Send("order", order).outcome;
  CHECK(outcome.kind == OutcomeKind::kNotRun);
  CHECK(outcome.reason == OutcomeReason::kClaimFailed);
  CHECK(outcome.retry_after > Duration(0));
  CHECK(fleet.runs("order") == 0);
  fleet.store_reads = fleet.store_writes = true;
  fleet.Wait(std::chrono::seconds(1));
  CHECK(fleet.Send("order", order).outcome.kind == OutcomeKind::kComplete);
}

// Guards against giving up "not run" where no agent owns the log yet: all have
// answered, and none has run the key.
TEST_CASE("a call that all agents say they have not run is not run") {
  Fleet fleet({"a", "b"});
  StopStore(fleet);
  CHECK(fleet.Send("order", {"a", "b"}).outcome.kind == OutcomeKind::kNotRun);
  fleet.unreachable = {"b"};
  CHECK(fleet.Send("order", {"a", "b"}).outcome.kind == OutcomeKind::kUnknown);
}

// Guards against calling a request unknown that was sent to no agent.
TEST_CASE("a call that reaches no agent is not run") {
  Fleet fleet({"a", "b"});
  fleet.unreachable = {"a", "b"};
  const Outcome outcome = fleet.Send("order", {"a", "b"}).outcome;
  CHECK(outcome.kind == OutcomeKind::kNotRun);
  CHECK(outcome.reason == OutcomeReason::kNoTarget);
}

// Guards against "not run" from an owner that lost the log without noticing.
TEST_CASE(
    "a former owner's refusal does not hide the response of its successor") {
  Fleet fleet({"a", "b"});
  RunAtSuccessor(fleet);
  StopStore(fleet);
  const Report repeated = fleet.Send("order", {"a", "b"});
  CHECK(repeated.outcome.kind == OutcomeKind::kComplete);
  CHECK(fleet.runs("order") == 1);
}

// Guards against "not run" from an owner whose last write conflicted: another
// agent may own the log and have run the call.
TEST_CASE("an owner whose write conflicted does not report a call as not run") {
  Fleet fleet({"a", "b"});
  RunAtSuccessor(fleet);
  fleet.store_reads = false;
  fleet.unreachable = {"b"};
  CHECK(fleet.Send("order", {"a", "b"}).outcome.kind == OutcomeKind::kUnknown);
}

// Guards against "not run" from an agent that refuses for load before it looks
// at the claim log.
TEST_CASE(
    "an overloaded agent without the log does not hide a stored response") {
  Fleet fleet({"a", "b"});
  const Report first = fleet.Send("order", {"a", "b"});
  fleet.overloaded = {"b"};
  CheckStoredResponse(fleet.Send("order", {"b", "a"}), first);
  fleet.unreachable = {"a"};
  CHECK(fleet.Send("order", {"b", "a"}).outcome.kind == OutcomeKind::kUnknown);
}

// Guards against "not run" for a finished call whose only agent has no healthy
// target but still holds the response.
TEST_CASE("an agent whose target is down still hands out a stored response") {
  Fleet fleet({"a"});
  const Report first = fleet.Send("order", {"a"});
  fleet.unhealthy = {"a"};
  CheckStoredResponse(fleet.Send("order", {"a"}), first);
  const Outcome outcome = fleet.Send("new order", {"a"}).outcome;
  CHECK(outcome.kind == OutcomeKind::kNotRun);
  CHECK(outcome.reason == OutcomeReason::kNoTarget);
}

TEST_CASE("an overloaded owner of the log reports a new call as not run") {
  Fleet fleet({"a", "b"});
  REQUIRE(fleet.Send("other order", {"a", "b"}).outcome.kind ==
          OutcomeKind::kComplete);
  fleet.overloaded = {"a"};
  const Outcome outcome = fleet.Send("order", {"a", "b"}).outcome;
  CHECK(outcome.kind == OutcomeKind::kNotRun);
  CHECK(outcome.reason == OutcomeReason::kOverloaded);
  CHECK(outcome.retry_after == std::chrono::seconds(3));
}

}  // namespace dogwoodlatch
