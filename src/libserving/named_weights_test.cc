#include "dogwoodlatch/serving/named_weights.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::seconds;

}  // namespace

TEST_CASE("versions only increase and each ages from when it was named") {
  NamedVersions versions;
  CHECK(versions.newest() == 0);
  CHECK(versions.OnNamed(2, At(seconds(100)), seconds(0)));
  CHECK_FALSE(versions.OnNamed(1, At(seconds(101)), seconds(0)));
  CHECK(versions.OnNamed(3, At(seconds(105)), seconds(0)));
  CHECK(versions.newest() == 3);
  CHECK(versions.newest_since() == At(seconds(105)));
  CHECK(versions.NewestKnownFor(seconds(10), At(seconds(109))) == 0);
  CHECK(versions.NewestKnownFor(seconds(10), At(seconds(110))) == 2);
  CHECK(versions.NewestKnownFor(seconds(10), At(seconds(115))) == 3);
}

TEST_CASE("a version in the first list may be older than the process") {
  NamedVersions versions;
  versions.OnNamed(5, At(seconds(100)), seconds(7));
  CHECK(versions.NewestKnownFor(seconds(10), At(seconds(103))) == 5);
}

}  // namespace dogwoodlatch::serving
