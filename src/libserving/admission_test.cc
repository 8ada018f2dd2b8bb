#include "dogwoodlatch/serving/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

constexpr Duration kObjective = milliseconds(500);
constexpr Duration kDeadline = milliseconds(15000);

struct Tally {
  int on_time = 0;
  int late = 0;
  int rejected = 0;
};

// Simulates engines that prefill one prompt after the other in virtual time.
// Requests go to the engine with the shortest backlog. `load` is the offered
// load as a share of the capacity.
Tally Serve(int engines, double load, bool admits_all) {
  constexpr Duration kWork = milliseconds(70);
  constexpr int kRequests = 4000;
  std::minstd_rand random(20261204);
  std::exponential_distribution<double> gap(load * engines /
                                            static_cast<double>(kWork.count()));
  std::vector<TimePoint> free_at(static_cast<size_t>(engines));
  TimePoint now{};
  Tally tally;
  for (int i = 0; i < kRequests; ++i) {
    now += Duration(static_cast<int64_t>(gap(random)));
    TimePoint& best = *std::ranges::min_element(free_at);
    const Duration backlog = std::max(Duration{0}, best - now);
    const auto retry_after = RetryAfterIfTooLate({.objective = kObjective,
                                                  .time_left = kDeadline,
                                                  .backlog = backlog,
                                                  .prefill = kWork});
    if (retry_after && !admits_all) {
      ++tally.rejected;
      continue;
    }
    best = std::max(best, now) + kWork;
    ++(best - now <= kObjective ? tally.on_time : tally.late);
  }
  return tally;
}

}  // namespace

// A quarter of the engines is down and the others get 1.2 times the load that
// they can serve. An unbounded queue would then make nearly every answer late.
TEST_CASE("under overload admitted requests are answered on time") {
  const Tally short_queue = Serve(6, 1.2, false);
  CHECK(short_queue.late == 0);
  CHECK(short_queue.on_time > 3100);
  const Tally long_queue = Serve(6, 1.2, true);
  CHECK(long_queue.on_time < short_queue.on_time / 4);
}

TEST_CASE("below capacity hardly any request is rejected") {
  CHECK(Serve(9, 0.8, false).rejected < 40);
}

TEST_CASE(
    "a request that cannot be answered before its caller leaves is rejected") {
  CHECK(RetryAfterIfTooLate({.objective = kObjective,
                             .time_left = milliseconds(100),
                             .backlog = milliseconds(60),
                             .prefill = milliseconds(70)}));
  CHECK(RetryAfterIfTooLate({.objective = kObjective,
                             .time_left = kDeadline,
                             .backlog = milliseconds(0),
                             .prefill = milliseconds(2100)}));
  CHECK_FALSE(RetryAfterIfTooLate({.objective = kObjective,
                                   .time_left = kDeadline,
                                   .backlog = milliseconds(250),
                                   .prefill = milliseconds(400)}));
}

TEST_CASE("the retry delay is the time until the backlog is short enough") {
  const auto retry_after = RetryAfterIfTooLate({.objective = kObjective,
                                                .time_left = kDeadline,
                                                .backlog = milliseconds(1300),
                                                .prefill = milliseconds(70)});
  REQUIRE(retry_after);
  CHECK(*retry_after == milliseconds(1000));
}

TEST_CASE("callers wait until the first target takes requests again") {
  std::vector<Fleet::TargetPtr> serving;
  CHECK_FALSE(RetryAfterPushback(serving, At(0)));
  for (const int64_t pause_ms : {900, 2500, 400}) {
    serving.push_back(std::make_shared<Target>());
    serving.back()->signals.OnPushback(milliseconds(pause_ms), At(0));
  }
  CHECK(RetryAfterPushback(serving, At(100)) == milliseconds(300));
  CHECK_FALSE(RetryAfterPushback(serving, At(400)));
}

}  // namespace dogwoodlatch::serving
