#include "dogwoodlatch/serving/poison_guard.h"

#include <catch2/catch.hpp>
#include <vector>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::seconds;

constexpr uint64_t kRequest = 1;

}  // namespace

TEST_CASE("a request that broke three targets is sent no more for a while") {
  PoisonGuard guard;
  guard.OnBroken({kRequest, 11}, At(seconds(0)));
  guard.OnBroken({kRequest, 12}, At(seconds(0)));
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(0))));
  guard.OnBroken({kRequest, 13}, At(seconds(1)));
  CHECK(guard.IsBlocked(kRequest, At(seconds(16))));
  CHECK_FALSE(guard.IsBlocked(kRequest + 1, At(seconds(16))));
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(22))));
}

TEST_CASE("an answer clears a request that met a crash by chance") {
  PoisonGuard guard;
  guard.OnBroken({kRequest, 11}, At(seconds(0)));
  guard.OnAnswered(kRequest);
  guard.OnBroken({kRequest, 12}, At(seconds(1)));
  guard.OnBroken({kRequest, 13}, At(seconds(1)));
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(1))));
}

TEST_CASE("a target that starts again under its id counts again") {
  TargetRecord target;
  target.id = "t1";
  PoisonGuard guard;
  for (int life = 0; life < 3; ++life) {
    CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(life))));
    target.started += seconds(1);
    guard.OnBroken({kRequest, IncarnationKey(target)}, At(seconds(life)));
  }
  CHECK(guard.IsBlocked(kRequest, At(seconds(3))));
}

// Many callers ask the same; one crash ends all the runs of it on that target.
TEST_CASE("copies of a request that meet one crash are no suspects") {
  PoisonGuard guard;
  for (int copy = 0; copy < 5; ++copy) {
    guard.OnBroken({kRequest, 11}, At(seconds(0)));
  }
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(0))));
  CHECK(guard.TakeUnsent().size() == 1);
}

TEST_CASE("a request that breaks a target at each router is stopped at all") {
  constexpr int kRouters = 5;
  std::vector<PoisonGuard> routers(kRouters);
  uint64_t broken = 0;
  for (int turn = 0; turn < 3 * kRouters; ++turn) {
    PoisonGuard& router = routers[turn % kRouters];
    const TimePoint now = At(seconds(turn));
    if (router.IsBlocked(kRequest, now)) continue;
    router.OnBroken({kRequest, ++broken}, now);
    for (const BrokenRun& run : router.TakeUnsent()) {
      for (PoisonGuard& other : routers) {
        if (&other != &router) other.OnBrokenAtPeer(run, now);
      }
    }
  }
  CHECK(broken == 3);
  CHECK(routers[0].TakeUnsent().empty());
}

}  // namespace dogwoodlatch::serving
