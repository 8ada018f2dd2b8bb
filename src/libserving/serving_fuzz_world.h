// Routers, store and targets in virtual time for the fuzz test of the serving
// decisions. Targets note what they run; faults come two at a time.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dogwoodlatch/retry_budget.h"
#include "dogwoodlatch/serving/attempt_rules.h"
#include "dogwoodlatch/serving/door_check.h"
#include "dogwoodlatch/serving/placement.h"
#include "dogwoodlatch/serving/poison_guard.h"
#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving::fuzz {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kKeyBound = milliseconds(4750);
constexpr Duration kPromisedKeyBound = milliseconds(5000);
constexpr Duration kCertainAge = milliseconds(2000);
constexpr Duration kTimeout = seconds(3);
constexpr int kRouters = 3;
constexpr int kTargetsOfService = 4;
constexpr double kRetryShare = 0.2;
constexpr double kExtraRetries = 54;
constexpr Duration kRetryWindow = seconds(10);

// The decisions under test; a broken variant replaces one of them.
struct Rules {
  AnswerVerdict (*judge)(const TargetAnswer&) = &Judge;
  bool (*may_run_again)(const Route&, const RequestProgress&,
                        Duration) = &MayRunAgain;
  LastWord (*last_word)(const RequestProgress&) = &LastWordFor;
  bool checks_freshness = true;
  bool names_incarnation = true;  // requests say which target they are for
  bool uses_budget = true;
  bool tells_of_crashes = true;
};

enum class Behaviour { kGood, kFull, kFailing, kUnsealed, kLost, kCrashing };

struct Request {
  std::string id;
  std::string path;
  std::string key;
  uint64_t fingerprint = 0;
  bool is_poison = false;
};

struct Run {
  std::string request;
  std::string service;
  TimePoint at;
};

// What lies at an address now.
struct Machine {
  TargetRecord record;
  bool is_up = true;
};

struct RouterSim {
  std::shared_ptr<const Configuration> configuration;
  FreshnessGuard freshness{kKeyBound};
  Fleet fleet;
  PlacementPolicy policy{"a"};
  PoisonGuard poison;
  std::map<std::string, RetryBudget> budgets;
  TimePoint cut_until{};  // from the store
};

class World {
 public:
  World(const Rules& rules, uint64_t seed) : rules_(rules), random_(seed) {
    for (const char* service : {"plain", "other"}) {
      for (int i = 0; i < kTargetsOfService; ++i) AddMachine(service);
    }
    configuration_ = MakeConfiguration(1, {"k1", "k2"});
    routers_.resize(kRouters);
    Synchronise();
  }

  // Plays requests and faults; returns the promises that were broken.
  std::vector<std::string> Play(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += milliseconds(Draw(1, 20));
      if (Chance(0.02)) StartFault();
      if (now_ >= spoilt_until_) spoilt_ = Behaviour::kGood;
      Synchronise();
      Ask(MakeRequest(step));
    }
    CheckRuns();
    CheckRetries();
    return faults_;
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

  void AddMachine(const std::string& service) {
    Machine machine;
    machine.record.id = "t" + std::to_string(++incarnations_);
    machine.record.service = service;
    machine.record.address = "10.0.0." + std::to_string(machines_.size());
    machine.record.failure_domain = "a";
    machine.record.slots = 6;
    machines_.push_back(machine);
  }

  Machine& AnyMachine() {
    return machines_[static_cast<size_t>(
        Draw(0, static_cast<int>(machines_.size()) - 1))];
  }

  void StartFault() {
    switch (Draw(0, 5)) {
      case 0: {  // the address goes to another incarnation, or service
        Machine& machine = AnyMachine();
        machine.record.id = "t" + std::to_string(++incarnations_);
        if (Chance(0.5)) machine.record.service = "other";
        return;
      }
      case 1:
        AnyMachine().is_up = false;
        return;
      case 2:
        for (Machine& machine : machines_) machine.is_up = true;
        return;
      case 3:
        routers_[Draw(0, kRouters - 1)].cut_until =
            now_ + milliseconds(Draw(500, 8000));
        return;
      case 4:
        spoilt_ = static_cast<Behaviour>(Draw(1, 5));
        spoilt_share_ = Chance(0.5) ? 0.9 : 0.2;
        spoilt_until_ = now_ + milliseconds(Draw(200, 3000));
        return;
      default:
        if (revoked_at_ || now_ < At(seconds(2))) return;
        configuration_ = MakeConfiguration(2, {"k1"});
        revoked_at_ = now_;
    }
  }

