/// A small world for outcomes_fuzz_test.cc: routers' and agents' real decision
/// code, fakes of engines and network, one virtual clock, and an oracle that
/// knows only what ran where and what each caller was told.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dogwoodlatch/agent_core.h"
#include "dogwoodlatch/idempotent_life.h"
#include "dogwoodlatch/quarantine.h"
#include "dogwoodlatch/retry_budget.h"

namespace dogwoodlatch::fuzz {

/// A deliberate fault of the code under test, or none.
enum class Mutation {
  kNone,
  kIgnoreSequence,     ///< parts are taken whatever their number
  kAcceptOtherAnswer,  ///< a part is taken whatever attempt or request it names
  kIgnoreIdentity,     ///< neither incarnation nor weights are compared
  kIgnoreDraining,     ///< a leaving target goes on to take work
  kCutOnHandOver,      ///< a handed-over stream is given up
  kClaimNotRun,        ///< what may have run is reported as not run
  kHoldOutcome,        ///< the outcome is held back until the deadline
  kRepeatOutcome,      ///< the outcome is given twice
  kForgetSuspects,     ///< crashes leave no suspects
  kBlameAll,           ///< everything in flight at a crash is quarantined
};

/// Which faults a run may meet.
enum class Faults { kAll, kPlannedStops, kCrashes };

/// One decision of the generator: which kind of step, and a choice within it.
struct Step {
  uint32_t kind = 0;
  uint32_t choice = 0;
};

inline constexpr uint32_t kStepKinds = 40;

// What ran: filled by the engine fake, never by the code under test.
struct RanRecord {
  size_t request = 0;
  uint64_t digest = 0;
  bool target_was_leaving = false;
};

// One part that the engine fake made, and what its order was routed on.
struct PartRecord {
  Incarnation made_by;
  std::string weights;
  Incarnation routed_on;
  std::string routed_weights;
};

struct Request {
  uint64_t digest = 0;
  bool poison = false;
  uint32_t words = 0;
  size_t router = 0;
  TimePoint deadline;
  std::unique_ptr<IdempotentLife> life;
  std::string told;
  bool told_after_outcome = false;
  std::vector<Outcome> outcomes;
  std::vector<Outcome> held;
  std::optional<size_t> target;  // of the open attempt
  uint32_t attempt = 0;
  bool alone = false;
  uint64_t parts_fed = 0;
};

struct Run {
  Submit order;
  size_t request = 0;
  size_t router = 0;
  uint32_t next_word = 0;
  uint64_t next_sequence = 0;
};

struct Target {
  TargetId id;
  int boot = 0;
  int agent_boot = 0;
  int weights = 0;
  bool up = true;
  bool agent_paused = false;
  bool draining = false;
  uint32_t connection = 0;  // grows when the agent's connections are lost
  std::unique_ptr<AgentCore> core;
  std::vector<Run> runs;
};

struct ToAgent {
  size_t target = 0;
  uint32_t connection = 0;
  size_t request = 0;
  Message message;
};

struct ToRouter {
  size_t target = 0;
  uint32_t connection = 0;
  size_t request = 0;
  RequestEvent event;
};

struct Router {
  QuarantineTable quarantine{QuarantineLimits{}};
  RetryBudget budget{RetryBudgetLimits{}};
  std::map<size_t, ProbeReply> old_replies;  // answers that arrive late
  std::set<size_t> leaving;                  // as its VM list says, with a lag
};

// The attempt that an event names, or 0.
inline uint32_t AttemptOf(const RequestEvent& event) {
  return std::visit(
      [](const auto& e) -> uint32_t {
        if constexpr (requires { e.attempt; }) return e.attempt;
        return 0;
      },
      event);
}

class World {
 public:
  World(Faults faults, Mutation mutation);

  void Take(const Step& step);

  // Ends all faults and runs on until every request is past its deadline.
  void Settle();

  // The oracle: empty when the property holds.
  std::string CheckInOrder() const;
  std::string CheckOwnAnswer() const;
  std::string CheckIdentity() const;
  std::string CheckLeaving() const;
  std::string CheckPlannedStop() const;
  std::string CheckNotRunIsTrue() const;
  std::string CheckOneOutcome() const;
  std::string CheckAtOnce() const { return late_outcome_; }
  std::string CheckPoison() const;
  std::string CheckInnocents() const;

