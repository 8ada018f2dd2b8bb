// Measures the platform reads and writes that claims cause, by running the
// decision code in simulated time.

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

#include "bench.h"
#include "dogwoodlatch/at_most_once_core.h"

namespace dogwoodlatch::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPlatformDelay = milliseconds(3);
constexpr Duration kRunTime = milliseconds(20);
constexpr Duration kTickInterval = milliseconds(5);
constexpr Duration kDeadline = seconds(10);
constexpr Duration kRetention = std::chrono::hours(1);
constexpr Duration kMeasuredTime = seconds(60);

struct Scenario {
  double requests_per_second = 0;  // non-idempotent requests
  size_t targets = 0;
  uint32_t logs = 0;
  Duration write_interval{0};
  bool has_outage = false;  // lasts for the whole measured time
};

// Simulates the agents of one service and a platform that responds to every
// call after a fixed delay.
class ClaimsSimulation {
 public:
  explicit ClaimsSimulation(const Scenario& scenario) : scenario_(scenario) {
    for (size_t i = 0; i < scenario.targets; ++i) {
      AtMostOnceOptions options;
      options.log.self.value = "t" + std::to_string(i);
      options.log.write_interval = scenario.write_interval;
      options.log.claimant.value = "boot" + std::to_string(i);
      agents_.push_back(std::make_unique<AtMostOnceCore>(
          options, [](const Submit&) { return std::nullopt; },
          std::mt19937_64(i)));
    }
  }

  // Sends warm-up requests first, so that every claim log has an owner. The
  // figures cover the time after that.
  void Run() {
    for (int i = 0; i < kWarmUpRequests; ++i) SubmitRequest();
    AdvanceBy(seconds(2));
    writes_ = reads_ = granted_ = refused_ = 0;
    claim_delays_.clear();
    is_outage_ = scenario_.has_outage;
    const Duration interval(static_cast<int64_t>(
        Duration(seconds(1)).count() / scenario_.requests_per_second));
    const TimePoint end = now_ + kMeasuredTime;
    for (TimePoint at = now_; at < end; at += interval) {
      AdvanceBy(at - now_);
      SubmitRequest();
    }
    AdvanceBy(seconds(2));
  }

  void Print() {
    std::ranges::sort(claim_delays_);
    const auto delay_ms = [this](double share) {
      if (claim_delays_.empty()) return 0.0;
      const auto at = static_cast<size_t>(
          share * static_cast<double>(claim_delays_.size() - 1));
      return static_cast<double>(claim_delays_[at].count()) / 1000;
    };
    const double span = std::chrono::duration<double>(kMeasuredTime).count();
    std::cout << "{\"bench\":\"claims\",\"requests_per_second\":"
              << scenario_.requests_per_second
              << ",\"targets\":" << scenario_.targets
              << ",\"logs\":" << scenario_.logs << ",\"write_interval_ms\":"
              << static_cast<double>(scenario_.write_interval.count()) / 1000
              << ",\"outage\":" << (scenario_.has_outage ? "true" : "false")
              << ",\"writes_per_second\":" << writes_ / span
              << ",\"reads_per_second\":" << reads_ / span
              << ",\"claim_ms_p50\":" << delay_ms(0.5)
              << ",\"claim_ms_p99\":" << delay_ms(0.99)
              << ",\"refused_share\":" << refused_ / (refused_ + granted_)
              << "}\n";
  }

 private:
  static constexpr int kWarmUpRequests = 400;
  struct Object {
    uint64_t version = 0;
    ClaimHead head;
  };
  using Action = std::function<void()>;

  void ScheduleAfter(Duration delay, Action action) {
    queue_.emplace(now_ + delay, std::move(action));
  }

