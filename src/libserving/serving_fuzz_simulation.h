// Simulates routers, the configuration store and targets in virtual time for
// the fuzz test of the serving decisions. Records what targets run. Several
// faults may be in effect at once.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dogwoodlatch/retry_window.h"
#include "dogwoodlatch/serving/access_check.h"
#include "dogwoodlatch/serving/attempt_rules.h"
#include "dogwoodlatch/serving/placement.h"
#include "dogwoodlatch/serving/poison_guard.h"
#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving::fuzz {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kKeyMaxAge = milliseconds(4750);
constexpr Duration kGuaranteedKeyMaxAge = milliseconds(5000);
constexpr Duration kMaxAgeToDeny = milliseconds(2000);
constexpr Duration kTimeout = seconds(3);
constexpr int kRouters = 3;
constexpr int kTargetsOfService = 4;
constexpr double kRetryShare = 0.2;
constexpr double kExtraRetries = 54;
constexpr Duration kRetryWindow = seconds(10);
constexpr RetryWindowLimits kRetryLimits{
    .share = kRetryShare, .extra = kExtraRetries, .window = kRetryWindow};

// The decisions under test; a broken variant replaces one of them.
struct DecisionRules {
  AnswerVerdict (*classify)(const TargetAnswer&) = &ClassifyAnswer;
  bool (*may_run_again)(const Route&, const RequestProgress&,
                        Duration) = &MayRunAgain;
  FinalOutcome (*final_outcome)(const RequestProgress&) =
      &DetermineFinalOutcome;
  bool checks_freshness = true;
  bool sends_incarnation = true;  // requests carry the id of their target
  bool uses_budget = true;
  bool shares_crashes = true;
};

enum class Behaviour { kGood, kFull, kFailing, kUnsealed, kLost, kCrashing };

struct Request {
  std::string id;
  std::string path;
  std::string key;
  std::vector<Suspect> suspects;
  bool is_poison = false;
};

struct Run {
  std::string request;
  std::string service;
  TimePoint at;
};

// The target that currently listens at an address.
struct Endpoint {
  TargetRecord record;
  bool is_up = true;
};

struct SimulatedRouter {
  std::shared_ptr<const Configuration> configuration;
  FreshnessGuard freshness{kKeyMaxAge};
  Fleet fleet;
  PlacementPolicy policy{"a"};
  PoisonGuard poison;
  std::map<std::string, RetryWindow> retry_windows;
  TimePoint disconnected_until{};  // from the configuration store
};

class Simulation {
 public:
  Simulation(const DecisionRules& rules, uint64_t seed)
      : rules_(rules), random_(seed) {
    for (const char* service : {"plain", "other"}) {
      for (int i = 0; i < kTargetsOfService; ++i) AddEndpoint(service);
    }
    configuration_ = MakeConfiguration(1, {"k1", "k2"});
    routers_.resize(kRouters);
    for (uint64_t i = 0; i < kRouters; ++i) {
      routers_[i].poison.SetRouters(
          {i, (i + 1) % kRouters, (i + 2) % kRouters});
    }
    UpdateRouters();
  }

