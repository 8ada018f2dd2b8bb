/// Simulation for outcomes_fuzz_test.cc: the real decision code of routers and
/// agents, fakes of engines and network, one virtual clock, and an oracle that
/// knows only what ran where and what each caller received.
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
#include "dogwoodlatch/idempotent_lifecycle.h"
#include "dogwoodlatch/quarantine.h"
#include "dogwoodlatch/retry_budget.h"

namespace dogwoodlatch::fuzz {

/// A deliberate fault in the code under test, or none.
enum class Mutation {
  kNone,
  kIgnoreSequence,         ///< parts are accepted with any sequence number
  kAcceptOtherAnswer,      ///< parts of any attempt or request are accepted
  kIgnoreIdentity,         ///< incarnation and weights are not compared
  kIgnoreDraining,         ///< a leaving target still accepts attempts
  kFailOnHandover,         ///< a handed-over stream is ended as failed
  kReportNotRun,           ///< an unknown outcome is reported as not run
  kDelayOutcome,           ///< the outcome is delayed until the deadline
  kDuplicateOutcome,       ///< the outcome is reported twice
  kForgetSuspects,         ///< crashes produce no suspects
  kQuarantineAllSuspects,  ///< all requests in flight at a crash are
                           ///< quarantined
};

/// Which faults may occur in a run.
enum class Faults { kAll, kPlannedStops, kCrashes };

/// One generated step: its kind, and a number that selects a variant of the
/// kind.
struct Step {
  uint32_t kind = 0;
  uint32_t choice = 0;
};

inline constexpr uint32_t kStepKinds = 40;

// An attempt that ran; recorded by the fake engine, never by the code under
// test.
struct ExecutionRecord {
  size_t request = 0;
  uint64_t digest = 0;
  bool target_was_leaving = false;
};

// An answer part produced by the fake engine, with the incarnation and weights
// that its attempt was routed to.
struct PartRecord {
  Incarnation producer;
  std::string weights;
  Incarnation routed_to;
  std::string routed_weights;
};

// An attempt that a router has sent; two may be open while a request moves.
struct SentAttempt {
  size_t target = 0;
  bool open = true;
  bool alone = false;
  uint64_t parts_handled = 0;
};

struct Request {
  uint64_t digest = 0;
  bool poison = false;
  uint32_t parts = 0;
  size_t router = 0;
  TimePoint deadline;
  std::unique_ptr<IdempotentLifecycle> lifecycle;
  std::string sent;
  bool sent_after_outcome = false;
  bool abandoned = false;  // its router was restarted
  std::vector<Outcome> outcomes;
  std::vector<Outcome> delayed_outcomes;
  std::map<uint32_t, SentAttempt> attempts;

  bool HasOpenAttempt() const {
    return std::ranges::any_of(attempts, &SentAttempt::open,
                               &std::pair<const uint32_t, SentAttempt>::second);
  }

  void Close(uint32_t attempt) {
    const auto found = attempts.find(attempt);
    if (found != attempts.end()) found->second.open = false;
  }

  void CloseAll() {
    for (auto& [number, sent] : attempts) sent.open = false;
  }

  bool RanAlone(uint32_t attempt) const {
    const auto found = attempts.find(attempt);
    return found != attempts.end() && found->second.alone;
  }
};

struct Run {
  Submit submit;
  size_t request = 0;
  size_t router = 0;
  uint32_t next_part = 0;
  uint64_t next_sequence = 0;
};

struct Target {
  TargetId id;
  int boot = 0;
  int agent_boot = 0;
  int weights = 0;
  bool engine_up = true;
  bool agent_paused = false;
  bool draining = false;
  uint32_t connection = 0;  // incremented when the agent's connections are lost
  std::unique_ptr<AgentCore> core;
  std::vector<Run> runs;
};

struct AgentEnvelope {
  size_t target = 0;
  uint32_t connection = 0;
  size_t request = 0;
  Message message;
};

struct RouterEnvelope {
  size_t target = 0;
  uint32_t connection = 0;
  size_t request = 0;
  RequestEvent event;
};

struct Router {
  QuarantineTable quarantine{QuarantineLimits{}};
  RetryBudget budget{RetryBudgetLimits{}};
  std::map<size_t, ProbeReply> old_replies;  // replies that may arrive late
  std::set<size_t> leaving;  // according to its VM list, which lags
};

// The attempt number that an event carries, or 0.
inline uint32_t AttemptOf(const RequestEvent& event) {
  return std::visit(
      [](const auto& e) -> uint32_t {
        if constexpr (requires { e.attempt; }) return e.attempt;
        return 0;
      },
      event);
}

class OutcomesSimulation {
 public:
  OutcomesSimulation(Faults faults, Mutation mutation);

  void ApplyStep(const Step& step);

  // Ends all faults and runs until every request is past its deadline.
  void RunToCompletion();

  // The oracle's checks; each returns an empty string if its property holds.
  std::string CheckInOrder() const;
  std::string CheckOwnAnswer() const;
  std::string CheckIdentity() const;
  std::string CheckLeaving() const;
  std::string CheckPlannedStop() const;
  std::string CheckNotRunOutcomes() const;
  std::string CheckOneOutcome() const;
  std::string CheckPromptOutcome() const { return late_outcome_; }
  std::string CheckPoison() const;
  std::string CheckBystanders() const;

  size_t completed() const;
  size_t request_count() const { return requests_.size(); }

 private:
  void InjectFault(const Step& step);
  void AddRequest(bool poison, uint32_t choice);
  void HandleEvent(size_t request, const RequestEvent& event);
  void Execute(size_t request, std::vector<RequestCommand> commands);
  RequestEvent Choose(size_t request, const ChooseTargetCommand& command);
  void SubmitAttempt(size_t request, const SendAttempt& command);
  void RecordOutcome(size_t request, Outcome outcome);
  void DeliverToAgent(size_t index);
  void DeliverToRouter(size_t index);
  void ReportCrash(size_t request, const Broken& broken);
  RequestEvent ApplyMutation(size_t request, RequestEvent event);
  void StartRun(Target& target, size_t index, const AgentEnvelope& envelope);
  void Progress(uint32_t choice);
  void EndRun(Target& target, size_t index, size_t run, RequestEvent event);
  void CrashEngine(size_t index);
  void RecordSpontaneousCrash(const Target& target);
  void RestartAgent(size_t index);
  void RestartRouter(size_t index);
  void Resend(size_t request);
  void StartRequest(Request request, uint64_t seed);
  void HandOver(size_t index);
  void Poll(Target& target);
  void AdvanceTime(Duration span);
  void ReportRuns(size_t index, BreakCause cause);
  void CheckPending(size_t request);
  std::string AnswerPart(const Request& request, uint32_t index) const;
  std::string ExpectedAnswer(const Request& request) const;
  Incarnation CurrentIncarnation(const Target& target) const;
  std::string WeightsVersion(const Target& target) const;

  Faults faults_;
  AgentLimits limits_;
  Mutation mutation_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Target> targets_;
  std::vector<Router> routers_;
  std::vector<Request> requests_;
  std::deque<AgentEnvelope> to_agents_;
  std::deque<RouterEnvelope> to_routers_;
  std::vector<ExecutionRecord> executions_;
  std::vector<PartRecord> parts_;
  // Number of engine crashes by poison digest.
  std::map<uint64_t, int> crashes_;
  // Digests that ran alone at a spontaneous crash.
  std::set<uint64_t> crashed_alone_;
  std::string late_outcome_;
  uint64_t poison_count_ = 0;
};

}  // namespace dogwoodlatch::fuzz
