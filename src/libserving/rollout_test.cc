#include "dogwoodlatch/serving/rollout.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

constexpr RolloutLimits kLimits{.min_concurrent_loads = 2,
                                .max_load_share = 0.19,
                                .batch_timeout = milliseconds(2500)};

// Simulates agents in virtual time. Each sees the others as they were one step
// earlier.
class RolloutSimulation {
 public:
  explicit RolloutSimulation(int targets) {
    for (int i = 0; i < targets; ++i) {
      targets_.push_back({.target_id = "t" + std::to_string(i), .version = 1});
      phase_end_.push_back(0);
    }
  }

  void NameVersion(uint64_t version) {
    newest_version_ = version;
    named_at_ = now_;
  }
  void SetLost(size_t index) { lost_index_ = static_cast<int>(index); }
  void SetWaiting(int requests) {
    for (auto& target : targets_) target.waiting_requests = requests;
  }

  void Run(int64_t ms) {
    const int64_t end = now_ + ms;
    for (; now_ < end; now_ += kStepMs) Step();
  }

  size_t CountAt(uint64_t version) const {
    return static_cast<size_t>(
        std::ranges::count(targets_, version, &RolloutPeer::version));
  }
  uint64_t OldestVersion() const {
    return std::ranges::min(targets_, {}, &RolloutPeer::version).version;
  }
  size_t max_loading() const { return max_loading_; }
  size_t max_out_of_service() const { return max_out_of_service_; }

 private:
  static constexpr int64_t kStepMs = 50;
  static constexpr int64_t kDrainMs = 600;
  static constexpr int64_t kLoadMs = 1100;

  void Step() {
    const std::vector<RolloutPeer> seen = targets_;
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (static_cast<int>(i) != lost_index_) Advance(i, seen);
    }
    const auto count = [&](auto&& predicate) {
      return static_cast<size_t>(std::ranges::count_if(targets_, predicate));
    };
    max_loading_ = std::max(max_loading_, count([](const RolloutPeer& peer) {
                              return peer.phase == RolloutPhase::kLoading;
                            }));
    max_out_of_service_ =
        std::max(max_out_of_service_, count([](const RolloutPeer& peer) {
                   return peer.phase != RolloutPhase::kServing;
                 }));
  }

  void Advance(size_t i, const std::vector<RolloutPeer>& seen) {
    RolloutPeer& own = targets_[i];
    switch (own.phase) {
      case RolloutPhase::kServing:
        if (own.version < newest_version_ &&
            ShouldDrain(own.target_id, newest_version_, seen,
                        milliseconds(now_ - named_at_), kLimits)) {
          own.phase = RolloutPhase::kDraining;
          phase_end_[i] = now_ + kDrainMs;
        }
        break;
      case RolloutPhase::kDraining:
        if (now_ >= phase_end_[i] && MayLoad(own.target_id, seen, kLimits)) {
          own.phase = RolloutPhase::kLoading;
          phase_end_[i] = now_ + kLoadMs;
          loading_version_ = newest_version_;
        }
        break;
      case RolloutPhase::kLoading:
        if (now_ >= phase_end_[i]) {
          own.phase = RolloutPhase::kServing;
          own.version = loading_version_;
        }
        break;
    }
  }

  std::vector<RolloutPeer> targets_;
  std::vector<int64_t> phase_end_;
  int lost_index_ = -1;
  uint64_t newest_version_ = 1;
  uint64_t loading_version_ = 1;
  int64_t named_at_ = 0;
  int64_t now_ = 0;
  size_t max_loading_ = 0;
  size_t max_out_of_service_ = 0;
};

}  // namespace

TEST_CASE("nine targets load new weights two at a time within 10 s") {
  RolloutSimulation simulation(9);
  simulation.NameVersion(2);
  simulation.Run(10000);
  CHECK(simulation.CountAt(2) == 9);
  // Two agents may begin in the same step, before either sees the other.
  CHECK(simulation.max_loading() <= 4);
  CHECK(simulation.max_out_of_service() <= 6);
}

// Guards against an order that ignores the loaded version: versions were named
// every five seconds and each drew a new random order, so one target stayed on
// the first version for 12 s.
TEST_CASE(
    "targets on the oldest version go first when versions change quickly") {
  RolloutSimulation simulation(9);
  for (uint64_t version = 2; version <= 12; ++version) {
    simulation.NameVersion(version);
    simulation.Run(4500);
    CHECK(simulation.OldestVersion() + 2 >= version);
  }
}

// Guards against a fixed number of concurrent loads: 48 targets, loading two at
// a time, needed over 25 s.
TEST_CASE("a larger fleet loads more targets concurrently") {
  RolloutSimulation simulation(48);
  simulation.NameVersion(2);
  simulation.Run(12000);
  CHECK(simulation.CountAt(2) == 48);
}

TEST_CASE("a lost target does not block the others") {
  RolloutSimulation simulation(4);
  simulation.SetLost(0);
  simulation.NameVersion(2);
  simulation.Run(12000);
  CHECK(simulation.CountAt(2) == 3);
}

// Weights change during a burst of requests.
TEST_CASE("under load no target drains before it may load") {
  RolloutSimulation simulation(9);
  simulation.SetWaiting(6);
  simulation.NameVersion(2);
  simulation.Run(1500);
  CHECK(simulation.max_out_of_service() <= 4);
  simulation.Run(12000);
  CHECK(simulation.CountAt(2) == 9);
}

}  // namespace dogwoodlatch::serving