  void AdvanceBy(Duration span) {
    const TimePoint end = now_ + span;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto event = queue_.extract(queue_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  WallTime WallNow() const {
    return WallTime(now_.time_since_epoch() + std::chrono::hours(1000));
  }

  void SubmitRequest() {
    Submit submit;
    submit.request_id.value = "r" + std::to_string(next_request_number_++);
    submit.idempotency_key = submit.request_id.value;
    submit.workspace.value = "w";
    submit.time_left = kDeadline;
    submit.claim = {"s", scenario_.logs, kRetention, {}, WallNow()};
    const ClaimKey key = ComputeClaimKey(submit);
    submitted_at_[key] = now_;
    const size_t owner =
        SelectClaimLog(key, scenario_.logs) % scenario_.targets;
    submit.incarnation.value = "boot" + std::to_string(owner);
    ExecuteAll(owner, agents_[owner]->OnSubmit(submit, 0, now_, WallNow()));
  }

  void ExecuteAll(size_t i, const AtMostOnceCore::Commands& commands) {
    for (const AtMostOnceCommand& command : commands) {
      std::visit([&](const auto& c) { Execute(i, c); }, command);
    }
    ScheduleTick(i);
  }

  void ScheduleTick(size_t i) {
    if (agents_[i]->is_idle() || ticking_[i]) return;
    ticking_[i] = true;
    ScheduleAfter(kTickInterval, [this, i] {
      ticking_[i] = false;
      ExecuteAll(i, agents_[i]->Tick(now_, WallNow()));
    });
  }

  void Execute(size_t, const SendBack& command) {
    if (std::holds_alternative<Refused>(command.message)) ++refused_;
  }
  void Execute(size_t i, const StartRun& command) {
    ++granted_;
    claim_delays_.push_back(now_ - submitted_at_[command.key]);
    ScheduleAfter(kRunTime, [this, i, key = command.key] {
      ExecuteAll(i, agents_[i]->OnRunEnded(key, RunOutcome::kComplete, {}));
    });
  }
  void Execute(size_t i, const EnsureLayout& command) {
    ScheduleAfter(kPlatformDelay, [this, i, command] {
      ExecuteAll(i, agents_[i]->OnLayout(command.service, command.logs, now_,
                                         WallNow()));
    });
  }
  void Execute(size_t, const EndAdmission&) {}
  void Execute(size_t i, const AccessLog& access) {
    std::visit([&](const auto& c) { ExecuteOnLog(i, access.name, c); },
               access.command);
  }

  void ExecuteOnLog(size_t, const ClaimLogName&, const DecideClaim&) {}
  void ExecuteOnLog(size_t, const ClaimLogName&, const DropSegment&) {
    ++writes_;
  }
  void ExecuteOnLog(size_t i, const ClaimLogName& name, const ReadClaims&) {
    ++reads_;
    ScheduleAfter(kPlatformDelay, [this, i, name] {
      const Object& object = objects_[name];
      std::optional<ClaimsRead> read;
      if (!is_outage_) read = ClaimsRead{object.version, object.head, {}, {}};
      ExecuteAll(i, agents_[i]->OnRead(name, read, now_, WallNow()));
    });
  }
  void ExecuteOnLog(size_t i, const ClaimLogName& name,
                    const WriteHead& command) {
    ++writes_;
    ScheduleAfter(kPlatformDelay, [this, i, name, command] {
      ExecuteAll(i, agents_[i]->OnHeadWritten(name, Put(name, command), now_,
                                              WallNow()));
    });
  }
  void ExecuteOnLog(size_t i, const ClaimLogName& name, const WriteSegment&) {
    ++writes_;
    ScheduleAfter(kPlatformDelay, [this, i, name] {
      ExecuteAll(
          i, agents_[i]->OnSegmentWritten(name, !is_outage_, now_, WallNow()));
    });
  }

  HeadWritten Put(const ClaimLogName& name, const WriteHead& command) {
    if (is_outage_) return {WriteOutcome::kNotWritten, 0};
    Object& object = objects_[name];
    if (object.version != command.expected_version) {
      return {WriteOutcome::kConflict, 0};
    }
    object = {object.version + 1, command.head};
    return {WriteOutcome::kWritten, object.version};
  }

  Scenario scenario_;
  std::vector<std::unique_ptr<AtMostOnceCore>> agents_;
  std::map<size_t, bool> ticking_;
  std::map<ClaimLogName, Object> objects_;
  std::map<ClaimKey, TimePoint> submitted_at_;
  std::multimap<TimePoint, Action> queue_;
  TimePoint now_;
  std::vector<Duration> claim_delays_;
  bool is_outage_ = false;
  int next_request_number_ = 0;
  double writes_ = 0;
  double reads_ = 0;
  double granted_ = 0;
  double refused_ = 0;
};

const Duration kDefaultInterval = ClaimLogOptions().write_interval;
constexpr Duration kMediumInterval = milliseconds(25);
constexpr Duration kLongInterval = milliseconds(50);

// Current and target request rates and fleet sizes, then choices of write
// interval and number of logs at the target size, then platform outages.
const std::array kScenarios = {
    Scenario{0.5, 4, 4, kDefaultInterval, false},
    Scenario{2, 4, 4, kDefaultInterval, false},
    Scenario{10, 4, 4, kDefaultInterval, false},
    Scenario{40, 4, 4, kDefaultInterval, false},
    Scenario{100, 4, 4, kDefaultInterval, false},
    Scenario{310, 4, 4, kDefaultInterval, false},
    Scenario{10, 40, 4, kDefaultInterval, false},
    Scenario{10, 760, 4, kDefaultInterval, false},
    Scenario{310, 760, 4, kMediumInterval, false},
    Scenario{310, 760, 4, kDefaultInterval, false},
    Scenario{310, 760, 4, kLongInterval, false},
    Scenario{310, 760, 8, kDefaultInterval, false},
    Scenario{310, 760, 8, kMediumInterval, false},
    Scenario{310, 760, 8, kLongInterval, false},
    Scenario{10, 4, 4, kDefaultInterval, true},
    Scenario{310, 760, 8, kDefaultInterval, true},
};

}  // namespace

int RunClaimsBench(std::span<const std::string>) {
  for (const Scenario& scenario : kScenarios) {
    ClaimsSimulation simulation(scenario);
    simulation.Run();
    simulation.Print();
  }
  return 0;
}

}  // namespace dogwoodlatch::bench
