#include "dogwoodlatch/serving/named_weights.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch::serving {
namespace {

using std::chrono::seconds;

TimePoint At(int64_t s) { return TimePoint(seconds(s)); }

}  // namespace

TEST_CASE("versions only rise and age from their own naming") {
  NamedVersions versions;
  CHECK(versions.newest() == 0);
  CHECK(versions.OnNamed(2, At(100), seconds(0)));
  CHECK_FALSE(versions.OnNamed(1, At(101), seconds(0)));
  CHECK(versions.OnNamed(3, At(105), seconds(0)));
  CHECK(versions.newest() == 3);
  CHECK(versions.newest_since() == At(105));
  CHECK(versions.KnownFor(seconds(10), At(109)) == 0);
  CHECK(versions.KnownFor(seconds(10), At(110)) == 2);
  CHECK(versions.KnownFor(seconds(10), At(115)) == 3);
}

TEST_CASE("what the first list names may be older than the process") {
  NamedVersions versions;
  versions.OnNamed(5, At(100), seconds(7));
  CHECK(versions.KnownFor(seconds(10), At(103)) == 5);
}

}  // namespace dogwoodlatch::serving