  size_t completed() const;
  size_t request_count() const { return requests_.size(); }

 private:
  void Fault(const Step& step);
  void NewRequest(bool poison, uint32_t choice);
  void Feed(size_t request, const RequestEvent& event);
  void Execute(size_t request, std::vector<RequestCommand> commands);
  RequestEvent Choose(size_t request, const ChooseTargetCommand& command);
  void SendOrder(size_t request, const SendAttempt& command);
  void GiveOutcomeTo(size_t request, Outcome outcome);
  void DeliverToAgent(size_t index);
  void DeliverToRouter(size_t index);
  void TellCrash(size_t request, const Broken& broken);
  RequestEvent Mutated(size_t request, RequestEvent event);
  void StartRun(Target& target, size_t index, const ToAgent& mail);
  void Progress(uint32_t choice);
  void EndRun(Target& target, size_t index, size_t run, RequestEvent event);
  void CrashEngine(size_t index);
  void NoteAccident(const Target& target);
  void RestartAgent(size_t index);
  void HandOver(size_t index);
  void Poll(Target& target);
  void Tick(Duration span);
  void ReportRuns(size_t index, BreakCause cause);
  void CheckPending(size_t request);
  std::string Word(const Request& request, uint32_t index) const;
  std::string Expected(const Request& request) const;
  Incarnation LifeOf(const Target& target) const;
  std::string WeightsOf(const Target& target) const;

