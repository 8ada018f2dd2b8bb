// Prompts with a part that crashes targets, beside sound ones that share their
// other parts, in virtual time: several routers that report to each other what
// they know by datagrams that may be lost.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dogwoodlatch/serving/poison_guard.h"
#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kReportPeriod{100};
constexpr milliseconds kRestartTime{1600};
constexpr milliseconds kFirstAnswer{120};  // from the send to the first event
constexpr milliseconds kAnswer{400};       // from the send to the end
constexpr milliseconds kTrafficBegins{1000};
constexpr milliseconds kGuiltyBegins{4000};
// The platform's bounds: what may be sent after the fifth crash.
constexpr milliseconds kSettleTime{3000};
constexpr size_t kMaxLateSends = 3;

struct Scenario {
  std::string name{};
  size_t routers = 5;
  size_t targets = 9;
  /// Parts of a guilty request, and of one that shares its sound parts.
  std::vector<std::vector<uint64_t>> guilty_requests{{1, 100}};
  std::vector<std::vector<uint64_t>> sound_requests{{1, 10}, {1, 11}, {1, 12}};
  std::set<uint64_t> guilty_parts{100};
  milliseconds guilty_period{300};
  milliseconds sound_period{10};
  double loss = 0.0;              ///< share of datagrams lost
  milliseconds other_crashes{0};  ///< period of crashes of 4 targets at once
  milliseconds length{60000};
  /// One router knows nothing from this time on, as it starts again.
  milliseconds restart{0};
  bool acquits = true;  ///< routers learn of whole answers
};

struct Result {
  size_t crashes = 0;     ///< under guilty parts
  size_t late_sends = 0;  ///< of guilty requests
  size_t sound = 0;       ///< sound requests from twice the settle time on
  size_t sound_held_back = 0;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, uint64_t seed)
      : scenario_(scenario), random_(seed), targets_(scenario.targets) {
    for (size_t i = 0; i < scenario_.routers; ++i) routers_.push_back(Start(i));
  }

  size_t SoundHeldBack() const {
    return std::ranges::count_if(sound_, &Request::is_held_back);
  }

  Result Simulate() {
    for (; now_ < scenario_.length; now_ += kStep) {
      Advance();
      if (scenario_.restart > milliseconds(0) && now_ == scenario_.restart) {
        routers_[0] = Start(0);
      }
      if (IsDue(scenario_.other_crashes, milliseconds(5000))) CrashSome();
      if (IsDue(scenario_.sound_period, kTrafficBegins)) {
        Send(scenario_.sound_requests, false);
      }
      if (IsDue(scenario_.guilty_period, kGuiltyBegins)) {
        Send(scenario_.guilty_requests, true);
      }
      if (IsDue(kReportPeriod, milliseconds(0))) ExchangeReports();
    }
    return Count();
  }

 private:
  struct Run {
    std::vector<Suspect> suspects{};
    size_t router = 0;
    milliseconds sent_at{0};
    bool is_guilty = false;
    int attempts = 1;
  };
  struct Target {
    uint64_t incarnation = 1;
    milliseconds down_until{0};
    std::vector<Run> runs;
  };
  struct Request {
    milliseconds at;
    bool is_held_back;
  };

  PoisonGuard Start(size_t own) const {
    PoisonGuard guard;
    std::vector<uint64_t> order{own};
    for (size_t i = 0; i < scenario_.routers; ++i) {
      if (i != own) order.push_back(i);
    }
    guard.SetRouters(order);
    return guard;
  }

  size_t Draw(size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
  }

  bool IsDue(milliseconds period, milliseconds from) const {
    return period > milliseconds(0) && now_ >= from &&
           (now_ - from) % period < kStep;
  }

  void Send(const std::vector<std::vector<uint64_t>>& kinds, bool is_guilty) {
    Run run{.router = Draw(scenario_.routers), .is_guilty = is_guilty};
    run.suspects = {{SuspectKind::kRequest, ++last_request_}};
    for (const uint64_t part : kinds[Draw(kinds.size())]) {
      run.suspects.push_back({SuspectKind::kPart, part});
    }
    const bool is_held_back =
        routers_[run.router].Admit(run.suspects, At(now_)).is_held_back;
    if (!is_guilty) sound_.push_back({now_, is_held_back});
    if (!is_held_back) Place(std::move(run));
  }

  void Place(Run run) {
    std::vector<size_t> up;
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (targets_[i].down_until <= now_) up.push_back(i);
    }
    if (up.empty()) return;
    run.sent_at = now_;
    if (run.is_guilty) guilty_sends_.push_back(now_);
    targets_[up[Draw(up.size())]].runs.push_back(std::move(run));
  }

  void Advance() {
    for (size_t i = 0; i < targets_.size(); ++i) {
      const bool crashes =
          std::ranges::any_of(targets_[i].runs, [&](auto& run) {
            return run.is_guilty && now_ - run.sent_at >= kFirstAnswer;
          });
      if (crashes) {
        crashes_.push_back(now_);
        Crash(i);
        continue;
      }
      std::erase_if(targets_[i].runs, [&](const Run& run) {
        const bool ends = now_ - run.sent_at >= kAnswer;
        if (ends && scenario_.acquits) {
          routers_[run.router].OnAnswered(run.suspects, At(now_));
        }
        return ends;
      });
    }
  }

  void CrashSome() {
    for (size_t i = 0; i < 4; ++i) Crash(i);
  }

  void Crash(size_t index) {
    Target& target = targets_[index];
    if (target.down_until > now_) return;
    target.down_until = now_ + kRestartTime;
    const uint64_t key = index * 100000 + target.incarnation++;
    for (Run& run : std::exchange(target.runs, {})) {
      PoisonGuard& router = routers_[run.router];
      const bool was_answering =
          now_ - run.sent_at >= kFirstAnswer + milliseconds(100);
      router.OnBroken(run.suspects,
                      {.target = key, .was_answering = was_answering},
                      At(now_));
      const bool is_sent_again =
          run.attempts < 2 &&
          !router.Check(run.suspects, At(now_)).is_held_back;
      if (!is_sent_again) continue;
      ++run.attempts;
      Place(std::move(run));
    }
  }

  void ExchangeReports() {
    for (size_t i = 0; i < routers_.size(); ++i) {
      const auto reports = routers_[i].TakeReports(At(now_));
      if (reports.empty()) continue;
      for (size_t n = 0; n < std::min<size_t>(8, routers_.size() - 1); ++n) {
        const size_t to = (i + 1 + (next_receiver_++ % (routers_.size() - 1))) %
                          routers_.size();
        if (std::uniform_real_distribution<double>(0, 1)(random_) <
            scenario_.loss) {
          continue;
        }
        routers_[to].OnReports(reports, At(now_));
      }
    }
  }

  Result Count() const {
    Result result{.crashes = crashes_.size()};
    if (crashes_.empty()) return result;
    const milliseconds decided =
        crashes_[std::min<size_t>(4, crashes_.size() - 1)];
    result.late_sends = std::ranges::count_if(
        guilty_sends_, [&](auto at) { return at > decided + kSettleTime; });
    for (const Request& request : sound_) {
      if (request.at < decided + 2 * kSettleTime) continue;
      ++result.sound;
      if (request.is_held_back) ++result.sound_held_back;
    }
    return result;
  }

  Scenario scenario_;
  std::mt19937_64 random_;
  std::vector<PoisonGuard> routers_;
  std::vector<Target> targets_;
  milliseconds now_{0};
  uint64_t last_request_ = 1000000;
  size_t next_receiver_ = 0;
  std::vector<milliseconds> crashes_;
  std::vector<milliseconds> guilty_sends_;
  std::vector<Request> sound_;
};

