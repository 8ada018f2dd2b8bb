#include "dogwoodlatch/standin/object_store.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch::standin {

TEST_CASE("a conditional write takes effect only at the expected version") {
  ObjectStore store;
  const uint64_t first = store.Put("a", 1, 0).value();
  CHECK(store.Put("a", 2, 0).error().code == ErrorCode::kConflict);
  CHECK(store.Put("a", 3, first).has_value());
  CHECK(store.Get("a")->value == 3);
  CHECK(store.GetVersion("a", first)->value == 1);
}

TEST_CASE(
    "a watch returns each change under its prefix once and reports a revision "
    "that the change log does not cover") {
  ObjectStore store;
  const uint64_t first = store.Put("settings/a", 1, 0).value();
  (void)store.Put("claims/a", 1, 0);
  (void)store.Put("settings/a", 2, first);
  const auto changes = store.ChangesAfter("settings/", first);
  REQUIRE(changes.has_value());
  REQUIRE(changes->size() == 1);
  CHECK(changes->front().object.value == 2);
  CHECK_FALSE(store.ChangesAfter("settings/", 99).has_value());
}

}  // namespace dogwoodlatch::standin
