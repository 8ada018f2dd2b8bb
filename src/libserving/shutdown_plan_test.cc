#include "dogwoodlatch/serving/shutdown_plan.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

ShutdownPlan::Arrival MakeArrival(RouteKind kind, int64_t time_limit_ms) {
  return {.kind = kind, .time_limit = milliseconds(time_limit_ms)};
}

}  // namespace

// Guards against accepting streams that outlast the process: a stream accepted
// 3.4 s after SIGTERM lasted 4.6 s and was cut off when the process exited.
TEST_CASE("no stream is accepted after the load balancer has removed the VM") {
  const ShutdownPlan plan(At(5000), milliseconds(8000));
  ShutdownPlan::Arrival stream = MakeArrival(RouteKind::kStream, 15000);
  CHECK(plan.Accepts(stream, At(7500)));
  CHECK_FALSE(plan.Accepts(stream, At(8378)));
  // Nor where no other router serves.
  stream.is_other_serving = false;
  CHECK_FALSE(plan.Accepts(stream, At(8378)));
}

TEST_CASE("plain requests are accepted as long as they can end in time") {
  const ShutdownPlan plan(At(0), milliseconds(8000));
  const ShutdownPlan::Arrival plain =
      MakeArrival(RouteKind::kNonIdempotent, 600);
  CHECK(plan.Accepts(plain, At(6800)));
  CHECK_FALSE(plan.Accepts(plain, At(6801)));
  CHECK_FALSE(plan.MustExit(At(7399)));
  CHECK(plan.MustExit(At(7400)));
}

// Guards against streams that are refused by all routers while all of them
// stop, and against one that is accepted late since others of its route were
// short: it lasted 3.3 s and was cut.
TEST_CASE("late streams are accepted if they must end in time, and alone") {
  const ShutdownPlan plan(At(0), milliseconds(8000));
  ShutdownPlan::Arrival stream = MakeArrival(RouteKind::kStream, 2800);
  stream.is_other_serving = false;
  CHECK(plan.Accepts(stream, At(4600)));
  CHECK_FALSE(plan.Accepts(stream, At(4601)));
  stream.is_other_serving = true;
  CHECK(plan.Accepts(stream, At(2599)));
  CHECK_FALSE(plan.Accepts(stream, At(2600)));
  ShutdownPlan::Arrival unlimited = MakeArrival(RouteKind::kStream, 15000);
  unlimited.is_other_serving = false;
  CHECK_FALSE(plan.Accepts(unlimited, At(4130)));
}

// Guards against requests that are cut without an answer when the process
// exits: their callers get a response a while before.
TEST_CASE("callers without a response get one before the process exits") {
  const ShutdownPlan plan(At(0), milliseconds(8000));
  CHECK_FALSE(plan.MustAnswer(At(7149)));
  CHECK(plan.MustAnswer(At(7150)));
  const ShutdownPlan::Arrival brief =
      MakeArrival(RouteKind::kNonIdempotent, 100);
  CHECK(plan.Accepts(brief, At(7149)));
  CHECK_FALSE(plan.Accepts(brief, At(7150)));
}

// Guards against a process that is cut off by its own end while callers still
// open connections, and against one that turns them away for long before it.
TEST_CASE("the process stops listening a while before it must exit") {
  const ShutdownPlan plan(At(0), milliseconds(8000));
  CHECK(plan.Listens(At(6399)));
  CHECK_FALSE(plan.Listens(At(6400)));
  const ShutdownPlan short_plan(At(0), milliseconds(3000));
  CHECK(short_plan.Listens(At(2599)));
  CHECK_FALSE(short_plan.Listens(At(2600)));
}

}  // namespace dogwoodlatch::serving
