// Simulation for tests of non-idempotent requests: the real decision code of
// routers and agents, with a fake network, platform and service on a virtual
// clock, and an oracle that sees only runs and outcomes.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dogwoodlatch/agent_core.h"
#include "dogwoodlatch/at_most_once_core.h"
#include "dogwoodlatch/at_most_once_lifecycle.h"

namespace dogwoodlatch::test {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kRetention = minutes(30);
constexpr Duration kPlatformTimeout = milliseconds(300);
constexpr uint32_t kLogs = 2;

// Deliberate faults in the code under test, which the oracle must detect.
enum class Mutation {
  kNone,
  kIgnoreOtherIncarnations,  // a new owner ignores claims of other incarnations
  kIgnoreConflict,           // a conflicting write counts as written
  kTrustLostWrite,           // a write whose answer was lost counts as written
  kIgnoreRefusals,           // late copies of refused submits seem new
  kIgnoreBody,               // the body digest is not compared
  kNotRunAfterLoss,          // a lost connection counts as a refusal
  kNoJoin,                   // a resend does not join the running call
  kStartLate,                // a run starts however old its claim is
};

// Records runs and reported outcomes, and detects violations.
class Oracle {
 public:
  void OnSubmitted(const RequestId& id, const std::string& key,
                   const std::string& body, TimePoint now) {
    submits_[id] = {key, body, now, false, false};
    bodies_[key].insert(body);
  }

  // Records a run and returns the service's answer.
  std::string OnRun(const RequestId& id, TimePoint now) {
    Submitted& submit = submits_.at(id);
    if (now - submit.at > kRetention) Fail("ran too late: " + id.value);
    if (++runs_[submit.key] > 1) Fail("ran twice: " + submit.key);
    if (submit.reported_not_run) Fail("ran after outcome not_run: " + id.value);
    submit.ran = true;
    return answers_[submit.key] = submit.key + "=" + submit.body;
  }

  void OnOutcome(const RequestId& id, const Outcome& outcome,
                 const std::string& answer) {
    Submitted& submit = submits_.at(id);
    ++outcome_counts[outcome.kind];
    if (outcome.kind == OutcomeKind::kNotRun) {
      if (submit.ran) Fail("not_run after a run: " + id.value);
      submit.reported_not_run = true;
    }
    if (outcome.kind == OutcomeKind::kComplete &&
        answer != submit.key + "=" + submit.body) {
      Fail("wrong answer: " + id.value + " got " + answer);
    }
    if (outcome.kind == OutcomeKind::kRejected &&
        bodies_[submit.key].size() < 2) {
      Fail("rejected without a reused key: " + id.value);
    }
  }

  const std::string& violation() const { return violation_; }
  std::map<OutcomeKind, int> outcome_counts;

 private:
  struct Submitted {
    std::string key;
    std::string body;
    TimePoint at;
    bool ran = false;
    bool reported_not_run = false;
  };

  void Fail(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }

  std::map<RequestId, Submitted> submits_;
  std::map<std::string, std::set<std::string>> bodies_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> answers_;
  std::string violation_;
};

class Simulation {
 public:
  explicit Simulation(uint32_t seed, Mutation mutation = Mutation::kNone);

  // Performs the step that `choice` encodes.
  void Step(uint32_t choice);

  // Ends all faults and runs until every request is past its deadline.
  void RunToCompletion();

  // Starts `calls` new calls without faults and returns how many complete.
  int CountCompletedWithoutFaults(int calls);

  const Oracle& oracle() const { return oracle_; }
  bool has_no_open_calls() const { return open_calls_ == 0; }

 private:
  static constexpr size_t kAgents = 3;
  static constexpr size_t kRouters = 2;