  // Routers that reach the store know what is there.
  void Synchronise() {
    for (RouterSim& router : routers_) {
      if (now_ < router.cut_until) continue;
      router.configuration = configuration_;
      router.freshness.OnProof(now_);
      std::vector<TargetRecord> records;
      for (const Machine& machine : machines_) {
        records.push_back(machine.record);
      }
      router.fleet.Replace(records, now_, true);
    }
  }

  Request MakeRequest(int step) {
    const bool is_poison = Chance(0.02);
    Request request;
    request.id = std::to_string(step);
    request.path = is_poison || Chance(0.5) ? "/read/x" : "/write/x";
    request.key = Chance(0.5) ? "k1" : "k2";
    request.fingerprint = is_poison ? 1 : 1000 + static_cast<uint64_t>(step);
    request.is_poison = is_poison;
    return request;
  }

  void Ask(const Request& request) {
    RouterSim& router = routers_[Draw(0, kRouters - 1)];
    const int status = Serve(router, request);
    const auto runs = std::ranges::count(runs_, request.id, &Run::request);
    if (request.path == "/write/x" && runs > 1) {
      faults_.push_back("write ran twice");
    }
    if (request.path == "/read/x" && runs > 2) {
      faults_.push_back("read ran more often than its route allows");
    }
    if (status == 503 && runs > 0) faults_.push_back("refused, and it ran");
    const bool is_late = revoked_at_ && now_ - *revoked_at_ > kPromisedKeyBound;
    if (request.key == "k2" && is_late && runs > 0) {
      faults_.push_back("ran long after its key was taken away");
    }
  }

  // What an exchange does between door and answer.
  int Serve(RouterSim& router, const Request& request) {
    FreshnessGuard recent{kKeyBound};
    recent.OnProof(now_);
    const DoorDecision door = CheckAtDoor(
        router.configuration.get(),
        rules_.checks_freshness ? router.freshness : recent,
        {request.id, "h", request.path, request.key}, kCertainAge, now_);
    if (door.verdict == DoorVerdict::kStale) return 503;
    if (door.verdict != DoorVerdict::kAllowed) return 401;
    if (router.poison.IsBlocked(request.fingerprint, now_)) return 502;
    const std::string& service = Configuration::PickService(*door.route, 0);
    RetryBudget& budget =
        router.budgets.try_emplace(service, BudgetOfRouter()).first->second;
    RequestProgress progress;
    std::vector<std::string> tried;
    Duration left = kTimeout;
    while (true) {
      const auto placement = router.policy.Choose(
          router.fleet.Serving(service, now_), {.tried = tried}, now_);
      if (!placement) return End(progress);
      Target& target = *placement->target;
      tried.push_back(target.record.id);
      Machine& machine = MachineAt(target.record.address);
      if (!machine.is_up) {
        target.signals.OnUnreachable(now_);
        ++progress.connect_failures;
        if (!MayConnectAgain(progress)) return End(progress);
        continue;
      }
      if (progress.sends == 0) {
        budget.OnFirstAttempt(now_);
        firsts_.push_back(now_);
      } else {
        repeats_.push_back(now_);
      }
      ++progress.sends;
      left -= milliseconds(20);
      const std::optional<TargetAnswer> answer =
          RunAt(machine, target.record.id, request);
      if (!answer) {
        Blame(router, request, target.record);
      } else if (const auto status = Take(*answer, target)) {
        return *status;
      }
      const bool has_run = !answer || !answer->not_run;
      if (has_run) ++progress.runs;
      const bool may_go_on =
          has_run ? rules_.may_run_again(*door.route, progress, left) &&
                        !router.poison.IsBlocked(request.fingerprint, now_)
                  : MaySendAgain(progress, left);
      if (!may_go_on || (rules_.uses_budget && !budget.Withdraw(now_))) {
        return End(progress);
      }
    }
  }

