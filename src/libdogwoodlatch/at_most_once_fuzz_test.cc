// Non-idempotent requests run at most once: the real decision code of routers
// and agents against an oracle, under faults.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "at_most_once_world.h"
#include "at_most_once_world_platform.h"
#include "dogwoodlatch/prefix_key.h"

namespace dogwoodlatch::test {
namespace {

constexpr Duration kDeadline = seconds(2);
constexpr Duration kHealthLag = milliseconds(100);
constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kLongPause = minutes(40);
constexpr size_t kHeadEntries = 4;
constexpr int kRecentKeys = 6;

}  // namespace

World::World(uint32_t seed, Mutation mutation)
    : mutation_(mutation), random_(seed) {
  routers_[1].clock_skew = -minutes(2);
  for (size_t i = 0; i < kAgents; ++i) StartAgent(i);
}

void World::Advance(Duration span) {
  const TimePoint end = now_ + span;
  while (!queue_.empty() && queue_.begin()->first <= end) {
    auto event = queue_.extract(queue_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
  now_ = end;
}

void World::AtAgent(size_t i, int life, Duration delay, const Action& action) {
  At(delay, [=, this] {
    const Agent& agent = agents_[i];
    if (!agent.alive || agent.life != life) return;
    if (now_ < agent.paused_until) {
      return AtAgent(i, life, agent.paused_until - now_, action);
    }
    action();
  });
}

void World::AtRouter(size_t i, Duration delay, const Action& action) {
  At(delay, [=, this] {
    const TimePoint paused_until = routers_[i].paused_until;
    if (now_ < paused_until) return AtRouter(i, paused_until - now_, action);
    action();
  });
}

void World::StartAgent(size_t i) {
  Agent& agent = agents_[i];
  ++agent.life;
  agent.alive = true;
  agent.paused_until = now_;
  agent.admission = std::make_unique<AgentCore>(AgentLimits{6});
  AtMostOnceOptions options;
  options.log.self = NameOf(i);
  options.log.claimant = {BootOf(i)};
  options.log.head_entries = kHeadEntries;
  agent.core = std::make_unique<AtMostOnceCore>(
      options,
      [this, admission = agent.admission.get()](const Submit& submit) {
        return admission->Admit(submit, now_);
      },
      std::mt19937_64(random_()));
  agent.ticks = false;
  ShowService(i);
}

void World::KillAgent(size_t i) {
  agents_[i].alive = false;
  for (const auto& [id, call] : calls_) {
    if (call->agent == i) LoseConnection(call, Delay());
  }
}

void World::SetService(size_t i, bool up) {
  Agent& agent = agents_[i];
  agent.service_up = up;
  ++agent.service_life;
  AtAgent(i, agent.life, kHealthLag, [=, this] { ShowService(i); });
}

void World::ShowService(size_t i) {
  Agent& agent = agents_[i];
  TargetState state;
  state.healthy = agent.service_up;
  state.incarnation.value =
      BootOf(i) + "/" + std::to_string(agent.service_life);
  agent.admission->SetTarget(state);
}

void World::NewCall() {
  const bool is_fresh = next_key_ == first_fresh_key_ || OneIn(2);
  const int oldest = std::max(first_fresh_key_, next_key_ - kRecentKeys);
  const int span = std::max(1, next_key_ - oldest);
  const int recent =
      oldest + static_cast<int>(Random(static_cast<uint32_t>(span)));
  const int key = is_fresh ? next_key_++ : recent;
  auto call = std::make_shared<Call>();
  call->router = Random(kRouters);
  Submit& order = call->order;
  order.request_id.value = "r" + std::to_string(next_request_++);
  order.workspace.value = "w";
  order.idempotency_key = "k" + std::to_string(key);
  order.body = OneIn(10) ? "other" : "body";
  order.digest = ComputeDigest({order.body});
  order.time_left = kDeadline;
  order.kind = RequestKind::kService;
  order.claim = {
      "s", kLogs, kRetention, {}, Wall(routers_[call->router].clock_skew)};
  oracle_.OnSubmitted(order.request_id, order.idempotency_key, order.body,
                      now_);
  RequestPlan plan;
  plan.request_id = order.request_id;
  plan.deadline = now_ + kDeadline;
  call->life = MakeRequestLifecycle(plan);
  calls_[order.request_id] = call;
  ++open_calls_;
  AtRouter(call->router, kDeadline,
           [=, this] { Feed(call, DeadlineReached{}); });
  Do(call, call->life->Start());
}

void World::Feed(const std::shared_ptr<Call>& call, const RequestEvent& event) {
  Do(call, call->life->Handle(event));
}

void World::Do(const std::shared_ptr<Call>& call,
               const std::vector<RequestCommand>& commands) {
  for (const RequestCommand& command : commands) {
    if (const auto* choose = std::get_if<ChooseTargetCommand>(&command)) {
      AtRouter(call->router, Delay(),
               [=, this, c = *choose] { Choose(call, c); });
    } else if (const auto* send = std::get_if<SendAttempt>(&command)) {
      Send(call, *send);
    } else if (const auto* part =
                   std::get_if<dogwoodlatch::Deliver>(&command)) {
      call->answer += part->data;
    } else if (const auto* give = std::get_if<ReportOutcome>(&command)) {
      oracle_.OnOutcome(call->order.request_id, give->outcome, call->answer);
      call->over = true;
      --open_calls_;
    }
  }
}

void World::Choose(const std::shared_ptr<Call>& call,
                   const ChooseTargetCommand& command) {
  const auto can_take = [&](size_t i) {
    const bool is_named =
        command.preferred.empty()
            ? std::ranges::find(command.avoid, NameOf(i)) == command.avoid.end()
            : command.preferred == NameOf(i);
    const Agent& agent = agents_[i];
    return is_named && routers_[call->router].lists[i] && agent.alive &&
           now_ >= agent.paused_until &&
           (agent.service_up || !command.preferred.empty());
  };
  const size_t first = ClaimLogOf(ClaimKeyOf(call->order), kLogs) % kAgents;
  for (size_t n = 0; n < kAgents; ++n) {
    const size_t i = (first + n) % kAgents;
    if (!can_take(i)) continue;
    const ProbeReply reply = agents_[i].admission->Answer({});
    return Feed(call, TargetChosen{NameOf(i), reply.incarnation, ""});
  }
  Feed(call, NoTargetFound{seconds(1)});
}

// The message may be lost, late or doubled; the router may see the connection
// end in any of these cases.
void World::Send(const std::shared_ptr<Call>& call,
                 const SendAttempt& command) {
  const size_t i = IndexOf(command.target);
  call->agent = i;
  call->attempt = command.attempt;
  Submit submit = call->order;
  submit.attempt = command.attempt;
  submit.incarnation = command.incarnation;
  submit.claim.take_over_from = command.take_over_from;
  if (!agents_[i].alive) return LoseConnection(call, Delay());
  const bool is_disturbed = !calm_ && OneIn(5);
  const bool is_lost = is_disturbed && OneIn(3);
  const bool is_late = is_disturbed && OneIn(3);
  const int copies = is_disturbed && OneIn(2) ? 2 : 1;
  if (is_lost || is_late) LoseConnection(call, Delay());
  if (is_lost) return;
  for (int copy = 0; copy < copies; ++copy) {
    const Duration delay =
        is_late || copy > 0 ? Duration(milliseconds(Random(4000))) : Delay();
    Submit sent = submit;
    if (mutation_ == Mutation::kForgetRefusals && copy > 0) {
      sent.request_id.value += "+";
    }
    At(delay, [=, this] { Deliver(i, sent); });
  }
}

void World::Deliver(size_t i, Submit submit) {
  if (mutation_ == Mutation::kIgnoreBody) submit.digest = 0;
  if (mutation_ == Mutation::kNoJoin) {
    submit.idempotency_key += "/" + submit.request_id.value;
  }
  AtAgent(i, agents_[i].life, Duration(0), [=, this] {
    Do(i, agents_[i].core->OnSubmit(submit, 0, now_, Wall()));
  });
}

void World::LoseConnection(const std::shared_ptr<Call>& call, Duration delay) {
  const uint32_t attempt = call->attempt;
  const size_t agent = *call->agent;
  AtRouter(call->router, delay, [=, this] {
    if (mutation_ == Mutation::kNotRunAfterLoss && call->attempt == attempt) {
      return Feed(call, Refused{call->order.request_id, attempt,
                                RefusalReason::kSealed, seconds(1), ""});
    }
    if (call->agent == agent) Feed(call, ConnectionLost{attempt});
  });
}

void World::SendToRouter(const Message& message) {
  std::visit(
      [this](const auto& m) {
        if constexpr (std::is_constructible_v<RequestEvent, decltype(m)>) {
          const auto found = calls_.find(m.request_id);
          if (found == calls_.end()) return;
          const std::shared_ptr<Call> call = found->second;
          if (!calm_ && OneIn(20)) return LoseConnection(call, Delay());
          const auto copy = m;
          AtRouter(call->router, milliseconds(1),
                   [=, this] { Feed(call, copy); });
        }
      },
      message);
}

void World::Do(size_t i, const AtMostOnceCore::Commands& commands) {
  for (const AtMostOnceCommand& command : commands) {
    if (const auto* send = std::get_if<SendBack>(&command)) {
      SendToRouter(send->message);
    } else if (const auto* start = std::get_if<StartRun>(&command)) {
      AtAgent(i, agents_[i].life, Delay(),
              [=, this, s = *start] { Run(i, s); });
    } else if (const auto* layout = std::get_if<EnsureLayout>(&command)) {
      Layout(i, *layout);
    } else if (const auto* access = std::get_if<AccessLog>(&command)) {
      Access(i, *access);
    } else if (const auto* end = std::get_if<EndAdmission>(&command)) {
      agents_[i].admission->OnEnded(end->request_id, end->attempt);
    }
  }
  KeepTicking(i);
}

void World::Run(size_t i, const StartRun& start) {
  const Agent& agent = agents_[i];
  const bool is_late =
      now_ >= start.start_before && mutation_ != Mutation::kStartLate;
  if (is_late || !agent.service_up) {
    return EndRun(i, agent.life, start.key, RunEnd::kNotSent, "", Delay());
  }
  std::string id = start.order.request_id.value;
  if (id.ends_with('+')) id.pop_back();
  const std::string body = oracle_.OnRun({id}, now_);
  const Duration latency = milliseconds(5 + Random(OneIn(5) ? 1500 : 30));
  At(latency, [=, this, life = agent.life, service = agent.service_life] {
    const bool is_lost = agents_[i].service_life != service;
    EndRun(i, life, start.key, is_lost ? RunEnd::kLost : RunEnd::kWhole, body,
           Duration(0));
  });
}

void World::EndRun(size_t i, int life, const ClaimKey& key, RunEnd end,
                   const std::string& body, Duration delay) {
  AtAgent(i, life, delay, [=, this] {
    Do(i, agents_[i].core->OnRunEnded(key, end, {Finished{}, body}));
  });
}

void World::KeepTicking(size_t i) {
  Agent& agent = agents_[i];
  if (agent.ticks || agent.core->is_idle()) return;
  agent.ticks = true;
  AtAgent(i, agent.life, kTickInterval, [=, this] {
    agents_[i].ticks = false;
    Do(i, agents_[i].core->Tick(now_, Wall()));
  });
}

void World::Step(uint32_t choice) {
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
    bool& listed = routers_[choice / 300 % kRouters].lists[i];
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

void World::Settle() {
  calm_ = true;
  for (Router& router : routers_) router.lists = {true, true, true};
  Advance(kLongPause + seconds(10));
}

int World::CompleteWhenCalm(int calls) {
  const int before = oracle_.told[OutcomeKind::kComplete];
  for (int n = 0; n < calls; ++n) {
    first_fresh_key_ = next_key_;
    NewCall();
    Advance(kDeadline + seconds(1));
  }
  return oracle_.told[OutcomeKind::kComplete] - before;
}

namespace {

constexpr int kCallsAfterFaults = 5;
constexpr size_t kStepsPerRun = 1200;
constexpr uint32_t kChoices = 100 * 3 * 2 * 2000;
constexpr int kFullSize = 100;

void RunSteps(World& world, const std::vector<uint32_t>& choices) {
  for (const uint32_t choice : choices) {
    world.Step(choice);
    if (!world.oracle().blame().empty()) return;
  }
  world.Settle();
}

// Gives what is wrong, or "".
std::string FindFault(const std::vector<uint32_t>& choices,
                      std::map<OutcomeKind, int>& told) {
  World world(choices.empty() ? 0 : choices.front());
  RunSteps(world, choices);
  told = world.oracle().told;
  if (!world.oracle().blame().empty()) return world.oracle().blame();
  if (!world.is_over()) return "a request has no outcome";
  if (world.CompleteWhenCalm(kCallsAfterFaults) < kCallsAfterFaults) {
    return "a call fails although all faults are over";
  }
  return world.oracle().blame();
}

// How many scripts it takes until the oracle notices the mutation.
std::optional<int> ScriptsUntilNoticed(Mutation mutation) {
  constexpr int kMaxScripts = 200;
  std::mt19937 random(20261203);
  for (int script = 1; script <= kMaxScripts; ++script) {
    std::vector<uint32_t> choices(kStepsPerRun);
    std::ranges::generate(choices, [&] { return random() % kChoices; });
    World world(choices.front(), mutation);
    RunSteps(world, choices);
    if (!world.oracle().blame().empty()) return script;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("nothing runs twice and 'not run' is true, under any faults") {
  size_t steps = 0;
  std::map<OutcomeKind, int> all_told;
  rc::prop("the oracle has no blame", [&] {
    const auto choices = *rc::gen::resize(
        kFullSize, rc::gen::container<std::vector<uint32_t>>(
                       kStepsPerRun, rc::gen::inRange(0U, kChoices)));
    std::map<OutcomeKind, int> told;
    const std::string blame = FindFault(choices, told);
    if (!blame.empty()) UNSCOPED_INFO(blame);
    RC_ASSERT(blame.empty());
    steps += choices.size();
    for (const auto& [kind, count] : told) all_told[kind] += count;
  });
  CHECK(steps >= 100000);
  // The faults must leave enough that works.
  CHECK(all_told[OutcomeKind::kComplete] > all_told[OutcomeKind::kUnknown]);
  WARN("steps " << steps << ", complete " << all_told[OutcomeKind::kComplete]
                << ", not_run " << all_told[OutcomeKind::kNotRun]
                << ", outcome_unknown " << all_told[OutcomeKind::kUnknown]
                << ", rejected " << all_told[OutcomeKind::kRejected]);
}

TEST_CASE("the oracle notices each deliberate fault") {
  const auto mutation =
      GENERATE(Mutation::kForgetOtherLives, Mutation::kIgnoreConflict,
               Mutation::kTrustLostWrite, Mutation::kForgetRefusals,
               Mutation::kIgnoreBody, Mutation::kNotRunAfterLoss,
               Mutation::kNoJoin, Mutation::kStartLate);
  const std::optional<int> scripts = ScriptsUntilNoticed(mutation);
  CAPTURE(static_cast<int>(mutation));
  CHECK(scripts.has_value());
}

}  // namespace dogwoodlatch::test