  struct Agent {
    int incarnation_number = 0;
    bool alive = false;
    bool tick_scheduled = false;
    bool service_up = true;
    int service_incarnation_number = 0;
    TimePoint paused_until;
    std::unique_ptr<AgentCore> admission;
    std::unique_ptr<AtMostOnceCore> core;
  };
  struct Router {
    TimePoint paused_until;
    std::array<bool, kAgents> lists_agent{true, true, true};
    Duration clock_skew{0};
  };
  struct Call {
    size_t router = 0;
    Submit submit;
    std::unique_ptr<RequestLifecycle> lifecycle;
    std::string answer;
    std::optional<size_t> agent;
    uint32_t attempt = 0;
    bool over = false;
  };
  struct Object {
    uint64_t version = 0;
    nlohmann::json json;
  };
  using Action = std::function<void()>;

  uint32_t Random(uint32_t limit) {
    return static_cast<uint32_t>(random_() % limit);
  }
  bool OneIn(uint32_t n) { return Random(n) == 0; }
  Duration Delay() {
    return milliseconds(1 + Random(!fault_free_ && OneIn(20) ? 800 : 6));
  }
  WallTime Wall(Duration skew = Duration(0)) const {
    return WallTime(now_.time_since_epoch() + skew + std::chrono::hours(1000));
  }
  void At(Duration delay, Action action) {
    queue_.emplace(now_ + delay, std::move(action));
  }
  void Advance(Duration span);

  // Runs the action if the agent is still in this incarnation, after any pause.
  void AtAgent(size_t i, int incarnation_number, Duration delay,
               const Action& action);
  void AtRouter(size_t i, Duration delay, const Action& action);

  void StartAgent(size_t i);
  void KillAgent(size_t i);
  void SetService(size_t i, bool up);
  void PublishServiceState(size_t i);
  static TargetId TargetName(size_t i) { return {"t" + std::to_string(i)}; }
  static size_t AgentIndex(const TargetId& id) { return id.value[1] - '0'; }
  std::string BootId(size_t i) const {
    return "b" + std::to_string(i) + "." +
           std::to_string(agents_[i].incarnation_number);
  }

  void NewCall();
  void HandleEvent(const std::shared_ptr<Call>& call,
                   const RequestEvent& event);
  void Execute(const std::shared_ptr<Call>& call,
               const std::vector<RequestCommand>& commands);
  void ChooseTarget(const std::shared_ptr<Call>& call,
                    const ChooseTargetCommand& command);
  void Send(const std::shared_ptr<Call>& call, const SendAttempt& command);
  void Deliver(size_t i, Submit submit);
  void LoseConnection(const std::shared_ptr<Call>& call, Duration delay);
  void SendToRouter(const Message& message);

  void Execute(size_t i, const AtMostOnceCore::Commands& commands);
  void Run(size_t i, const StartRun& start);
  void EndRun(size_t i, int incarnation_number, const ClaimKey& key,
              RunOutcome outcome, const std::string& body, Duration delay);
  void AccessClaimLog(size_t i, const AccessLog& access);
  void AnswerLayout(size_t i, const EnsureLayout& command);
  void KeepTicking(size_t i);

  // Writes to the platform; `done` takes the outcome and version as the writer
  // sees them.
  using WriteDone = std::function<void(WriteOutcome, uint64_t)>;
  void Write(size_t i, const std::string& path, const nlohmann::json& json,
             uint64_t expected, const WriteDone& done);
  HeadWritten ApplyMutation(WriteOutcome outcome, uint64_t version,
                            uint64_t expected) const;
  std::optional<ClaimsRead> ReadLog(size_t i, const ClaimLogName& name);
  bool IsPlatformDown() const { return now_ < platform_down_until_; }

  Mutation mutation_;
  std::mt19937 random_;
  TimePoint now_;
  std::multimap<TimePoint, Action> queue_;
  std::array<Agent, kAgents> agents_;
  std::array<Router, kRouters> routers_;
  std::map<RequestId, std::shared_ptr<Call>> calls_;
  std::map<std::string, Object> objects_;
  uint64_t revision_ = 0;
  TimePoint platform_down_until_;
  TimePoint platform_slow_until_;
  int next_request_ = 0;
  int next_key_ = 0;
  int first_fresh_key_ = 0;
  int open_calls_ = 0;
  bool fault_free_ = false;
  Oracle oracle_;
};

}  // namespace dogwoodlatch::test
