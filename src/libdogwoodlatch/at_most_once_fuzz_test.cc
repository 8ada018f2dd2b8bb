// Non-idempotent requests run at most once: checks the real decision code of
// routers and agents against an oracle, under faults.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <ranges>

#include "at_most_once_simulation.h"
#include "at_most_once_simulation_platform.h"
#include "dogwoodlatch/prefix_key.h"

namespace dogwoodlatch::test {
namespace {

constexpr Duration kDeadline = seconds(2);
// Time until an agent notices that its service has stopped or started.
constexpr Duration kHealthLag = milliseconds(100);
constexpr Duration kTickInterval = milliseconds(10);
// Longer than the retention of claims.
constexpr Duration kLongPause = minutes(40);
constexpr size_t kHeadEntries = 4;
constexpr int kRecentKeys = 6;

}  // namespace

Simulation::Simulation(uint32_t seed, Mutation mutation)
    : mutation_(mutation), random_(seed) {
  routers_[1].clock_skew = -minutes(2);
  for (size_t i = 0; i < kAgents; ++i) StartAgent(i);
}

void Simulation::Advance(Duration span) {
  const TimePoint end = now_ + span;
  while (!queue_.empty() && queue_.begin()->first <= end) {
    auto event = queue_.extract(queue_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
  now_ = end;
}

void Simulation::AtAgent(size_t i, int incarnation_number, Duration delay,
                         const Action& action) {
  At(delay, [=, this] {
    const Agent& agent = agents_[i];
    if (!agent.alive || agent.incarnation_number != incarnation_number) return;
    if (now_ < agent.paused_until) {
      return AtAgent(i, incarnation_number, agent.paused_until - now_, action);
    }
    action();
  });
}

void Simulation::AtRouter(size_t i, Duration delay, const Action& action) {
  At(delay, [=, this] {
    const TimePoint paused_until = routers_[i].paused_until;
    if (now_ < paused_until) return AtRouter(i, paused_until - now_, action);
    action();
  });
}

void Simulation::StartAgent(size_t i) {
  Agent& agent = agents_[i];
  ++agent.incarnation_number;
  agent.alive = true;
  agent.paused_until = now_;
  agent.admission = std::make_unique<AgentCore>(AgentLimits{6});
  AtMostOnceOptions options;
  options.log.self = TargetName(i);
  options.log.claimant = {BootId(i)};
  options.log.head_entries = kHeadEntries;
  agent.core = std::make_unique<AtMostOnceCore>(
      options,
      [this, admission = agent.admission.get()](const Submit& submit) {
        return admission->Admit(submit, now_);
      },
      std::mt19937_64(random_()));
  agent.tick_scheduled = false;
  PublishServiceState(i);
}

void Simulation::KillAgent(size_t i) {
  agents_[i].alive = false;
  for (const auto& [id, call] : calls_) {
    if (call->agent == i) LoseConnection(call, Delay());
  }
}

void Simulation::SetService(size_t i, bool up) {
  Agent& agent = agents_[i];
  agent.service_up = up;
  ++agent.service_incarnation_number;
  AtAgent(i, agent.incarnation_number, kHealthLag,
          [=, this] { PublishServiceState(i); });
}

void Simulation::PublishServiceState(size_t i) {
  Agent& agent = agents_[i];
  TargetState state;
  state.healthy = agent.service_up;
  state.incarnation.value =
      BootId(i) + "/" + std::to_string(agent.service_incarnation_number);
  agent.admission->SetTarget(state);
}

void Simulation::NewCall() {
  const bool is_fresh = next_key_ == first_fresh_key_ || OneIn(2);
  const int oldest = std::max(first_fresh_key_, next_key_ - kRecentKeys);
  const int span = std::max(1, next_key_ - oldest);
  const int recent =
      oldest + static_cast<int>(Random(static_cast<uint32_t>(span)));
  const int key = is_fresh ? next_key_++ : recent;
  auto call = std::make_shared<Call>();
  call->router = Random(kRouters);
  Submit& submit = call->submit;
  submit.request_id.value = "r" + std::to_string(next_request_++);
  submit.workspace.value = "w";
  submit.idempotency_key = "k" + std::to_string(key);
  submit.body = OneIn(10) ? "other" : "body";
  submit.digest = ComputeDigest({submit.body});
  submit.time_left = kDeadline;
  submit.kind = RequestKind::kService;
  submit.claim = {
      "s", kLogs, kRetention, {}, Wall(routers_[call->router].clock_skew)};
  oracle_.OnSubmitted(submit.request_id, submit.idempotency_key, submit.body,
                      now_);
  RequestPlan plan;
  plan.request_id = submit.request_id;
  plan.deadline = now_ + kDeadline;
  call->lifecycle = MakeRequestLifecycle(plan);
  calls_[submit.request_id] = call;
  ++open_calls_;
  AtRouter(call->router, kDeadline,
           [=, this] { HandleEvent(call, DeadlineReached{}); });
  Execute(call, call->lifecycle->Start());
}

void Simulation::HandleEvent(const std::shared_ptr<Call>& call,
                             const RequestEvent& event) {
  Execute(call, call->lifecycle->Handle(event));
}

void Simulation::Execute(const std::shared_ptr<Call>& call,
                         const std::vector<RequestCommand>& commands) {
  for (const RequestCommand& command : commands) {
    if (const auto* choose = std::get_if<ChooseTargetCommand>(&command)) {
      AtRouter(call->router, Delay(),
               [=, this, c = *choose] { ChooseTarget(call, c); });
    } else if (const auto* send = std::get_if<SendAttempt>(&command)) {
      Send(call, *send);
    } else if (const auto* part =
                   std::get_if<dogwoodlatch::Deliver>(&command)) {
      call->answer += part->data;
    } else if (const auto* report = std::get_if<ReportOutcome>(&command)) {
      oracle_.OnOutcome(call->submit.request_id, report->outcome, call->answer);
      call->over = true;
      --open_calls_;
    }
  }
}

void Simulation::ChooseTarget(const std::shared_ptr<Call>& call,
                              const ChooseTargetCommand& command) {
  const auto can_take = [&](size_t i) {
    const bool is_named =
        command.preferred.empty()
            ? std::ranges::find(command.avoid, TargetName(i)) ==
                  command.avoid.end()
            : command.preferred == TargetName(i);
    const Agent& agent = agents_[i];
    return is_named && routers_[call->router].lists_agent[i] && agent.alive &&
           now_ >= agent.paused_until &&
           (agent.service_up || !command.preferred.empty() ||
            command.lookup_only);
  };
  const size_t first =
      SelectClaimLog(ComputeClaimKey(call->submit), kLogs) % kAgents;
  for (size_t n = 0; n < kAgents; ++n) {
    const size_t i = (first + n) % kAgents;
    if (!can_take(i)) continue;
    const ProbeReply reply = agents_[i].admission->Answer({});
    return HandleEvent(call,
                       TargetChosen{TargetName(i), reply.incarnation, ""});
  }
  const auto is_unasked = [&](size_t i) {
    return routers_[call->router].lists_agent[i] &&
           std::ranges::find(command.avoid, TargetName(i)) ==
               command.avoid.end();
  };
  bool some_unreached = false;
  for (size_t i = 0; i < kAgents; ++i) some_unreached |= is_unasked(i);
  HandleEvent(call, NoTargetFound{seconds(1), OutcomeReason::kNoTarget,
                                  some_unreached});
}

// The message may be lost, late or duplicated; if it is lost or late, the
// router sees the connection end.
void Simulation::Send(const std::shared_ptr<Call>& call,
                      const SendAttempt& command) {
  const size_t i = AgentIndex(command.target);
  call->agent = i;
  call->attempt = command.attempt;
  Submit submit = call->submit;
  submit.attempt = command.attempt;
  submit.incarnation = command.incarnation;
  submit.claim.take_over_from = command.take_over_from;
  submit.claim.lookup_only = command.lookup_only;
  if (!agents_[i].alive) return LoseConnection(call, Delay());
  const bool is_disturbed = !fault_free_ && OneIn(5);
  const bool is_lost = is_disturbed && OneIn(3);
  const bool is_late = is_disturbed && OneIn(3);
  const int copies = is_disturbed && OneIn(2) ? 2 : 1;
  if (is_lost || is_late) LoseConnection(call, Delay());
  if (is_lost) return;
  for (int copy = 0; copy < copies; ++copy) {
    const Duration delay =
        is_late || copy > 0 ? Duration(milliseconds(Random(4000))) : Delay();
    Submit sent = submit;
    if (mutation_ == Mutation::kIgnoreRefusals && copy > 0) {
      sent.request_id.value += "+";
    }
    At(delay, [=, this] { Deliver(i, sent); });
  }
}

void Simulation::Deliver(size_t i, Submit submit) {
  if (mutation_ == Mutation::kIgnoreBody) submit.digest = 0;
  if (mutation_ == Mutation::kNoJoin) {
    submit.idempotency_key += "/" + submit.request_id.value;
  }
  AtAgent(i, agents_[i].incarnation_number, Duration(0), [=, this] {
    Execute(i, agents_[i].core->OnSubmit(submit, 0, now_, Wall()));
  });
}

void Simulation::LoseConnection(const std::shared_ptr<Call>& call,
                                Duration delay) {
  const uint32_t attempt = call->attempt;
  const size_t agent = *call->agent;
  AtRouter(call->router, delay, [=, this] {
    if (mutation_ == Mutation::kNotRunAfterLoss && call->attempt == attempt) {
      return HandleEvent(call,
                         Refused{call->submit.request_id, attempt,
                                 RefusalReason::kSealed, seconds(1), "", true});
    }
    if (call->agent == agent) HandleEvent(call, ConnectionLost{attempt});
  });
}

void Simulation::SendToRouter(const Message& message) {
  std::visit(
      [this](const auto& m) {
        if constexpr (std::is_constructible_v<RequestEvent, decltype(m)>) {
          const auto found = calls_.find(m.request_id);
          if (found == calls_.end()) return;
          const std::shared_ptr<Call> call = found->second;
          if (!fault_free_ && OneIn(20)) return LoseConnection(call, Delay());
          const auto copy = m;
          AtRouter(call->router, milliseconds(1),
                   [=, this] { HandleEvent(call, copy); });
        }
      },
      message);
}

void Simulation::Execute(size_t i, const AtMostOnceCore::Commands& commands) {
  for (const AtMostOnceCommand& command : commands) {
    if (const auto* send = std::get_if<SendBack>(&command)) {
      SendToRouter(send->message);
    } else if (const auto* start = std::get_if<StartRun>(&command)) {
      AtAgent(i, agents_[i].incarnation_number, Delay(),
              [=, this, s = *start] { Run(i, s); });
    } else if (const auto* layout = std::get_if<EnsureLayout>(&command)) {
      AnswerLayout(i, *layout);
    } else if (const auto* access = std::get_if<AccessLog>(&command)) {
      AccessClaimLog(i, *access);
    } else if (const auto* end = std::get_if<EndAdmission>(&command)) {
      agents_[i].admission->OnEnded(end->request_id, end->attempt);
    }
  }
  KeepTicking(i);
}

void Simulation::Run(size_t i, const StartRun& start) {
  const Agent& agent = agents_[i];
  const bool is_late =
      now_ >= start.start_before && mutation_ != Mutation::kStartLate;
  if (is_late || !agent.service_up) {
    return EndRun(i, agent.incarnation_number, start.key, RunOutcome::kNotSent,
                  "", Delay());
  }
  std::string id = start.submit.request_id.value;
  if (id.ends_with('+')) id.pop_back();
  const std::string body = oracle_.OnRun({id}, now_);
  const Duration latency = milliseconds(5 + Random(OneIn(5) ? 1500 : 30));
  At(latency, [=, this, incarnation_number = agent.incarnation_number,
               service = agent.service_incarnation_number] {
    const bool is_lost = agents_[i].service_incarnation_number != service;
    EndRun(i, incarnation_number, start.key,
           is_lost ? RunOutcome::kLost : RunOutcome::kComplete, body,
           Duration(0));
  });
}

void Simulation::EndRun(size_t i, int incarnation_number, const ClaimKey& key,
                        RunOutcome outcome, const std::string& body,
                        Duration delay) {
  AtAgent(i, incarnation_number, delay, [=, this] {
    Execute(i, agents_[i].core->OnRunEnded(key, outcome, {Finished{}, body}));
  });
}

void Simulation::KeepTicking(size_t i) {
  Agent& agent = agents_[i];
  if (agent.tick_scheduled || agent.core->is_idle()) return;
  agent.tick_scheduled = true;
  AtAgent(i, agent.incarnation_number, kTickInterval, [=, this] {
    agents_[i].tick_scheduled = false;
    Execute(i, agents_[i].core->Tick(now_, Wall()));
  });
}

void Simulation::Step(uint32_t choice) {
  const size_t i = (choice / 100) % kAgents;
  const Duration span = milliseconds(20 + (choice / 1000) % 2000);
  const uint32_t kind = choice % 100;
  if (kind < 50) {
    NewCall();
  } else if (kind < 70) {
    Advance(span / 20);
  } else if (kind < 75) {
    if (agents_[i].alive) {
      KillAgent(i);
      At(span / 4, [=, this] {
        if (!agents_[i].alive) StartAgent(i);
      });
    }
  } else if (kind < 79) {
    agents_[i].paused_until = now_ + span;
  } else if (kind < 80) {
    agents_[i].paused_until = now_ + kLongPause;
  } else if (kind < 84) {
    SetService(i, false);
    At(span / 4, [=, this] { SetService(i, true); });
  } else if (kind < 87) {
    platform_down_until_ = now_ + span;
  } else if (kind < 89) {
    platform_slow_until_ = now_ + span;
  } else if (kind < 92) {
    bool& listed = routers_[choice / 300 % kRouters].lists_agent[i];
    listed = !listed;
  } else if (kind < 94) {
    routers_[choice / 100 % kRouters].paused_until = now_ + span;
  } else if (kind < 95) {
    first_fresh_key_ = next_key_;
    Advance(kLongPause);
  } else {
    Advance(span);
  }
  Advance(milliseconds(3));
}

void Simulation::RunToCompletion() {
  fault_free_ = true;
  for (Router& router : routers_) router.lists_agent = {true, true, true};
  Advance(kLongPause + seconds(10));
}

int Simulation::CountCompletedWithoutFaults(int calls) {
  const int before = oracle_.outcome_counts[OutcomeKind::kComplete];
  for (int n = 0; n < calls; ++n) {
    first_fresh_key_ = next_key_;
    NewCall();
    Advance(kDeadline + seconds(1));
  }
  return oracle_.outcome_counts[OutcomeKind::kComplete] - before;
}

namespace {

constexpr int kCallsAfterFaults = 5;
constexpr size_t kStepsPerRun = 1200;
constexpr uint32_t kChoices = 100 * 3 * 2 * 2000;
constexpr int kFullSize = 100;

void RunSteps(Simulation& sim, const std::vector<uint32_t>& choices) {
  for (const uint32_t choice : choices) {
    sim.Step(choice);
    if (!sim.oracle().violation().empty()) return;
  }
  sim.RunToCompletion();
}

// Returns the violation found, or "".
std::string FindFault(const std::vector<uint32_t>& choices,
                      std::map<OutcomeKind, int>& outcome_counts) {
  Simulation sim(choices.empty() ? 0 : choices.front());
  RunSteps(sim, choices);
  outcome_counts = sim.oracle().outcome_counts;
  if (!sim.oracle().violation().empty()) return sim.oracle().violation();
  if (!sim.has_no_open_calls()) return "a request has no outcome";
  if (sim.CountCompletedWithoutFaults(kCallsAfterFaults) < kCallsAfterFaults) {
    return "a call fails after all faults have ended";
  }
  return sim.oracle().violation();
}

// Number of scripts run until the oracle detects the mutation; nullopt if it
// never does.
std::optional<int> ScriptsUntilDetected(Mutation mutation) {
  constexpr int kMaxScripts = 200;
  std::mt19937 random(20261203);
  for (int script = 1; script <= kMaxScripts; ++script) {
    std::vector<uint32_t> choices(kStepsPerRun);
    std::ranges::generate(choices, [&] { return random() % kChoices; });
    Simulation sim(choices.front(), mutation);
    RunSteps(sim, choices);
    if (!sim.oracle().violation().empty()) return script;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("no call runs twice and 'not run' is accurate under faults") {
  size_t steps = 0;
  std::map<OutcomeKind, int> totals;
  rc::prop("the oracle reports no violation", [&] {
    const auto choices = *rc::gen::resize(
        kFullSize, rc::gen::container<std::vector<uint32_t>>(
                       kStepsPerRun, rc::gen::inRange(0U, kChoices)));
    std::map<OutcomeKind, int> outcome_counts;
    const std::string violation = FindFault(choices, outcome_counts);
    if (!violation.empty()) UNSCOPED_INFO(violation);
    RC_ASSERT(violation.empty());
    steps += choices.size();
    for (const auto& [kind, count] : outcome_counts) totals[kind] += count;
  });
  CHECK(steps >= 100000);
  // Enough calls must complete despite the faults.
  CHECK(totals[OutcomeKind::kComplete] > totals[OutcomeKind::kUnknown]);
  WARN("steps " << steps << ", complete " << totals[OutcomeKind::kComplete]
                << ", not_run " << totals[OutcomeKind::kNotRun]
                << ", outcome_unknown " << totals[OutcomeKind::kUnknown]
                << ", rejected " << totals[OutcomeKind::kRejected]);
}

TEST_CASE("the oracle detects each deliberate fault") {
  const auto mutation =
      GENERATE(Mutation::kIgnoreOtherIncarnations, Mutation::kIgnoreConflict,
               Mutation::kTrustLostWrite, Mutation::kIgnoreRefusals,
               Mutation::kIgnoreBody, Mutation::kNotRunAfterLoss,
               Mutation::kNoJoin, Mutation::kStartLate);
  const std::optional<int> scripts = ScriptsUntilDetected(mutation);
  CAPTURE(static_cast<int>(mutation));
  CHECK(scripts.has_value());
}

}  // namespace dogwoodlatch::test