  Faults faults_;
  AgentLimits limits_;
  Mutation mutation_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Target> targets_;
  std::vector<Router> routers_;
  std::vector<Request> requests_;
  std::deque<ToAgent> to_agents_;
  std::deque<ToRouter> to_routers_;
  std::vector<RanRecord> ran_;
  std::vector<PartRecord> parts_;
  std::map<uint64_t, int> crashes_;  // engines that a poison request crashed
  std::set<uint64_t> accidents_;  // ran alone when an engine crashed by itself
  std::string late_outcome_;
  uint64_t next_poison_ = 0;
};

inline World::World(Faults faults, Mutation mutation)
    : faults_(faults), mutation_(mutation), targets_(3), routers_(2) {
  // A refusal for overload is no cut: planned stops are judged without any.
  limits_.max_running = faults == Faults::kPlannedStops ? 64 : 4;
  for (size_t i = 0; i < targets_.size(); ++i) {
    targets_[i].id.value = "t" + std::to_string(i);
    targets_[i].core = std::make_unique<AgentCore>(limits_);
    Poll(targets_[i]);
  }
}

inline Incarnation World::LifeOf(const Target& target) const {
  return JoinIncarnation(
      target.id.value + "a" + std::to_string(target.agent_boot),
      "b" + std::to_string(target.boot));
}

inline std::string World::WeightsOf(const Target& target) const {
  return "v" + std::to_string(target.weights);
}

inline std::string World::Word(const Request& request, uint32_t index) const {
  return std::to_string(request.digest) + "." + std::to_string(index) + " ";
}

inline std::string World::Expected(const Request& request) const {
  std::string text;
  for (uint32_t i = 0; i < request.words; ++i) text += Word(request, i);
  return text;
}

inline void World::Take(const Step& step) {
  if (step.kind < 9) return DeliverToAgent(0);
  if (step.kind < 18) return DeliverToRouter(0);
  if (step.kind < 26) return Progress(step.choice);
  if (step.kind < 29) return Tick(std::chrono::milliseconds(20));
  if (step.kind < 32) return NewRequest(false, step.choice);
  if (step.kind < 33) return Poll(targets_[step.choice % targets_.size()]);
  Fault(step);
}

inline void World::Fault(const Step& step) {
  const size_t index = step.choice % targets_.size();
  const uint32_t detail = step.choice / targets_.size();
  Target& target = targets_[index];
  const bool all = faults_ == Faults::kAll;
  switch (step.kind) {
    case 33:  // a target leaves, or a left one comes back
      if (faults_ == Faults::kCrashes) return;
      if (target.draining) {
        if (target.runs.empty()) RestartAgent(index);
      } else if (std::ranges::count(targets_, true, &Target::draining) == 0) {
        target.draining = true;
        if (mutation_ != Mutation::kIgnoreDraining) {
          target.core->StartDraining();
        }
      }
      return;
    case 34:
      if (target.draining) HandOver(index);
      return;
    case 35:  // the VM list reaches one router
      routers_[detail % routers_.size()].leaving.clear();
      if (target.draining) {
        routers_[detail % routers_.size()].leaving.insert(index);
      }
      return;
    case 36:
      if (faults_ == Faults::kPlannedStops) return;
      if (target.up && detail % 2 == 0) {
        NoteAccident(target);
        CrashEngine(index);
      }
      target.up = true;  // crashed and back, unless the crash lasts
      if (detail % 3 == 0) return;
      return Poll(target);
    case 37:
      if (faults_ == Faults::kCrashes) return NewRequest(true, step.choice);
      if (!all) return;
      if (detail % 4 == 0) return RestartAgent(index);
      target.agent_paused = detail % 4 == 1;
      if (detail % 4 == 2) ++target.weights;
      return;
    case 38:  // a message is lost, or comes twice
      if (!all) return;
      if (detail % 2 == 0 && !to_routers_.empty()) to_routers_.pop_front();
      if (detail % 2 == 1 && !to_routers_.empty()) {
        to_routers_.push_back(to_routers_.front());
      }
      return;
    default:  // messages are crossed
      if (!all) return;
      if (!to_agents_.empty()) DeliverToAgent(detail % to_agents_.size());
      if (!to_routers_.empty()) DeliverToRouter(detail % to_routers_.size());
  }
}

inline void World::NewRequest(bool poison, uint32_t choice) {
  Request request;
  request.poison = poison;
  request.words = 3 + choice % 6;
  request.router = choice % routers_.size();
  // Callers send a poison request again, through any router, once it ended.
  if (poison) {
    const bool running = std::ranges::any_of(requests_, [](const Request& r) {
      return r.poison && r.outcomes.empty();
    });
    if (running) return;
    if (choice % 7 == 0) ++next_poison_;
    request.digest = 1000000 + next_poison_;
  } else {
    request.digest = requests_.size() + 1;
  }
  Router& router = routers_[request.router];
  RequestPlan plan;
  plan.request_id.value = "r" + std::to_string(requests_.size());
  plan.idempotent = true;
  plan.deadline = now_ + std::chrono::seconds(5);
  plan.suspicion = router.quarantine.Find(request.digest, now_);
  plan.random_seed = choice + 1;
  plan.retry.first_part_timeout = std::chrono::seconds(1);
  plan.retry.part_timeout = std::chrono::milliseconds(500);
  request.deadline = plan.deadline;
  request.life = std::make_unique<IdempotentLife>(plan);
  router.budget.OnFirstAttempt(now_);
  const size_t index = requests_.size();
  requests_.push_back(std::move(request));
  requests_[index].life->Advance(now_);
  Execute(index, requests_[index].life->Start());
}

inline void World::Feed(size_t request, const RequestEvent& event) {
  requests_[request].life->Advance(now_);
  Execute(request, requests_[request].life->Handle(event));
}

inline void World::Execute(size_t index, std::vector<RequestCommand> commands) {
  for (RequestCommand& command : commands) {
    Request& request = requests_[index];
    if (auto* choose = std::get_if<ChooseTargetCommand>(&command)) {
      Feed(index, Choose(index, *choose));
    } else if (auto* send = std::get_if<SendAttempt>(&command)) {
      SendOrder(index, *send);
    } else if (auto* cancel = std::get_if<CancelAttempt>(&command)) {
      const size_t target = std::stoul(cancel->target.value.substr(1));
      to_agents_.push_back(
          {target, targets_[target].connection, index,
           Cancel{{"r" + std::to_string(index)}, cancel->attempt}});
      request.target.reset();
    } else if (auto* deliver = std::get_if<Deliver>(&command)) {
      if (!request.outcomes.empty()) request.told_after_outcome = true;
      request.told += deliver->data;
    } else if (auto* give = std::get_if<GiveOutcome>(&command)) {
      GiveOutcomeTo(index, std::move(give->outcome));
    }
  }
  CheckPending(index);
}

// A request without an open attempt is either over or acts again shortly.
inline void World::CheckPending(size_t index) {
  const Request& request = requests_[index];
  if (!request.outcomes.empty() || request.target) return;
  if (request.life->WakeAt() > now_ + std::chrono::milliseconds(500)) {
    late_outcome_ = "request " + std::to_string(index) + " is held back";
  }
}

inline void World::GiveOutcomeTo(size_t index, Outcome outcome) {
  Request& request = requests_[index];
  request.target.reset();
  const bool may_have_run = outcome.kind == OutcomeKind::kUnknown;
  if (mutation_ == Mutation::kClaimNotRun && may_have_run) {
    outcome.kind = OutcomeKind::kNotRun;
  }
  if (mutation_ == Mutation::kHoldOutcome &&
      outcome.kind != OutcomeKind::kComplete && now_ < request.deadline) {
    request.held.push_back(outcome);
    return;
  }
  request.outcomes.push_back(outcome);
  if (mutation_ == Mutation::kRepeatOutcome) {
    request.outcomes.push_back(outcome);
  }
}

// The probe is answered at once or, now and then, by an answer from earlier.
inline RequestEvent World::Choose(size_t index,
                                  const ChooseTargetCommand& command) {
  Router& router = routers_[requests_[index].router];
  if (command.spends_budget && !router.budget.Withdraw(now_)) {
    return NoTargetFound{Duration(0), OutcomeReason::kRetryBudget};
  }
  std::optional<TargetChosen> best;
  uint32_t best_running = 0;
  for (size_t i = 0; i < targets_.size(); ++i) {
    const Target& target = targets_[i];
    if (router.leaving.contains(i) || target.agent_paused ||
        std::ranges::find(command.avoid, target.id) != command.avoid.end()) {
      continue;
    }
    const bool is_late = router.old_replies.contains(i) &&
                         (requests_.size() + ran_.size() + i) % 4 == 0;
    const ProbeReply reply =
        is_late ? router.old_replies[i] : target.core->Answer({});
    router.old_replies[i] = target.core->Answer({});
    if (reply.draining || !reply.healthy) continue;
    if (best && reply.running >= best_running) continue;
    best = TargetChosen{target.id, reply.incarnation, reply.weights_version,
                        router.quarantine.Find(requests_[index].digest, now_)};
    best_running = reply.running;
  }
  if (!best) return NoTargetFound{};
  return *best;
}

inline void World::SendOrder(size_t index, const SendAttempt& command) {
  Request& request = requests_[index];
  const size_t target = std::stoul(command.target.value.substr(1));
  request.target = target;
  request.attempt = command.attempt;
  request.alone = command.run_alone;
  request.parts_fed = 0;
  Submit order;
  order.request_id.value = "r" + std::to_string(index);
  order.attempt = command.attempt;
  order.incarnation = command.incarnation;
  order.weights_version = command.weights_version;
  order.time_left = request.deadline - now_;
  order.idempotent = true;
  order.digest = request.digest;
  order.delivered_text = command.delivered_text;
  order.run_alone = command.run_alone;
  to_agents_.push_back({target, targets_[target].connection, index, order});
}

inline void World::DeliverToAgent(size_t index) {
  if (index >= to_agents_.size()) return;
  const ToAgent mail = to_agents_[index];
  Target& target = targets_[mail.target];
  const bool is_lost = mail.connection != target.connection;
  if (target.agent_paused && !is_lost) return;
  to_agents_.erase(to_agents_.begin() + static_cast<std::ptrdiff_t>(index));
  if (is_lost) return;
  if (const auto* cancel = std::get_if<Cancel>(&mail.message)) {
    for (size_t i = 0; i < target.runs.size(); ++i) {
      const Submit& order = target.runs[i].order;
      if (order.request_id == cancel->request_id &&
          order.attempt == cancel->attempt) {
        return EndRun(target, mail.target, i,
                      Broken{order.request_id,
                             order.attempt,
                             target.runs[i].next_sequence,
                             BreakCause::kCancelled,
                             {}});
      }
    }
    return;
  }
  StartRun(target, mail.target, mail);
}

inline void World::StartRun(Target& target, size_t index, const ToAgent& mail) {
  Submit order = std::get<Submit>(mail.message);
  if (target.core->IsRepeat(order)) return;
  if (mutation_ == Mutation::kIgnoreIdentity) {
    order.incarnation = target.core->target().incarnation;
    order.weights_version = target.core->target().weights_version;
  }
  const size_t router = requests_[mail.request].router;
  std::optional<Refused> refused = target.core->Admit(order, now_);
  order = std::get<Submit>(mail.message);
  // The engine refuses the connection: nothing ran.
  if (!refused && !target.up) {
    target.core->OnEnded(order);
    refused = Refused{order.request_id, order.attempt,
                      RefusalReason::kTargetDown, Duration(0), ""};
  }
  if (refused) {
    to_routers_.push_back({index, target.connection, mail.request, *refused});
    return;
  }
  ran_.push_back({mail.request, order.digest, target.draining});
  const auto words =
      static_cast<uint32_t>(std::ranges::count(order.delivered_text, ' '));
  target.runs.push_back({order, mail.request, router, words, 0});
  if (requests_[mail.request].poison) {
    ++crashes_[order.digest];
    CrashEngine(index);
  }
}

inline void World::Progress(uint32_t choice) {
  const size_t index = choice % targets_.size();
  Target& target = targets_[index];
  if (target.agent_paused || target.runs.empty()) return;
  const size_t run_index = (choice / targets_.size()) % target.runs.size();
  Run& run = target.runs[run_index];
  const Submit& order = run.order;
  const std::string boot = "b" + std::to_string(target.boot);
  // The agent compares what the engine says of itself with the order.
  if (mutation_ != Mutation::kIgnoreIdentity &&
      !IsAnswerOf(order, boot, WeightsOf(target))) {
    return EndRun(target, index, run_index,
                  Broken{order.request_id,
                         order.attempt,
                         run.next_sequence,
                         BreakCause::kTargetError,
                         {}});
  }
  const Request& request = requests_[run.request];
  if (run.next_word >= request.words) {
    Finished finished;
    finished.request_id = order.request_id;
    finished.attempt = order.attempt;
    finished.sequence = run.next_sequence;
    return EndRun(target, index, run_index, finished);
  }
  parts_.push_back({LifeOf(target), WeightsOf(target), order.incarnation,
                    order.weights_version});
  to_routers_.push_back(
      {index, target.connection, run.request,
       Chunk{order.request_id, order.attempt, run.next_sequence++,
             Word(request, run.next_word++)}});
}

inline void World::EndRun(Target& target, size_t index, size_t run_index,
                          RequestEvent event) {
  const Run run = target.runs[run_index];
  target.runs.erase(target.runs.begin() +
                    static_cast<std::ptrdiff_t>(run_index));
  target.core->OnEnded(run.order);
  to_routers_.push_back(
      {index, target.connection, run.request, std::move(event)});
}

inline void World::NoteAccident(const Target& target) {
  for (const Run& run : target.runs) {
    if (run.order.run_alone) accidents_.insert(run.order.digest);
  }
}

// The agent sees the engine's connections break.
inline void World::CrashEngine(size_t index) {
  Target& target = targets_[index];
  target.up = false;
  ++target.boot;
  ReportRuns(index, BreakCause::kTargetCrashed);
}

inline void World::ReportRuns(size_t index, BreakCause cause) {
  Target& target = targets_[index];
  while (!target.runs.empty()) {
    const Run& run = target.runs.front();
    Broken broken{
        run.order.request_id, run.order.attempt, run.next_sequence, cause, {}};
    if (cause == BreakCause::kTargetCrashed) {
      broken.crash_suspects = target.core->OnCrash(run.order.incarnation);
    }
    EndRun(target, index, 0, std::move(broken));
  }
}

inline void World::HandOver(size_t index) {
  ReportRuns(index, BreakCause::kHandedOver);
}

// All connections are lost, and the routers learn of it.
inline void World::RestartAgent(size_t index) {
  Target& target = targets_[index];
  ++target.connection;
  ++target.agent_boot;
  target.draining = false;
  target.agent_paused = false;
  target.runs.clear();
  target.core = std::make_unique<AgentCore>(limits_);
  Poll(target);
  for (size_t i = 0; i < requests_.size(); ++i) {
    if (requests_[i].target == index) {
      to_routers_.push_back(
          {index, target.connection, i, ConnectionLost{requests_[i].attempt}});
    }
  }
}

inline void World::Poll(Target& target) {
  if (target.agent_paused) return;
  target.core->SetTarget(
      target.up ? TargetState{LifeOf(target), WeightsOf(target), true, 1000}
                : TargetState{});
}

inline void World::Tick(Duration span) {
  now_ += span;
  for (size_t i = 0; i < requests_.size(); ++i) {
    Request& request = requests_[i];
    if (!request.outcomes.empty()) continue;
    if (!request.held.empty() && now_ >= request.deadline) {
      request.outcomes = std::exchange(request.held, {});
    } else if (now_ >= request.deadline) {
      Feed(i, DeadlineReached{});
    } else if (now_ >= request.life->WakeAt()) {
      request.life->Advance(now_);
      Execute(i, request.life->OnTimer());
    }
  }
}

inline void World::DeliverToRouter(size_t index) {
  if (index >= to_routers_.size()) return;
  const ToRouter mail = to_routers_[index];
  to_routers_.erase(to_routers_.begin() + static_cast<std::ptrdiff_t>(index));
  if (mail.connection != targets_[mail.target].connection) return;
  size_t request = mail.request;
  if (mutation_ == Mutation::kAcceptOtherAnswer) {
    request = (request + 1) % requests_.size();
  }
  const RequestEvent event = Mutated(request, mail.event);
  if (const auto* broken = std::get_if<Broken>(&event)) {
    TellCrash(request, *broken);
  } else if (const auto* finished = std::get_if<Finished>(&event)) {
    const Request& owner = requests_[request];
    if (owner.alone && finished->attempt == owner.attempt) {
      for (Router& r : routers_) r.quarantine.Clear(owner.digest);
    }
  }
  const bool is_part = std::holds_alternative<Chunk>(event);
  if (is_part) ++requests_[request].parts_fed;
  if (!is_part && AttemptOf(event) == requests_[request].attempt) {
    requests_[request].target.reset();
  }
  Feed(request, event);
}

// Routers tell each other at once.
inline void World::TellCrash(size_t index, const Broken& broken) {
  if (broken.cause != BreakCause::kTargetCrashed) return;
  if (mutation_ == Mutation::kForgetSuspects) return;
  const Request& request = requests_[index];
  Router& router = routers_[request.router];
  std::vector<QuarantineEntry> changed;
  if (mutation_ == Mutation::kBlameAll) {
    for (const uint64_t digest : broken.crash_suspects) {
      const std::vector<uint64_t> one = {digest};
      for (const auto& e : router.quarantine.OnCrash(one, true, now_)) {
        changed.push_back(e);
      }
    }
  } else {
    const bool alone = request.alone && broken.attempt == request.attempt;
    changed = router.quarantine.OnCrash(broken.crash_suspects, alone, now_);
  }
  for (Router& peer : routers_) {
    for (const auto& entry : changed) peer.quarantine.Adopt(entry, now_);
  }
}

inline RequestEvent World::Mutated(size_t index, RequestEvent event) {
  const Request& request = requests_[index];
  if (auto* chunk = std::get_if<Chunk>(&event)) {
    if (mutation_ == Mutation::kIgnoreSequence) {
      chunk->sequence = request.parts_fed;
    }
    if (mutation_ == Mutation::kAcceptOtherAnswer) {
      chunk->request_id.value = "r" + std::to_string(index);
      chunk->attempt = request.attempt;
    }
  }
  const auto* broken = std::get_if<Broken>(&event);
  if (mutation_ == Mutation::kCutOnHandOver && broken != nullptr &&
      broken->cause == BreakCause::kHandedOver) {
    return DeadlineReached{};
  }
  return event;
}

inline void World::Settle() {
  for (size_t i = 0; i < targets_.size(); ++i) {
    targets_[i].agent_paused = false;
    targets_[i].up = true;
    Poll(targets_[i]);
    if (targets_[i].draining && targets_[i].runs.empty()) RestartAgent(i);
  }
  for (Router& router : routers_) router.leaving.clear();
  constexpr int kTicks = 400;  // of 20 ms: past every deadline
  for (int tick = 0; tick < kTicks; ++tick) {
    while (!to_agents_.empty()) DeliverToAgent(0);
    for (uint32_t i = 0; i < targets_.size(); ++i) {
      targets_[i].up = true;
      Poll(targets_[i]);
      for (uint32_t n = 0; n < 12; ++n) {
        Progress(i + static_cast<uint32_t>(targets_.size()) * n);
      }
    }
    while (!to_routers_.empty()) DeliverToRouter(0);
    Tick(std::chrono::milliseconds(20));
  }
}

}  // namespace dogwoodlatch::fuzz
