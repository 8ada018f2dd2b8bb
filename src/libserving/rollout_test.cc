#include "dogwoodlatch/serving/rollout.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

constexpr RolloutLimits kLimits{
    .least_loads = 2, .load_share = 0.19, .turn = milliseconds(2500)};

// Agents in virtual time: each sees the others as they were one step ago.
class RolloutWorld {
 public:
  explicit RolloutWorld(int targets) {
    for (int i = 0; i < targets; ++i) {
      targets_.push_back({.target_id = "t" + std::to_string(i), .version = 1});
      until_.push_back(0);
    }
  }

  void Name(uint64_t version) {
    named_ = version;
    named_at_ = now_;
  }
  void SetDead(size_t index) { dead_ = static_cast<int>(index); }
  void SetWaiting(int requests) {
    for (auto& target : targets_) target.waiting_requests = requests;
  }

  void Run(int64_t ms) {
    const int64_t end = now_ + ms;
    for (; now_ < end; now_ += kStep) Step();
  }

  size_t CountAt(uint64_t version) const {
    return static_cast<size_t>(
        std::ranges::count(targets_, version, &RolloutPeer::version));
  }
  uint64_t Oldest() const {
    return std::ranges::min(targets_, {}, &RolloutPeer::version).version;
  }
  size_t most_loading() const { return most_loading_; }
  size_t most_out() const { return most_out_; }

 private:
  static constexpr int64_t kStep = 50;
  static constexpr int64_t kDrain = 600;
  static constexpr int64_t kLoad = 1100;

  void Step() {
    const std::vector<RolloutPeer> seen = targets_;
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (static_cast<int>(i) != dead_) Advance(i, seen);
    }
    const auto count = [&](auto&& counts) {
      return static_cast<size_t>(std::ranges::count_if(targets_, counts));
    };
    most_loading_ = std::max(most_loading_, count([](const RolloutPeer& peer) {
                               return peer.phase == RolloutPhase::kLoading;
                             }));
    most_out_ = std::max(most_out_, count([](const RolloutPeer& peer) {
                           return peer.phase != RolloutPhase::kServing;
                         }));
  }

  void Advance(size_t i, const std::vector<RolloutPeer>& seen) {
    RolloutPeer& own = targets_[i];
    switch (own.phase) {
      case RolloutPhase::kServing:
        if (own.version < named_ &&
            IsTurnToDrain(own.target_id, named_, seen,
                          milliseconds(now_ - named_at_), kLimits)) {
          own.phase = RolloutPhase::kDraining;
          until_[i] = now_ + kDrain;
        }
        break;
      case RolloutPhase::kDraining:
        if (now_ >= until_[i] && MayLoad(own.target_id, seen, kLimits)) {
          own.phase = RolloutPhase::kLoading;
          until_[i] = now_ + kLoad;
          loading_version_ = named_;
        }
        break;
      case RolloutPhase::kLoading:
        if (now_ >= until_[i]) {
          own.phase = RolloutPhase::kServing;
          own.version = loading_version_;
        }
        break;
    }
  }

  std::vector<RolloutPeer> targets_;
  std::vector<int64_t> until_;
  int dead_ = -1;
  uint64_t named_ = 1;
  uint64_t loading_version_ = 1;
  int64_t named_at_ = 0;
  int64_t now_ = 0;
  size_t most_loading_ = 0;
  size_t most_out_ = 0;
};

}  // namespace

TEST_CASE("nine targets take new weights two at a time within the bound") {
  RolloutWorld world(9);
  world.Name(2);
  world.Run(10000);
  CHECK(world.CountAt(2) == 9);
  // Two agents may begin in the same step, before they hear of each other.
  CHECK(world.most_loading() <= 4);
  CHECK(world.most_out() <= 6);
}

// Quiet day at Tengri: versions came every five seconds, and the order of turns
// was drawn anew for each, so one target stayed on the first for 12 s.
TEST_CASE("the furthest behind go first when versions come quickly") {
  RolloutWorld world(9);
  for (uint64_t version = 2; version <= 12; ++version) {
    world.Name(version);
    world.Run(4500);
    CHECK(world.Oldest() + 2 >= version);
  }
}

// Grown site of Tengri: 48 targets, two at a time, needed over 25 s.
TEST_CASE("a larger fleet loads more targets at once") {
  RolloutWorld world(48);
  world.Name(2);
  world.Run(12000);
  CHECK(world.CountAt(2) == 48);
}

TEST_CASE("a target that is gone holds up nobody") {
  RolloutWorld world(4);
  world.SetDead(0);
  world.Name(2);
  world.Run(12000);
  CHECK(world.CountAt(2) == 3);
}

// Pattern: weights change in the middle of a burst.
TEST_CASE("under load no target drains ahead of its load") {
  RolloutWorld world(9);
  world.SetWaiting(6);
  world.Name(2);
  world.Run(1500);
  CHECK(world.most_out() <= 4);
  world.Run(12000);
  CHECK(world.CountAt(2) == 9);
}

}  // namespace dogwoodlatch::serving
