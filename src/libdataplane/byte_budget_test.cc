#include "dogwoodlatch/dataplane/byte_budget.h"

#include <catch2/catch.hpp>
#include <deque>

namespace dogwoodlatch::dataplane {

TEST_CASE(
    "200 endless messages stay within the budget, and return their bytes") {
  constexpr size_t kCapacity = 8UL * 1024 * 1024;
  constexpr size_t kLimit = 1024UL * 1024;
  ByteBudget budget(kCapacity);
  {
    std::deque<ByteReservation> messages;
    for (int i = 0; i < 200; ++i) messages.emplace_back(budget);
    for (int round = 0; round < 200; ++round) {
      for (ByteReservation& message : messages) {
        static_cast<void>(message.Grow(16384, kLimit));
        REQUIRE(budget.used() <= kCapacity);
      }
    }
    CHECK(budget.used() == kCapacity);
    messages.front().Release();
    CHECK(budget.used() < kCapacity);
    CHECK(messages.back().Grow(1024, kLimit));
  }
  CHECK(budget.used() == 0);
}

TEST_CASE("one message cannot exceed its own limit") {
  ByteBudget budget(1000);
  ByteReservation message(budget);
  CHECK(message.Grow(60, 100));
  CHECK_FALSE(message.Grow(41, 100));
  CHECK(message.Grow(40, 100));
  CHECK(budget.used() == 100);
}

TEST_CASE("a reservation that shrinks returns the difference at once") {
  ByteBudget budget(100);
  ByteReservation first(budget);
  ByteReservation second(budget);
  CHECK(first.Resize(90, 100));
  CHECK_FALSE(second.Resize(20, 100));
  CHECK(first.Resize(70, 60));  // a lower limit does not keep it from shrinking
  CHECK_FALSE(first.Resize(71, 60));
  CHECK(second.Resize(20, 100));
  CHECK(budget.used() == 90);
}

// Bytes without end (issue 46): what endless messages had taken was missing to
// the short answers of sound targets, whose callers got 502.
TEST_CASE("short messages do not depend on what long ones have taken") {
  ByteBudget budget(1000, 100);
  ByteReservation endless(budget);
  while (endless.Grow(10, 5000)) {
  }
  CHECK(budget.used() == 1000);
  ByteReservation small(budget);
  CHECK(small.Resize(100, 5000));
  CHECK_FALSE(small.Resize(101, 5000));
  endless.Release();
  CHECK(budget.used() == 0);
  CHECK(small.Resize(101, 5000));
  CHECK(budget.used() == 1);
}

}  // namespace dogwoodlatch::dataplane
