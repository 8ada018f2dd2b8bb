#include "dogwoodlatch/serving/coordination.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Step = CoordinatorElection::Step;

constexpr Duration kLease = seconds(3);
constexpr int kRouters = 6;

struct CandidateRouter {
  std::unique_ptr<CoordinatorElection> election;
  bool is_up = true;
  bool reaches_store = true;
  TimePoint busy_until{};  // a call is in progress
  TimePoint frozen_until{};
};

// Routers and the lease object in virtual time. Every action of a coordinator
// is recorded with the fence that it would use.
class ElectionSimulation {
 public:
  explicit ElectionSimulation(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kRouters; ++i) {
      routers_.emplace_back();
      Start(i);
    }
  }

  void Start(int i) {
    routers_[i].election =
        std::make_unique<CoordinatorElection>(Name(i), kLease, random_());
    routers_[i].is_up = true;
  }

  void Advance(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(50);
      for (int i = 0; i < kRouters; ++i) AdvanceRouter(i);
    }
  }

  // The store comes back from the copy that was made `age` ago.
  void RestoreStore() {
    stored_ = copy_;
    revision_ = copy_revision_;
    ++era_;
    for (CandidateRouter& router : routers_) {
      if (router.is_up) router.election->OnStoreRestored(now_);
    }
  }
  void CopyStore() {
    copy_ = stored_;
    copy_revision_ = revision_;
  }

  std::optional<int> Holder() const {
    std::optional<int> holder;
    for (int i = 0; i < kRouters; ++i) {
      const CandidateRouter& router = routers_[i];
      if (!router.is_up || !router.election->Holds(now_)) continue;
      if (holder) return std::nullopt;
      holder = i;
    }
    return holder;
  }

  std::vector<CandidateRouter> routers_;
  TimePoint now_ = At(100000);
  struct Action {
    TimePoint at;
    int router;
    uint64_t fence;
  };
  std::vector<Action> actions_;
  bool is_needed_ = true;
  int writes_ = 0;

 private:
  static std::string Name(int i) { return "r" + std::to_string(i); }

  void AdvanceRouter(int i) {
    CandidateRouter& router = routers_[i];
    if (!router.is_up || now_ < router.frozen_until) return;
    if (router.election->Holds(now_)) {
      actions_.push_back(
          {now_, i, (era_ << 40) + router.election->known()->revision});
    }
    if (now_ < router.busy_until) return;
    const Step step = router.election->NextStep(is_needed_, now_);
    if (step == Step::kNone) return;
    router.busy_until = now_ + milliseconds(50);
    if (!router.reaches_store) {
      router.election->OnFailed(now_);
      return;
    }
    if (step == Step::kRead) {
      router.election->OnRead(stored_, now_);
      return;
    }
    ++writes_;
    const bool holds = step == Step::kCreate
                           ? !stored_
                           : stored_ && stored_->revision ==
                                            router.election->known()->revision;
    if (!holds) {
      router.election->OnRead(stored_, now_);
      return;
    }
    stored_ = CoordinatorLease{Name(i), "10.0.0.1:1", ++revision_};
    // Some answers are lost although the write was done.
    if (random_() % 10 == 0) {
      router.election->OnFailed(now_);
    } else {
      router.election->OnWritten(*stored_, now_);
    }
  }

  std::mt19937_64 random_;
  std::optional<CoordinatorLease> stored_;
  std::optional<CoordinatorLease> copy_;
  uint64_t revision_ = 40;
  uint64_t copy_revision_ = 40;
  uint64_t era_ = 1;
};

// Holders are far apart in time, and fences never fall.
void CheckActions(const ElectionSimulation& simulation) {
  const ElectionSimulation::Action* last = nullptr;
  for (const auto& action : simulation.actions_) {
    if (last != nullptr && last->router != action.router) {
      REQUIRE(action.at - last->at >= kLease);
    }
    if (last != nullptr) REQUIRE(action.fence >= last->fence);
    last = &action;
  }
}

}  // namespace

