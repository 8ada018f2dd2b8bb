/// The simulation's targets: real agent cores, a fake engine, and the faults.
#pragma once

#include "outcomes_fuzz_simulation.h"

namespace dogwoodlatch::fuzz {

inline OutcomesSimulation::OutcomesSimulation(Faults faults, Mutation mutation)
    : faults_(faults), mutation_(mutation), targets_(3), routers_(2) {
  // Runs with planned stops must complete every answer, so they exclude
  // refusals for overload.
  limits_.max_running = faults == Faults::kPlannedStops ? 64 : 4;
  for (size_t i = 0; i < targets_.size(); ++i) {
    targets_[i].id.value = "t" + std::to_string(i);
    targets_[i].core = std::make_unique<AgentCore>(limits_);
    Poll(targets_[i]);
  }
}

inline Incarnation OutcomesSimulation::CurrentIncarnation(
    const Target& target) const {
  return MakeIncarnation(
      target.id.value + "a" + std::to_string(target.agent_boot),
      "b" + std::to_string(target.boot));
}

inline std::string OutcomesSimulation::WeightsVersion(
    const Target& target) const {
  return "v" + std::to_string(target.weights);
}

inline std::string OutcomesSimulation::AnswerPart(const Request& request,
                                                  uint32_t index) const {
  return std::to_string(request.digest) + "." + std::to_string(index) + " ";
}

inline std::string OutcomesSimulation::ExpectedAnswer(
    const Request& request) const {
  std::string text;
  for (uint32_t i = 0; i < request.parts; ++i) text += AnswerPart(request, i);
  return text;
}

inline void OutcomesSimulation::ApplyStep(const Step& step) {
  if (step.kind < 9) return DeliverToAgent(0);
  if (step.kind < 18) return DeliverToRouter(0);
  if (step.kind < 26) return Progress(step.choice);
  if (step.kind < 29) return AdvanceTime(std::chrono::milliseconds(20));
  if (step.kind < 32) return AddRequest(false, step.choice);
  if (step.kind < 33) return Poll(targets_[step.choice % targets_.size()]);
  InjectFault(step);
}

inline void OutcomesSimulation::InjectFault(const Step& step) {
  const size_t index = step.choice % targets_.size();
  const uint32_t detail = step.choice / targets_.size();
  Target& target = targets_[index];
  const bool all = faults_ == Faults::kAll;
  switch (step.kind) {
    case 33:  // a target starts to drain, or a drained one restarts
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
    case 34:  // a draining target hands over its runs
      if (target.draining) HandOver(index);
      return;
    case 35:  // the VM list reaches one router
      routers_[detail % routers_.size()].leaving.clear();
      if (target.draining) {
        routers_[detail % routers_.size()].leaving.insert(index);
      }
      return;
    case 36:  // an engine may crash, and one that is down restarts
      if (faults_ == Faults::kPlannedStops) return;
      if (target.engine_up && detail % 2 == 0) {
        RecordSpontaneousCrash(target);
        CrashEngine(index);
      }
      target.engine_up = true;  // restarted; the agent may notice later
      if (detail % 3 == 0) return;
      return Poll(target);
    case 37:  // a poison request, or a fault of an agent or a router
      if (faults_ == Faults::kCrashes) return AddRequest(true, step.choice);
      if (!all) return;
      if (detail % 4 == 0) return RestartAgent(index);
      target.agent_paused = detail % 4 == 1;
      if (detail % 4 == 2) ++target.weights;
      if (detail % 4 == 3) RestartRouter(detail / 4 % routers_.size());
      return;
    case 38:  // a message is lost or duplicated
      if (!all) return;
      if (detail % 2 == 0 && !to_routers_.empty()) to_routers_.pop_front();
      if (detail % 2 == 1 && !to_routers_.empty()) {
        to_routers_.push_back(to_routers_.front());
      }
      return;
    default:  // messages are delivered out of order
      if (!all) return;
      if (!to_agents_.empty()) DeliverToAgent(detail % to_agents_.size());
      if (!to_routers_.empty()) DeliverToRouter(detail % to_routers_.size());
  }
}

inline void OutcomesSimulation::DeliverToAgent(size_t index) {
  if (index >= to_agents_.size()) return;
  const AgentEnvelope envelope = to_agents_[index];
  Target& target = targets_[envelope.target];
  const bool is_lost = envelope.connection != target.connection;
  if (target.agent_paused && !is_lost) return;
  to_agents_.erase(to_agents_.begin() + static_cast<std::ptrdiff_t>(index));
  if (is_lost) return;
  if (const auto* cancel = std::get_if<Cancel>(&envelope.message)) {
    for (size_t i = 0; i < target.runs.size(); ++i) {
      const Submit& submit = target.runs[i].submit;
      if (submit.request_id == cancel->request_id &&
          submit.attempt == cancel->attempt) {
        return EndRun(target, envelope.target, i,
                      Broken{submit.request_id,
                             submit.attempt,
                             target.runs[i].next_sequence,
                             BreakCause::kCancelled,
                             {}});
      }
    }
    return;
  }
  StartRun(target, envelope.target, envelope);
}

inline void OutcomesSimulation::StartRun(Target& target, size_t index,
                                         const AgentEnvelope& envelope) {
  Submit submit = std::get<Submit>(envelope.message);
  if (target.core->IsDuplicate(submit)) return;
  if (mutation_ == Mutation::kIgnoreIdentity) {
    submit.incarnation = target.core->target().incarnation;
    submit.weights_version = target.core->target().weights_version;
  }
  const size_t router = requests_[envelope.request].router;
  std::optional<Refused> refused = target.core->Admit(submit, now_);
  submit = std::get<Submit>(envelope.message);
  // The engine refuses the connection: nothing ran.
  if (!refused && !target.engine_up) {
    target.core->OnEnded(submit.request_id, submit.attempt);
    refused = Refused{submit.request_id, submit.attempt,
                      RefusalReason::kTargetDown, Duration(0), ""};
  }
  if (refused) {
    to_routers_.push_back(
        {index, target.connection, envelope.request, *refused});
    return;
  }
  executions_.push_back({envelope.request, submit.digest, target.draining});
  const auto parts =
      static_cast<uint32_t>(std::ranges::count(submit.delivered_text, ' '));
  target.runs.push_back({submit, envelope.request, router, parts, 0});
  if (requests_[envelope.request].poison) {
    ++crashes_[submit.digest];
    CrashEngine(index);
  }
}

inline void OutcomesSimulation::Progress(uint32_t choice) {
  const size_t index = choice % targets_.size();
  Target& target = targets_[index];
  if (target.agent_paused || target.runs.empty()) return;
  const size_t run_index = (choice / targets_.size()) % target.runs.size();
  Run& run = target.runs[run_index];
  const Submit& submit = run.submit;
  const std::string boot = "b" + std::to_string(target.boot);
  // The agent compares the engine's boot identifier and weights with those the
  // attempt was routed to.
  if (mutation_ != Mutation::kIgnoreIdentity &&
      !MatchesRoutedTarget(submit, boot, WeightsVersion(target))) {
    return EndRun(target, index, run_index,
                  Broken{submit.request_id,
                         submit.attempt,
                         run.next_sequence,
                         BreakCause::kTargetError,
                         {}});
  }
  const Request& request = requests_[run.request];
  if (run.next_part >= request.parts) {
    Finished finished;
    finished.request_id = submit.request_id;
    finished.attempt = submit.attempt;
    finished.sequence = run.next_sequence;
    return EndRun(target, index, run_index, finished);
  }
  parts_.push_back({CurrentIncarnation(target), WeightsVersion(target),
                    submit.incarnation, submit.weights_version});
  to_routers_.push_back(
      {index, target.connection, run.request,
       Chunk{submit.request_id, submit.attempt, run.next_sequence++,
             AnswerPart(request, run.next_part++)}});
}

inline void OutcomesSimulation::EndRun(Target& target, size_t index,
                                       size_t run_index, RequestEvent event) {
  const Run run = target.runs[run_index];
  target.runs.erase(target.runs.begin() +
                    static_cast<std::ptrdiff_t>(run_index));
  target.core->OnEnded(run.submit.request_id, run.submit.attempt);
  to_routers_.push_back(
      {index, target.connection, run.request, std::move(event)});
}

inline void OutcomesSimulation::RecordSpontaneousCrash(const Target& target) {
  for (const Run& run : target.runs) {
    if (run.submit.run_alone) crashed_alone_.insert(run.submit.digest);
  }
}

// The agent sees its connections to the engine break.
inline void OutcomesSimulation::CrashEngine(size_t index) {
  Target& target = targets_[index];
  target.engine_up = false;
  ++target.boot;
  ReportRuns(index, BreakCause::kTargetCrashed);
}

inline void OutcomesSimulation::ReportRuns(size_t index, BreakCause cause) {
  Target& target = targets_[index];
  while (!target.runs.empty()) {
    const Run& run = target.runs.front();
    Broken broken{run.submit.request_id,
                  run.submit.attempt,
                  run.next_sequence,
                  cause,
                  {}};
    if (cause == BreakCause::kTargetCrashed) {
      broken.crash_suspects = target.core->OnCrash(run.submit.incarnation);
    }
    EndRun(target, index, 0, std::move(broken));
  }
}

inline void OutcomesSimulation::HandOver(size_t index) {
  ReportRuns(index, BreakCause::kHandedOver);
}

// All connections of the agent are lost, and the routers are notified of it.
inline void OutcomesSimulation::RestartAgent(size_t index) {
  Target& target = targets_[index];
  ++target.connection;
  ++target.agent_boot;
  target.draining = false;
  target.agent_paused = false;
  target.runs.clear();
  target.core = std::make_unique<AgentCore>(limits_);
  Poll(target);
  for (size_t i = 0; i < requests_.size(); ++i) {
    for (const auto& [number, sent] : requests_[i].attempts) {
      if (!sent.open || sent.target != index) continue;
      to_routers_.push_back(
          {index, target.connection, i, ConnectionLost{number}});
    }
  }
}

inline void OutcomesSimulation::Poll(Target& target) {
  if (target.agent_paused) return;
  target.core->SetTarget(target.engine_up
                             ? TargetState{CurrentIncarnation(target),
                                           WeightsVersion(target), true, 1000}
                             : TargetState{});
}

inline void OutcomesSimulation::RunToCompletion() {
  for (size_t i = 0; i < targets_.size(); ++i) {
    targets_[i].agent_paused = false;
    targets_[i].engine_up = true;
    Poll(targets_[i]);
    if (targets_[i].draining && targets_[i].runs.empty()) RestartAgent(i);
  }
  for (Router& router : routers_) router.leaving.clear();
  constexpr int kTicks = 400;  // of 20 ms each, past every deadline
  for (int tick = 0; tick < kTicks; ++tick) {
    while (!to_agents_.empty()) DeliverToAgent(0);
    for (uint32_t i = 0; i < targets_.size(); ++i) {
      targets_[i].engine_up = true;
      Poll(targets_[i]);
      for (uint32_t n = 0; n < 12; ++n) {
        Progress(i + static_cast<uint32_t>(targets_.size()) * n);
      }
    }
    while (!to_routers_.empty()) DeliverToRouter(0);
    AdvanceTime(std::chrono::milliseconds(20));
  }
}

}  // namespace dogwoodlatch::fuzz
