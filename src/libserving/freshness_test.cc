#include "dogwoodlatch/serving/freshness.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_CASE(
    "keys are accepted for a bounded time after the confirmed read was sent") {
  FreshnessGuard guard(milliseconds(4750));
  CHECK_FALSE(guard.IsFresh(At(0)));
  guard.OnConfirmed(At(1000));
  CHECK(guard.IsFresh(At(5750)));
  CHECK_FALSE(guard.IsFresh(At(5751)));
}

TEST_CASE("a delayed answer does not replace a later confirmation") {
  FreshnessGuard guard(milliseconds(1000));
  guard.OnConfirmed(At(2000));
  guard.OnConfirmed(At(500));
  CHECK(*guard.Age(At(2100)) == milliseconds(100));
}

TEST_CASE("confirmations from before a given time are ignored") {
  FreshnessGuard guard(std::chrono::milliseconds(4750));
  guard.OnConfirmed(At(1000));
  guard.IgnoreUntil(At(4000));
  guard.OnConfirmed(At(3000));
  CHECK(guard.confirmed_at() == At(1000));
  CHECK(guard.IsFresh(At(5700)));
  CHECK_FALSE(guard.IsFresh(At(5800)));
  guard.OnConfirmed(At(4000));
  CHECK(guard.IsFresh(At(8700)));
}

}  // namespace dogwoodlatch::serving
