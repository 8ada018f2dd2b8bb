#include "dogwoodlatch/util/signal_reader.h"

#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <new>
#include <thread>
#include <vector>

namespace dogwoodlatch {
namespace {

using std::chrono::seconds;

constexpr int kSenderCount = 4;

// Sends signals to this process without a pause while it exists.
class Flood {
 public:
  explicit Flood(int number) {
    for (int i = 0; i < kSenderCount; ++i) {
      senders_.emplace_back([this, number] {
        while (!is_done_) SendToProcess(number);
      });
    }
  }
  ~Flood() {
    is_done_ = true;
    for (std::thread& sender : senders_) sender.join();
  }
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;

 private:
  static void SendToProcess(int number) { kill(getpid(), number); }

  std::atomic<bool> is_done_{false};
  std::vector<std::thread> senders_;
};

}  // namespace

TEST_CASE("signals that arrive before the start are handled after it") {
  asio::io_context context(1);
  SignalReader reader(context, {SIGUSR1, SIGUSR2});
  kill(getpid(), SIGUSR2);
  std::vector<int> handled;
  REQUIRE(reader.Start([&](int number) {
    handled.push_back(number);
    context.stop();
  }));
  context.run_for(seconds(1));
  CHECK(handled == std::vector<int>{SIGUSR2});
}

TEST_CASE("each signal is handled, in the order of the numbers given") {
  asio::io_context context(1);
  SignalReader reader(context, {SIGUSR2, SIGUSR1});
  std::vector<int> handled;
  REQUIRE(reader.Start([&](int number) { handled.push_back(number); }));
  for (int round = 0; round < 2; ++round) {
    kill(getpid(), SIGUSR1);
    kill(getpid(), SIGUSR2);
    context.poll();
  }
  CHECK(handled == std::vector<int>{SIGUSR2, SIGUSR1, SIGUSR2, SIGUSR1});
}

TEST_CASE("a signal does not end the process when its reader has ended") {
  {
    asio::io_context context(1);
    SignalReader reader(context, {SIGUSR1});
    REQUIRE(reader.Start([](int /*number*/) {}));
  }
  kill(getpid(), SIGUSR1);  // Its default action would.
  asio::io_context context(1);
  SignalReader reader(context, {SIGUSR1});
  int handled = 0;
  REQUIRE(reader.Start([&](int /*number*/) { ++handled; }));
  context.poll();
  CHECK(handled == 0);
  kill(getpid(), SIGUSR1);
  context.poll();
  CHECK(handled == 1);
}

// What was signalled for is read after the signal can arrive again.
TEST_CASE("a signal that arrives while it is handled is handled again") {
  asio::io_context context(1);
  SignalReader reader(context, {SIGUSR1});
  int handled = 0;
  REQUIRE(reader.Start([&](int number) {
    if (++handled == 1) kill(getpid(), number);
  }));
  kill(getpid(), SIGUSR1);
  for (int turn = 0; turn < 3; ++turn) context.poll();
  CHECK(handled == 2);
}

TEST_CASE("an exception in the handler does not end the reading") {
  asio::io_context context(1);
  SignalReader reader(context, {SIGUSR1});
  int handled = 0;
  REQUIRE(reader.Start([&](int /*number*/) {
    ++handled;
    throw std::bad_alloc();
  }));
  for (int round = 0; round < 2; ++round) {
    kill(getpid(), SIGUSR1);
    context.poll();
  }
  CHECK(handled == 2);
}

// A daemon that got signals without a pause read them without a pause and did
// not end.
TEST_CASE("signals that keep arriving hold up neither timers nor others") {
  asio::io_context context(1);
  SignalReader reader(context, {SIGUSR2, SIGUSR1});
  int stops = 0;
  REQUIRE(reader.Start([&](int number) {
    if (number != SIGUSR2) return;
    ++stops;
    context.stop();
  }));
  const Flood flood(SIGUSR1);
  int ticks = 0;
  asio::steady_timer timer(context, std::chrono::milliseconds(1));
  timer.async_wait([&](std::error_code /*error*/) {
    ++ticks;
    kill(getpid(), SIGUSR2);
  });
  context.run_for(seconds(10));
  CHECK(ticks == 1);
  CHECK(stops == 1);
}

}  // namespace dogwoodlatch
