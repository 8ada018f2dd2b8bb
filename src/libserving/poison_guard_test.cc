#include "dogwoodlatch/serving/poison_guard.h"

#include <catch2/catch.hpp>
#include <vector>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::seconds;

constexpr uint64_t kRequest = 1;

}  // namespace

TEST_CASE("a request that broke three targets is blocked for a while") {
  PoisonGuard guard;
  guard.OnBroken({kRequest, 11}, At(seconds(0)));
  guard.OnBroken({kRequest, 12}, At(seconds(0)));
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(0))));
  guard.OnBroken({kRequest, 13}, At(seconds(1)));
  CHECK(guard.IsBlocked(kRequest, At(seconds(16))));
  CHECK_FALSE(guard.IsBlocked(kRequest + 1, At(seconds(16))));
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(22))));
}

TEST_CASE("an answer clears a request that met an unrelated crash") {
  PoisonGuard guard;
  guard.OnBroken({kRequest, 11}, At(seconds(0)));
  guard.OnAnswered(kRequest);
  guard.OnBroken({kRequest, 12}, At(seconds(1)));
  guard.OnBroken({kRequest, 13}, At(seconds(1)));
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(1))));
}

TEST_CASE("a target restarted under its id counts as another target") {
  TargetRecord target;
  target.id = "t1";
  PoisonGuard guard;
  for (int incarnation = 0; incarnation < 3; ++incarnation) {
    CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(incarnation))));
    target.started += seconds(1);
    guard.OnBroken({kRequest, IncarnationKey(target)},
                   At(seconds(incarnation)));
  }
  CHECK(guard.IsBlocked(kRequest, At(seconds(3))));
}

// Many callers send the same request; one crash ends all its runs at a target.
TEST_CASE("copies of a request at one crashed target count once") {
  PoisonGuard guard;
  for (int copy = 0; copy < 5; ++copy) {
    guard.OnBroken({kRequest, 11}, At(seconds(0)));
  }
  CHECK_FALSE(guard.IsBlocked(kRequest, At(seconds(0))));
  CHECK(guard.TakeUnsent().size() == 1);
}

TEST_CASE(
    "a request that breaks targets at several routers is blocked by all") {
  constexpr int kRouters = 5;
  std::vector<PoisonGuard> routers(kRouters);
  uint64_t broken = 0;
  for (int attempt = 0; attempt < 3 * kRouters; ++attempt) {
    PoisonGuard& router = routers[attempt % kRouters];
    const TimePoint now = At(seconds(attempt));
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