std::vector<Scenario> Scenarios() {
  return {
      {.name = "a second part"},
      {.name = "a first part",
       .guilty_requests = {{100, 10}, {100, 11}, {100, 12}}},
      {.name = "a third part", .guilty_requests = {{1, 10, 100}}},
      {.name = "mostly with a rare part",
       .guilty_requests = {{1, 50, 100}},
       .sound_requests = {{1, 10},
                          {1, 11},
                          {1, 12},
                          {1, 13},
                          {1, 14},
                          {1, 15},
                          {1, 16},
                          {1, 17},
                          {1, 18},
                          {1, 50}}},
      {.name = "two guilty parts",
       .guilty_requests = {{1, 100}, {1, 10, 101}},
       .guilty_parts = {100, 101}},
      {.name = "quiet between",
       .guilty_period = seconds(25),
       .length = seconds(400)},
      {.name = "datagrams are lost", .loss = 0.3},
      {.name = "many routers", .routers = 60, .sound_period = milliseconds(10)},
      {.name = "little traffic", .sound_period = milliseconds(200)},
      {.name = "other crashes meanwhile", .other_crashes = seconds(3)},
      {.name = "a router starts again", .restart = seconds(30)},
  };
}

}  // namespace

// Guards against requests with one part in common being sent to one target
// after another, and against sound requests being refused with them.
TEST_CASE("parts that crash targets are found, whatever else happens") {
  for (const Scenario& scenario : Scenarios()) {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      const Result result = Simulation(scenario, seed).Simulate();
      INFO(scenario.name << ", seed " << seed << ": " << result.crashes
                         << " crashes, " << result.late_sends << " late, "
                         << result.sound_held_back << " of " << result.sound
                         << " sound requests held back");
      const bool is_several = scenario.guilty_parts.size() > 1;
      CHECK(result.crashes >= 4);
      CHECK(result.late_sends <=
            kMaxLateSends * (is_several ? scenario.guilty_parts.size() : 1));
      CHECK(result.sound_held_back * 50 <= result.sound);
    }
  }
}

// Crashes that have other reasons hit runs with the parts that all share.
TEST_CASE("crashes with other reasons hold no part back") {
  for (const size_t routers : {1, 5}) {
    for (uint64_t seed = 1; seed <= 6; ++seed) {
      Scenario scenario{.routers = routers,
                        .guilty_period = milliseconds(0),
                        .other_crashes = seconds(1)};
      scenario.guilty_requests.clear();
      Simulation simulation(scenario, seed);
      simulation.Simulate();
      INFO(routers << " routers, seed " << seed);
      CHECK(simulation.SoundHeldBack() == 0);
    }
  }
}

// The checks above find routers that get no reports, and routers that
// learn nothing from whole answers.
TEST_CASE("the simulation finds broken routers") {
  const Result silent =
      Simulation({.name = "no datagram arrives", .loss = 1.0}, 1).Simulate();
  CHECK(silent.late_sends > kMaxLateSends);
  const Result unforgiving = Simulation({.name = "no acquittal",
                                         .other_crashes = seconds(3),
                                         .acquits = false},
                                        1)
                                 .Simulate();
  CHECK(unforgiving.sound_held_back * 50 > unforgiving.sound);
}

}  // namespace dogwoodlatch::serving
