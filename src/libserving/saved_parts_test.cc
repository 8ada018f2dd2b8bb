#include "dogwoodlatch/serving/saved_parts.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
TEST_CASE(
    "a part is saved once, and again when the store may have dropped it") {
  SavedParts parts;
  CHECK(parts.ShouldSave(1, 5000, 1000, At(0)));
  CHECK_FALSE(parts.ShouldSave(1, 5000, 1000, At(9000)));
  CHECK(parts.ShouldSave(1, 5000, 1000, At(10001)));
  CHECK(parts.TakeGranted() == std::vector<uint64_t>{1, 1});
  CHECK(parts.TakeGranted().empty());
}

TEST_CASE("requests with a large part of their own leave saving to others") {
  SavedParts parts;
  CHECK_FALSE(parts.ShouldSave(1, 500, 6000, At(0)));
  CHECK(parts.ShouldSave(1, 500, 400, At(0)));
}

TEST_CASE("a part that another router had saved is not saved again") {
  SavedParts parts;
  parts.OnSaved(1, At(0));
  CHECK_FALSE(parts.ShouldSave(1, 5000, 1000, At(100)));
  CHECK_FALSE(parts.IsSaved(1, At(100)));
  CHECK(parts.IsSaved(1, At(500)));
  CHECK_FALSE(parts.IsSaved(1, At(21000)));
  CHECK_FALSE(parts.IsSaved(2, At(500)));
}

}  // namespace dogwoodlatch::serving