  // The status for the caller; nothing when another target may be tried.
  std::optional<int> Take(const TargetAnswer& answer, Target& target) {
    switch (rules_.judge(answer)) {
      case AnswerVerdict::kGood:
        if (!answer.is_sealed) {
          faults_.push_back("an answer nobody vouches for");
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

  int End(const RequestProgress& progress) {
    return rules_.last_word(progress) == LastWord::kRefuse ? 503 : 502;
  }

  RetryBudgetLimits BudgetOfRouter() const {
    const double extra = kExtraRetries / kRouters;
    return {.share = kRetryShare,
            .per_second =
                extra / 2 / std::chrono::duration<double>(kRetryWindow).count(),
            .max_burst = extra / 2};
  }

  Machine& MachineAt(const std::string& address) {
    return *std::ranges::find(machines_, address, [](const Machine& machine) {
      return machine.record.address;
    });
  }

  // Nothing when the connection broke while the request ran.
  std::optional<TargetAnswer> RunAt(Machine& machine, const std::string& meant,
                                    const Request& request) {
    if (rules_.names_incarnation && machine.record.id != meant) {
      return TargetAnswer{.status = 421, .not_run = true};
    }
    const Behaviour behaviour = request.is_poison       ? Behaviour::kCrashing
                                : Chance(spoilt_share_) ? spoilt_
                                                        : Behaviour::kGood;
    if (behaviour == Behaviour::kFull) {
      return TargetAnswer{.status = 503, .not_run = true};
    }
    runs_.push_back({request.id, machine.record.service, now_});
    if (request.is_poison) poisoned_.push_back(now_);
    switch (behaviour) {
      case Behaviour::kFailing:
        return TargetAnswer{.status = 500, .is_sealed = true};
      case Behaviour::kUnsealed:
        return TargetAnswer{.status = 200};
      case Behaviour::kLost:
        return std::nullopt;
      case Behaviour::kCrashing:  // and it comes back under another id
        machine.record.id = "t" + std::to_string(++incarnations_);
        return std::nullopt;
      default:
        return TargetAnswer{.status = 200, .is_sealed = true};
    }
  }

  void Blame(RouterSim& router, const Request& request,
             const TargetRecord& target) {
    router.poison.OnBroken({request.fingerprint, IncarnationKey(target)}, now_);
    const std::vector<BrokenRun> news = router.poison.TakeUntold();
    if (!rules_.tells_of_crashes) return;
    for (RouterSim& other : routers_) {
      if (&other == &router) continue;
      for (const BrokenRun& run : news) {
        other.poison.OnBrokenElsewhere(run, now_);
      }
    }
  }

  void CheckRuns() {
    for (const Run& run : runs_) {
      if (run.service != "plain") {
        faults_.push_back("ran at a service that its route does not name");
      }
    }
    // Memory of crashes lasts 20 s, which bounds the crashes of any such span.
    for (const TimePoint& crash : poisoned_) {
      const auto later = std::ranges::count_if(poisoned_, [&](TimePoint at) {
        return at >= crash && at - crash < seconds(15);
      });
      if (later > 3) faults_.push_back("a poison request went on");
    }
  }

  void CheckRetries() {
    const auto within = [](const std::vector<TimePoint>& times, TimePoint end,
                           Duration span) {
      return static_cast<double>(std::ranges::count_if(
          times, [&](TimePoint at) { return at <= end && end - at < span; }));
    };
    for (const TimePoint& end : repeats_) {
      const double allowed =
          kRetryShare *
              std::max(within(firsts_, end, kRetryWindow),
                       within(firsts_, end - kRetryWindow / 2, kRetryWindow)) +
          kExtraRetries;
      if (within(repeats_, end, kRetryWindow) <= allowed) continue;
      faults_.push_back("more repeats than the budget of all routers");
      return;
    }
  }

  Rules rules_;
  std::mt19937_64 random_;
  TimePoint now_ = At(1000);
  std::vector<Machine> machines_;
  int incarnations_ = 0;
  std::shared_ptr<const Configuration> configuration_;
  std::optional<TimePoint> revoked_at_;
  std::vector<RouterSim> routers_;
  Behaviour spoilt_ = Behaviour::kGood;
  double spoilt_share_ = 0;
  TimePoint spoilt_until_{};
  std::vector<Run> runs_;
  std::vector<TimePoint> poisoned_;
  std::vector<TimePoint> firsts_;
  std::vector<TimePoint> repeats_;
  std::vector<std::string> faults_;
};

}  // namespace dogwoodlatch::serving::fuzz