  // Runs requests and faults; returns the violated guarantees.
  std::vector<std::string> Simulate(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += milliseconds(Draw(1, 20));
      if (Chance(0.02)) StartFault();
      if (now_ >= fault_until_) fault_behaviour_ = Behaviour::kGood;
      UpdateRouters();
      SendRequest(MakeRequest(step));
    }
    CheckRuns();
    CheckRetries();
    return violations_;
  }

 private:
  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  static std::shared_ptr<const Configuration> MakeConfiguration(
      uint64_t version, const std::vector<std::string>& keys) {
    Route read;
    read.name = "read";
    read.host = "h";
    read.path_prefix = "/read/";
    read.kind = RouteKind::kIdempotent;
    read.timeout = std::chrono::duration_cast<milliseconds>(kTimeout);
    read.max_attempts = 2;
    read.shares = {{"plain", 1}};
    Route write = read;
    write.name = "write";
    write.path_prefix = "/write/";
    write.kind = RouteKind::kNonIdempotent;
    write.max_attempts = 1;
    return std::make_shared<const Configuration>(
        Configuration::Builder()
            .Version(version)
            .AddRoute(read)
            .AddRoute(write)
            .AddWorkspace({.name = "north", .priority = {}}, keys)
            .Build());
  }

  void AddEndpoint(const std::string& service) {
    Endpoint endpoint;
    endpoint.record.id = "t" + std::to_string(++incarnations_);
    endpoint.record.service = service;
    endpoint.record.address = "10.0.0." + std::to_string(endpoints_.size());
    endpoint.record.failure_domain = "a";
    endpoint.record.slots = 6;
    endpoints_.push_back(endpoint);
  }

  Endpoint& RandomEndpoint() {
    return endpoints_[static_cast<size_t>(
        Draw(0, static_cast<int>(endpoints_.size()) - 1))];
  }

  void StartFault() {
    switch (Draw(0, 5)) {
      case 0: {  // another incarnation, or service, gets the address
        Endpoint& endpoint = RandomEndpoint();
        endpoint.record.id = "t" + std::to_string(++incarnations_);
        if (Chance(0.5)) endpoint.record.service = "other";
        return;
      }
      case 1:
        RandomEndpoint().is_up = false;
        return;
      case 2:
        for (Endpoint& endpoint : endpoints_) endpoint.is_up = true;
        return;
      case 3:
        routers_[Draw(0, kRouters - 1)].disconnected_until =
            now_ + milliseconds(Draw(500, 8000));
        return;
      case 4:
        fault_behaviour_ = static_cast<Behaviour>(Draw(1, 5));
        fault_share_ = Chance(0.5) ? 0.9 : 0.2;
        fault_until_ = now_ + milliseconds(Draw(200, 3000));
        return;
      default:
        if (revoked_at_ || now_ < At(seconds(2))) return;
        configuration_ = MakeConfiguration(2, {"k1"});
        revoked_at_ = now_;
    }
  }

  // Gives the current state to all routers that are connected to the
  // configuration store.
  void UpdateRouters() {
    for (SimulatedRouter& router : routers_) {
      if (now_ < router.disconnected_until) continue;
      router.configuration = configuration_;
      router.freshness.OnConfirmed(now_);
      std::vector<TargetRecord> records;
      for (const Endpoint& endpoint : endpoints_) {
        records.push_back(endpoint.record);
      }
      router.fleet.Replace(records, TimePoint{}, now_);
    }
  }

  Request MakeRequest(int step) {
    const bool is_poison = Chance(0.02);
    Request request;
    request.id = std::to_string(step);
    request.path = is_poison || Chance(0.5) ? "/read/x" : "/write/x";
    request.key = Chance(0.5) ? "k1" : "k2";
    request.suspects = {{SuspectKind::kRequest,
                         is_poison ? 1 : 1000 + static_cast<uint64_t>(step)}};
    request.is_poison = is_poison;
    return request;
  }

  void SendRequest(const Request& request) {
    SimulatedRouter& router = routers_[Draw(0, kRouters - 1)];
    const int status = Serve(router, request);
    const auto runs = std::ranges::count(runs_, request.id, &Run::request);
    if (request.path == "/write/x" && runs > 1) {
      violations_.push_back("a non-idempotent request ran twice");
    }
    if (request.path == "/read/x" && runs > 2) {
      violations_.push_back(
          "an idempotent request ran more often than its route allows");
    }
    if (status == 503 && runs > 0) violations_.push_back("refused after a run");
    const bool is_past_revocation =
        revoked_at_ && now_ - *revoked_at_ > kGuaranteedKeyMaxAge;
    if (request.key == "k2" && is_past_revocation && runs > 0) {
      violations_.push_back("a request ran too long after its key was revoked");
    }
  }

  // Handles a request as a router does, from access check to answer. Returns
  // the status for the caller.
  int Serve(SimulatedRouter& router, const Request& request) {
    FreshnessGuard recent{kKeyMaxAge};
    recent.OnConfirmed(now_);
    const AccessDecision access = CheckAccess(
        router.configuration.get(),
        rules_.checks_freshness ? router.freshness : recent,
        {request.id, "h", request.path, request.key}, kMaxAgeToDeny, now_);
    if (access.verdict == AccessVerdict::kStale) return 503;
    if (access.verdict != AccessVerdict::kAllowed) return 401;
    if (router.poison.Admit(request.suspects, now_).is_held_back) return 503;
    const std::string& service = Configuration::PickService(*access.route, 0);
    RetryWindow& retries =
        router.retry_windows.try_emplace(service, kRetryLimits).first->second;
    RequestProgress progress;
    std::vector<std::string> tried;
    Duration left = kTimeout;
    while (true) {
      const auto placement = router.policy.Choose(
          router.fleet.Serving(service, now_), {.tried = tried}, now_);
      if (!placement) return FinalStatus(progress);
      Target& target = *placement->target;
      tried.push_back(target.record.id);
      Endpoint& endpoint = EndpointAt(target.record.address);
      if (!endpoint.is_up) {
        target.signals.OnUnreachable(now_);
        ++progress.connect_failures;
        if (!MayConnectAgain(progress)) return FinalStatus(progress);
        continue;
      }
      if (progress.sends == 0) {
        retries.OnFirstAttempt(now_);
        first_attempts_.push_back(now_);
      } else {
        retries_.push_back(now_);
      }
      ++progress.sends;
      left -= milliseconds(20);
      const std::optional<TargetAnswer> answer =
          RunAt(endpoint, target.record.id, request);
      if (!answer) {
        ReportBrokenRun(router, request, target.record);
      } else if (const auto status = HandleAnswer(*answer, target)) {
        return *status;
      }
      const bool has_run = !answer || !answer->not_run;
      if (has_run) ++progress.runs;
      const bool may_go_on =
          has_run
              ? rules_.may_run_again(*access.route, progress, left) &&
                    !router.poison.Check(request.suspects, now_).is_held_back
              : MaySendAgain(progress, left);
      if (!may_go_on || (rules_.uses_budget &&
                         !retries.Withdraw(has_run ? RetryPurpose::kRerun
                                                   : RetryPurpose::kResend,
                                           1.0 / kRouters, now_))) {
        return FinalStatus(progress);
      }
    }
  }

  // Returns the status for the caller; nothing if another target may be tried.
  std::optional<int> HandleAnswer(const TargetAnswer& answer, Target& target) {
    switch (rules_.classify(answer)) {
      case AnswerVerdict::kGood:
        if (!answer.is_sealed) {
          violations_.push_back("an answer without a seal was delivered");
        }
        return answer.status;
      case AnswerVerdict::kNotRun:
        target.signals.OnRefused(now_);
        return std::nullopt;
      case AnswerVerdict::kFailure:
      case AnswerVerdict::kUnusable:
        break;
    }
    target.signals.OnOutcome(true);
    return std::nullopt;
  }

  int FinalStatus(const RequestProgress& progress) {
    return rules_.final_outcome(progress) == FinalOutcome::kRefuse ? 503 : 502;
  }

  Endpoint& EndpointAt(const std::string& address) {
    return *std::ranges::find(
        endpoints_, address,
        [](const Endpoint& endpoint) { return endpoint.record.address; });
  }

  // Returns nothing if the connection broke while the request ran.
  std::optional<TargetAnswer> RunAt(Endpoint& endpoint,
                                    const std::string& expected_id,
                                    const Request& request) {
    if (rules_.sends_incarnation && endpoint.record.id != expected_id) {
      return TargetAnswer{.status = 421, .not_run = true};
    }
    const Behaviour behaviour = request.is_poison      ? Behaviour::kCrashing
                                : Chance(fault_share_) ? fault_behaviour_
                                                       : Behaviour::kGood;
    if (behaviour == Behaviour::kFull) {
      return TargetAnswer{.status = 503, .not_run = true};
    }
    runs_.push_back({request.id, endpoint.record.service, now_});
    if (request.is_poison) poison_crashes_.push_back(now_);
    switch (behaviour) {
      case Behaviour::kFailing:
        return TargetAnswer{.status = 500, .is_sealed = true};
      case Behaviour::kUnsealed:
        return TargetAnswer{.status = 200};
      case Behaviour::kLost:
        return std::nullopt;
      case Behaviour::kCrashing:  // and restarts under another id
        endpoint.record.id = "t" + std::to_string(++incarnations_);
        return std::nullopt;
      default:
        return TargetAnswer{.status = 200, .is_sealed = true};
    }
  }

  void ReportBrokenRun(SimulatedRouter& router, const Request& request,
                       const TargetRecord& target) {
    router.poison.OnBroken(request.suspects, {.target = IncarnationKey(target)},
                           now_);
    if (!rules_.shares_crashes) return;
    const std::vector<SuspectReport> reports = router.poison.TakeReports(now_);
    for (SimulatedRouter& other : routers_) {
      if (&other != &router) other.poison.OnReports(reports, now_);
    }
  }

  void CheckRuns() {
    for (const Run& run : runs_) {
      if (run.service != "plain") {
        violations_.push_back(
            "a request ran at a service that its route does not name");
      }
    }
    // A fourth target is tried 20 s after the third crash at the earliest, so
    // any 15 s contain at most three.
    for (const TimePoint& crash : poison_crashes_) {
      const auto later =
          std::ranges::count_if(poison_crashes_, [&](TimePoint at) {
            return at >= crash && at - crash < seconds(15);
          });
      if (later > 3) violations_.push_back("more than three poison crashes");
    }
  }

  void CheckRetries() {
    const auto within = [](const std::vector<TimePoint>& times, TimePoint end,
                           Duration span) {
      return static_cast<double>(std::ranges::count_if(
          times, [&](TimePoint at) { return at <= end && end - at < span; }));
    };
    for (const TimePoint& end : retries_) {
      const double allowed =
          kRetryShare * std::max(within(first_attempts_, end, kRetryWindow),
                                 within(first_attempts_, end - kRetryWindow / 2,
                                        kRetryWindow)) +
          kExtraRetries;
      if (within(retries_, end, kRetryWindow) <= allowed) continue;
      violations_.push_back("more retries than the budget of all routers");
      return;
    }
  }

  DecisionRules rules_;
  std::mt19937_64 random_;
  TimePoint now_ = At(1000);
  std::vector<Endpoint> endpoints_;
  int incarnations_ = 0;
  std::shared_ptr<const Configuration> configuration_;
  std::optional<TimePoint> revoked_at_;
  std::vector<SimulatedRouter> routers_;
  Behaviour fault_behaviour_ = Behaviour::kGood;
  double fault_share_ = 0;
  TimePoint fault_until_{};
  std::vector<Run> runs_;
  std::vector<TimePoint> poison_crashes_;
  std::vector<TimePoint> first_attempts_;
  std::vector<TimePoint> retries_;
  std::vector<std::string> violations_;
};

}  // namespace dogwoodlatch::serving::fuzz
