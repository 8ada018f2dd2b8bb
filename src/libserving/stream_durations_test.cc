#include "dogwoodlatch/serving/stream_durations.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {

using std::chrono::milliseconds;

// Guards against an estimate that a short stream lowers, which would let a long
// one be cut by the end of the process.
TEST_CASE("the longest stream of a route counts, for each route by itself") {
  StreamDurations durations;
  CHECK_FALSE(durations.Longest("a"));
  durations.Record("a", milliseconds(4000), At(1000));
  durations.Record("a", milliseconds(50), At(2000));
  durations.Record("b", milliseconds(300), At(2000));
  CHECK(durations.Longest("a") == Duration(milliseconds(4000)));
  CHECK(durations.Longest("b") == Duration(milliseconds(300)));
}

// Guards against an estimate that one slow moment keeps high for ever, and
// against routes that are kept after they are gone.
TEST_CASE("streams of more than two minutes ago are forgotten") {
  StreamDurations durations;
  durations.Record("a", milliseconds(9000), At(0));
  durations.Record("a", milliseconds(50), At(60000));
  CHECK(durations.Longest("a") == Duration(milliseconds(9000)));
  durations.Record("b", milliseconds(50), At(120000));
  CHECK(durations.Longest("a") == Duration(milliseconds(50)));
  durations.Record("b", milliseconds(50), At(180000));
  CHECK_FALSE(durations.Longest("a"));
}

}  // namespace dogwoodlatch::serving
