#include "dogwoodlatch/serving/poison_guard.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::seconds;

}  // namespace
TEST_CASE("a request that broke two targets is sent no more for a minute") {
  PoisonGuard guard;
  guard.OnBroken(1, At(seconds(0)));
  CHECK_FALSE(guard.IsBlocked(1, At(seconds(0))));
  guard.OnBroken(1, At(seconds(1)));
  CHECK(guard.IsBlocked(1, At(seconds(30))));
  CHECK_FALSE(guard.IsBlocked(2, At(seconds(30))));
  CHECK_FALSE(guard.IsBlocked(1, At(seconds(62))));
}

TEST_CASE("an answer clears a request that met a crash by chance") {
  PoisonGuard guard;
  guard.OnBroken(1, At(seconds(0)));
  guard.OnAnswered(1);
  guard.OnBroken(1, At(seconds(1)));
  CHECK_FALSE(guard.IsBlocked(1, At(seconds(1))));
}

}  // namespace dogwoodlatch::serving
