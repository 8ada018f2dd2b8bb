#include "dogwoodlatch/serving/shutdown_plan.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

Route MakeRoute(RouteKind kind, int64_t timeout_ms) {
  Route route;
  route.kind = kind;
  route.timeout = milliseconds(timeout_ms);
  return route;
}

}  // namespace

// Guards against accepting streams that outlast the process: a stream accepted
// 3.4 s after SIGTERM lasted 4.6 s and was cut off when the process exited.
TEST_CASE("no stream is accepted after the load balancer has removed the VM") {
  const ShutdownPlan plan(At(5000), milliseconds(8000));
  const Route stream = MakeRoute(RouteKind::kStream, 15000);
  CHECK(plan.Accepts(stream, At(7500)));
  CHECK_FALSE(plan.Accepts(stream, At(8378)));
}

TEST_CASE("plain requests are accepted as long as they can end in time") {
  const ShutdownPlan plan(At(0), milliseconds(8000));
  const Route plain = MakeRoute(RouteKind::kNonIdempotent, 600);
  CHECK(plan.Accepts(plain, At(6800)));
  CHECK_FALSE(plan.Accepts(plain, At(6801)));
  CHECK_FALSE(plan.MustExit(At(7399)));
  CHECK(plan.MustExit(At(7400)));
}

// Guards against a process that is cut off by its own end while callers still
// open connections.
TEST_CASE("the process stops listening a while before it must exit") {
  const ShutdownPlan plan(At(0), milliseconds(8000));
  CHECK(plan.Listens(At(6399)));
  CHECK_FALSE(plan.Listens(At(6400)));
  const ShutdownPlan short_plan(At(0), milliseconds(3000));
  CHECK(short_plan.Listens(At(2599)));
  CHECK_FALSE(short_plan.Listens(At(2600)));
}

}  // namespace dogwoodlatch::serving
