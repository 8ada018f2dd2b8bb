// Simulates many daemons on one virtual clock and counts their calls to the
// platform.

#include "dogwoodlatch/watch_loop.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <iterator>
#include <vector>

namespace dogwoodlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDaemons = 340;
constexpr size_t kPlatformReadsPerSecond = 2000;  // what the platform can serve
constexpr Duration kTick = milliseconds(10);

struct Daemon {
  WatchLoop loop;
  std::optional<WatchCall> call;
  TimePoint answer_at;
};

// Number of calls in each tick over 40 s: all daemons start at once, and the
// platform is down from 10 s to 20 s.
std::vector<size_t> SimulateCallsPerTick(WatchLoopOptions options) {
  std::vector<Daemon> daemons;
  const TimePoint start{seconds(1)};
  for (size_t i = 0; i < kDaemons; ++i) {
    daemons.push_back({WatchLoop(options, std::mt19937_64(i), start), {}, {}});
  }
  std::vector<size_t> calls;
  for (TimePoint now = start; now < start + seconds(40); now += kTick) {
    const bool down = now >= start + seconds(10) && now < start + seconds(20);
    size_t count = 0;
    for (Daemon& daemon : daemons) {
      if (daemon.call && (down || now >= daemon.answer_at)) {
        const auto kind = daemon.call->kind;
        daemon.call.reset();
        if (down) {
          daemon.loop.OnFailure(ErrorCode::kUnavailable, now);
        } else if (kind == WatchCall::Kind::kList) {
          daemon.loop.OnList(1, now);
        } else {
          daemon.loop.OnWatch(1, now);
        }
      }
      if (daemon.call || !(daemon.call = daemon.loop.TakeCall(now))) continue;
      daemon.answer_at = now + daemon.call->wait;
      ++count;
    }
    calls.push_back(count);
  }
  return calls;
}

size_t MostInOneSecond(const std::vector<size_t>& calls) {
  constexpr size_t kTicks = seconds(1) / kTick;
  size_t most = 0;
  for (size_t i = 0; i + kTicks <= calls.size(); ++i) {
    size_t sum = 0;
    for (size_t j = 0; j < kTicks; ++j) sum += calls[i + j];
    most = std::max(most, sum);
  }
  return most;
}

}  // namespace

TEST_CASE("the calls of many daemons stay within the platform's rate") {
  // Each daemon has a second loop for the VM list, which does not confirm
  // lists: it makes two calls (list, watch) where the loop for objects makes
  // three.
  WatchLoopOptions options;
  const std::vector<size_t> objects = SimulateCallsPerTick(options);
  options.confirm_lists = false;
  const std::vector<size_t> vms = SimulateCallsPerTick(options);
  std::vector<size_t> both;
  std::ranges::transform(objects, vms, std::back_inserter(both), std::plus<>());
  const size_t most = MostInOneSecond(both);
  std::cout << "most calls in one second, " << kDaemons << " daemons: " << most
            << "\n";
  CHECK(most <= kPlatformReadsPerSecond);
}

TEST_CASE(
    "without start spread, back-off and rate limit the daemons exceed the "
    "rate") {
  WatchLoopOptions options;
  options.start_spread = Duration(0);
  options.first_retry_pause = options.longest_retry_pause = kTick;
  options.calls_per_second = options.call_burst = 1000;
  CHECK(MostInOneSecond(SimulateCallsPerTick(options)) >
        kPlatformReadsPerSecond);
}

TEST_CASE(
    "an expired revision leads to an immediate list, a failure to a pause") {
  const TimePoint now{seconds(1)};
  WatchLoopOptions options;
  options.start_spread = Duration(0);
  WatchLoop loop(options, std::mt19937_64(1), now);
  REQUIRE(loop.TakeCall(now)->kind == WatchCall::Kind::kList);
  loop.OnList(7, now);
  const std::optional<WatchCall> watch = loop.TakeCall(now);
  REQUIRE(watch->kind == WatchCall::Kind::kWatch);
  CHECK(watch->revision == 7);
  loop.OnFailure(ErrorCode::kExpired, now);
  REQUIRE(loop.TakeCall(now)->kind == WatchCall::Kind::kList);
  loop.OnFailure(ErrorCode::kUnavailable, now);
  CHECK_FALSE(loop.TakeCall(now).has_value());
  CHECK(loop.next_call_at() > now);
}

}  // namespace dogwoodlatch
