/// The simulation's routers: they feed events to the real request lifecycles
/// and carry out their commands.
#pragma once

#include "outcomes_fuzz_simulation.h"

namespace dogwoodlatch::fuzz {

inline void OutcomesSimulation::AddRequest(bool poison, uint32_t choice) {
  Request request;
  request.poison = poison;
  request.parts = 3 + choice % 6;
  request.router = choice % routers_.size();
  // Callers resend a poison request, through any router, once it has ended.
  if (poison) {
    const bool running = std::ranges::any_of(requests_, [](const Request& r) {
      return r.poison && r.outcomes.empty();
    });
    if (running) return;
    if (choice % 7 == 0) ++poison_count_;
    request.digest = 1000000 + poison_count_;
  } else {
    request.digest = requests_.size() + 1;
  }
  StartRequest(std::move(request), choice + 1);
}

inline void OutcomesSimulation::StartRequest(Request request, uint64_t seed) {
  Router& router = routers_[request.router];
  RequestPlan plan;
  plan.request_id.value = "r" + std::to_string(requests_.size());
  plan.idempotent = true;
  plan.deadline = now_ + std::chrono::seconds(5);
  plan.suspicion = router.quarantine.Find(request.digest, now_);
  plan.random_seed = seed;
  plan.retry.first_part_timeout = std::chrono::seconds(1);
  plan.retry.part_timeout = std::chrono::milliseconds(500);
  request.deadline = plan.deadline;
  request.lifecycle = std::make_unique<IdempotentLifecycle>(plan);
  router.budget.OnFirstAttempt(now_);
  const size_t index = requests_.size();
  requests_.push_back(std::move(request));
  requests_[index].lifecycle->Advance(now_);
  Execute(index, requests_[index].lifecycle->Start());
}

inline void OutcomesSimulation::HandleEvent(size_t request,
                                            const RequestEvent& event) {
  requests_[request].lifecycle->Advance(now_);
  Execute(request, requests_[request].lifecycle->Handle(event));
}

inline void OutcomesSimulation::Execute(size_t index,
                                        std::vector<RequestCommand> commands) {
  for (RequestCommand& command : commands) {
    Request& request = requests_[index];
    if (auto* choose = std::get_if<ChooseTargetCommand>(&command)) {
      HandleEvent(index, Choose(index, *choose));
    } else if (auto* send = std::get_if<SendAttempt>(&command)) {
      SubmitAttempt(index, *send);
    } else if (auto* cancel = std::get_if<CancelAttempt>(&command)) {
      const size_t target = std::stoul(cancel->target.value.substr(1));
      to_agents_.push_back(
          {target, targets_[target].connection, index,
           Cancel{{"r" + std::to_string(index)}, cancel->attempt}});
      request.Close(cancel->attempt);
    } else if (auto* deliver = std::get_if<Deliver>(&command)) {
      if (!request.outcomes.empty()) request.sent_after_outcome = true;
      request.sent += deliver->data;
    } else if (auto* report = std::get_if<ReportOutcome>(&command)) {
      RecordOutcome(index, std::move(report->outcome));
    }
  }
  CheckPending(index);
}

// A request without an open attempt must have its outcome or a timer that is
// due soon.
inline void OutcomesSimulation::CheckPending(size_t index) {
  const Request& request = requests_[index];
  if (!request.outcomes.empty() || request.HasOpenAttempt()) return;
  if (request.lifecycle->WakeAt() > now_ + std::chrono::milliseconds(500)) {
    late_outcome_ = "request " + std::to_string(index) +
                    " has neither an outcome nor a timer that is due soon";
  }
}

inline void OutcomesSimulation::RecordOutcome(size_t index, Outcome outcome) {
  Request& request = requests_[index];
  request.CloseAll();
  const bool may_have_run = outcome.kind == OutcomeKind::kUnknown;
  if (mutation_ == Mutation::kReportNotRun && may_have_run) {
    outcome.kind = OutcomeKind::kNotRun;
  }
  if (mutation_ == Mutation::kDelayOutcome &&
      outcome.kind != OutcomeKind::kComplete && now_ < request.deadline) {
    request.delayed_outcomes.push_back(outcome);
    return;
  }
  request.outcomes.push_back(outcome);
  if (mutation_ == Mutation::kDuplicateOutcome) {
    request.outcomes.push_back(outcome);
  }
}

// A probe gets the agent's current reply or, sometimes, an older one.
inline RequestEvent OutcomesSimulation::Choose(
    size_t index, const ChooseTargetCommand& command) {
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
                         (requests_.size() + executions_.size() + i) % 4 == 0;
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

inline void OutcomesSimulation::SubmitAttempt(size_t index,
                                              const SendAttempt& command) {
  Request& request = requests_[index];
  const size_t target = std::stoul(command.target.value.substr(1));
  request.attempts[command.attempt] = {.target = target,
                                       .alone = command.run_alone};
  Submit submit;
  submit.request_id.value = "r" + std::to_string(index);
  submit.attempt = command.attempt;
  submit.incarnation = command.incarnation;
  submit.weights_version = command.weights_version;
  submit.time_left = request.deadline - now_;
  submit.idempotent = true;
  submit.digest = request.digest;
  submit.delivered_text = command.delivered_text;
  submit.run_alone = command.run_alone;
  to_agents_.push_back({target, targets_[target].connection, index, submit});
}

// The router loses all state. Agents see its connections break and cancel its
// attempts, and callers resend through the other router.
inline void OutcomesSimulation::RestartRouter(size_t index) {
  routers_[index] = Router{};
  const size_t count = requests_.size();
  for (size_t i = 0; i < count; ++i) {
    Request& request = requests_[i];
    if (request.router != index || !request.outcomes.empty()) continue;
    if (request.abandoned) continue;
    request.abandoned = true;
    request.CloseAll();
    std::erase_if(to_routers_, [i](const auto& m) { return m.request == i; });
    std::erase_if(to_agents_, [i](const auto& m) { return m.request == i; });
    for (Target& target : targets_) {
      std::erase_if(target.runs, [&](const Run& run) {
        if (run.request == i) {
          target.core->OnEnded(run.submit.request_id, run.submit.attempt);
        }
        return run.request == i;
      });
    }
    Resend(i);
  }
}

inline void OutcomesSimulation::Resend(size_t index) {
  Request again;
  again.digest = requests_[index].digest;
  again.parts = requests_[index].parts;
  again.router = (requests_[index].router + 1) % routers_.size();
  StartRequest(std::move(again), index + 1);
}

inline void OutcomesSimulation::AdvanceTime(Duration span) {
  now_ += span;
  for (size_t i = 0; i < requests_.size(); ++i) {
    Request& request = requests_[i];
    if (!request.outcomes.empty() || request.abandoned) continue;
    if (!request.delayed_outcomes.empty() && now_ >= request.deadline) {
      request.outcomes = std::exchange(request.delayed_outcomes, {});
    } else if (now_ >= request.deadline) {
      HandleEvent(i, DeadlineReached{});
    } else if (now_ >= request.lifecycle->WakeAt()) {
      request.lifecycle->Advance(now_);
      Execute(i, request.lifecycle->OnTimer());
    }
  }
}

inline void OutcomesSimulation::DeliverToRouter(size_t index) {
  if (index >= to_routers_.size()) return;
  const RouterEnvelope envelope = to_routers_[index];
  to_routers_.erase(to_routers_.begin() + static_cast<std::ptrdiff_t>(index));
  if (envelope.connection != targets_[envelope.target].connection) return;
  if (requests_[envelope.request].abandoned) return;
  size_t request = envelope.request;
  if (mutation_ == Mutation::kAcceptOtherAnswer) {
    request = (request + 1) % requests_.size();
    if (requests_[request].abandoned) return;
  }
  const RequestEvent event = ApplyMutation(request, envelope.event);
  if (const auto* broken = std::get_if<Broken>(&event)) {
    ReportCrash(request, *broken);
  } else if (const auto* finished = std::get_if<Finished>(&event)) {
    const Request& owner = requests_[request];
    if (owner.RanAlone(finished->attempt)) {
      for (Router& r : routers_) r.quarantine.Clear(owner.digest);
    }
  }
  if (const auto* part = std::get_if<Chunk>(&event)) {
    const auto sent = requests_[request].attempts.find(part->attempt);
    if (sent != requests_[request].attempts.end()) ++sent->second.parts_handled;
  } else {
    requests_[request].Close(AttemptOf(event));
  }
  HandleEvent(request, event);
}

// Routers exchange quarantine entries without delay.
inline void OutcomesSimulation::ReportCrash(size_t index,
                                            const Broken& broken) {
  if (broken.cause != BreakCause::kTargetCrashed) return;
  if (mutation_ == Mutation::kForgetSuspects) return;
  const Request& request = requests_[index];
  Router& router = routers_[request.router];
  std::vector<QuarantineEntry> changed;
  if (mutation_ == Mutation::kQuarantineAllSuspects) {
    for (const uint64_t digest : broken.crash_suspects) {
      const std::vector<uint64_t> one = {digest};
      for (const auto& e : router.quarantine.OnCrash(one, true, now_)) {
        changed.push_back(e);
      }
    }
  } else {
    const bool alone = request.RanAlone(broken.attempt);
    changed = router.quarantine.OnCrash(broken.crash_suspects, alone, now_);
  }
  for (Router& peer : routers_) {
    for (const auto& entry : changed) peer.quarantine.Adopt(entry, now_);
  }
}

inline RequestEvent OutcomesSimulation::ApplyMutation(size_t index,
                                                      RequestEvent event) {
  const Request& request = requests_[index];
  if (auto* chunk = std::get_if<Chunk>(&event)) {
    if (mutation_ == Mutation::kIgnoreSequence) {
      const auto sent = request.attempts.find(chunk->attempt);
      if (sent != request.attempts.end()) {
        chunk->sequence = sent->second.parts_handled;
      }
    }
    if (mutation_ == Mutation::kAcceptOtherAnswer) {
      chunk->request_id.value = "r" + std::to_string(index);
      chunk->attempt =
          request.attempts.empty() ? 0 : request.attempts.rbegin()->first;
    }
  }
  const auto* broken = std::get_if<Broken>(&event);
  if (mutation_ == Mutation::kFailOnHandover && broken != nullptr &&
      broken->cause == BreakCause::kHandedOver) {
    return DeadlineReached{};
  }
  return event;
}

}  // namespace dogwoodlatch::fuzz