TEST_CASE("one of many routers becomes the coordinator and stays it") {
  ElectionSimulation simulation(1);
  simulation.Advance(seconds(8));
  const auto holder = simulation.Holder();
  REQUIRE(holder);
  simulation.Advance(seconds(60));
  CHECK(simulation.Holder() == holder);
  CheckActions(simulation);
  // One write for each quarter of a lease, and a few when it began.
  CHECK(simulation.writes_ <= 68000 / 750 + 2 * kRouters);
}

TEST_CASE("nobody writes while every target has an agent") {
  ElectionSimulation simulation(2);
  simulation.is_needed_ = false;
  simulation.Advance(seconds(30));
  CHECK(simulation.writes_ == 0);
  CHECK_FALSE(simulation.Holder());
}

TEST_CASE("another router takes over from a lost coordinator") {
  ElectionSimulation simulation(3);
  simulation.Advance(seconds(8));
  const auto lost = simulation.Holder();
  REQUIRE(lost);
  simulation.routers_[*lost].is_up = false;
  // The time that remains of the promised 12 s suffices for the orders.
  simulation.Advance(seconds(9));
  REQUIRE(simulation.Holder());
  CHECK(simulation.Holder() != lost);
  CheckActions(simulation);
}

TEST_CASE("a coordinator that is cut from the store or frozen stops in time") {
  ElectionSimulation simulation(4);
  simulation.Advance(seconds(8));
  const auto cut = simulation.Holder();
  REQUIRE(cut);
  simulation.routers_[*cut].reaches_store = false;
  simulation.Advance(seconds(10));
  const auto second = simulation.Holder();
  REQUIRE(second);
  CHECK(second != cut);
  simulation.routers_[*cut].reaches_store = true;
  simulation.routers_[*second].frozen_until = simulation.now_ + seconds(8);
  simulation.Advance(seconds(20));
  CheckActions(simulation);
}

TEST_CASE(
    "a restored store never brings back a lower fence or a second holder") {
  ElectionSimulation simulation(5);
  simulation.CopyStore();
  simulation.Advance(seconds(8));
  REQUIRE(simulation.Holder());
  simulation.RestoreStore();
  CHECK_FALSE(simulation.Holder());
  simulation.Advance(seconds(10));
  CHECK(simulation.Holder());
  CheckActions(simulation);
}

TEST_CASE("faults in any order never let two routers act by turns") {
  rc::prop("random faults", [] {
    ElectionSimulation simulation(*rc::gen::arbitrary<uint64_t>());
    const auto faults = *rc::gen::container<std::vector<int>>(
        12, rc::gen::inRange(0, kRouters * 6));
    for (const int fault : faults) {
      const int i = fault % kRouters;
      CandidateRouter& router = simulation.routers_[i];
      switch (fault / kRouters) {
        case 0:
          router.is_up = false;
          break;
        case 1:
          if (!router.is_up) simulation.Start(i);
          break;
        case 2:
          router.reaches_store = !router.reaches_store;
          break;
        case 3:
          router.frozen_until = simulation.now_ + seconds(4);
          break;
        case 4:
          simulation.CopyStore();
          break;
        default:
          simulation.RestoreStore();
      }
      simulation.Advance(milliseconds(*rc::gen::inRange(50, 6000)));
    }
    CheckActions(simulation);
  });
}

TEST_CASE("targets on the oldest weights are ordered first, a few at a time") {
  std::vector<UnattendedTarget> targets;
  targets.reserve(12);
  for (int i = 0; i < 12; ++i) {
    targets.push_back({.id = "t" + std::to_string(i),
                       .version = i < 3 ? uint64_t{1} : uint64_t{2},
                       .is_in_progress = i == 0});
  }
  const RolloutLimits limits = kDefaultRolloutLimits;
  const auto chosen = ChooseTargetsToOrder(targets, 3, targets.size(), limits);
  REQUIRE(chosen.size() == 2 * MaxConcurrentLoads(12, limits) - 1);
  CHECK((chosen[0] == "t1" || chosen[0] == "t2"));
  CHECK((chosen[1] == "t1" || chosen[1] == "t2"));
  CHECK(ChooseTargetsToOrder(targets, 1, targets.size(), limits).empty());
}

}  // namespace dogwoodlatch::serving
