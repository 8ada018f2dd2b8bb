/// Retries of a crash are placed after all of its broken connections have been
/// read.
#include "dogwoodlatch/daemon/retry_queue.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;
using Socket = asio::local::stream_protocol::socket;

// A connection that logs "read" when its peer is closed.
class Connection {
 public:
  Connection(asio::io_context& context, std::vector<std::string>& log)
      : socket_(context), peer_(context) {
    asio::local::connect_pair(socket_, peer_);
    socket_.async_read_some(asio::buffer(buffer_),
                            [this, &log](std::error_code, size_t) {
                              log.emplace_back("read");
                              on_broken_();
                            });
  }

  void Break() { peer_.close(); }
  void SetBreakHandler(std::function<void()> handler) {
    on_broken_ = std::move(handler);
  }

 private:
  Socket socket_;
  Socket peer_;
  std::array<char, 8> buffer_{};
  std::function<void()> on_broken_ = [] {};
};

}  // namespace

// Guards against a retry that is sent to a target that has crashed as well, as
// the first connection's retry was placed before the second one was read.
TEST_CASE("retries are placed once all broken connections have been read") {
  asio::io_context io;
  RetryQueue queue(io);
  std::vector<std::string> log;
  std::vector<std::unique_ptr<Connection>> connections;
  for (int i = 0; i < 120; ++i) {
    connections.push_back(std::make_unique<Connection>(io, log));
    connections.back()->SetBreakHandler(
        [&] { queue.Add([&] { log.emplace_back("retry"); }); });
  }
  // Half of them break at once, the others while the first are being read.
  for (size_t i = 0; i < 60; ++i) connections[i]->Break();
  asio::steady_timer later(io, RetryQueue::kQuietTime / 2);
  later.async_wait([&](std::error_code) {
    for (size_t i = 60; i < 120; ++i) connections[i]->Break();
  });
  io.run();
  std::vector<std::string> expected(120, "read");
  expected.resize(240, "retry");
  CHECK(log == expected);
}

// The event loop may stand still for longer than the gather time; what has
// arrived by then is read first all the same.
TEST_CASE("a pause of the process does not let retries overtake reads") {
  asio::io_context io;
  RetryQueue queue(io);
  std::vector<std::string> log;
  Connection connection(io, log);
  asio::steady_timer break_time(io, RetryQueue::kQuietTime / 2);
  break_time.async_wait([&](std::error_code) { connection.Break(); });
  asio::post(io, [&] {
    queue.Add([&] { log.emplace_back("retry"); });
    const auto end =
        std::chrono::steady_clock::now() + 2 * RetryQueue::kQuietTime;
    while (std::chrono::steady_clock::now() < end) {
    }
  });
  io.run();
  CHECK(log == std::vector<std::string>{"read", "retry"});
}

TEST_CASE("a retry that is added by a retry waits for the next turn") {
  asio::io_context io;
  RetryQueue queue(io);
  int calls = 0;
  queue.Add([&] {
    ++calls;
    queue.Add([&] { ++calls; });
  });
  const auto start = std::chrono::steady_clock::now();
  io.run();
  CHECK(calls == 2);
  CHECK(std::chrono::steady_clock::now() - start >= 2 * RetryQueue::kQuietTime);
}

// Guards against retries that wait for as long as connections go on to break.
TEST_CASE("breaks that go on do not hold the first retry back") {
  asio::io_context io;
  RetryQueue queue(io);
  std::optional<TimePoint> called;
  const TimePoint start = SteadyNow();
  queue.Add([&] { called = SteadyNow(); });
  asio::steady_timer again(io);
  TimePoint last_added = start;
  Duration longest_quiet{0};
  std::function<void()> add_again = [&] {
    if (called) return;
    const TimePoint now = SteadyNow();
    longest_quiet = std::max(longest_quiet, now - last_added);
    last_added = now;
    queue.Add([] {});
    again.expires_after(RetryQueue::kQuietTime / 3);
    again.async_wait([&](std::error_code) { add_again(); });
  };
  add_again();
  io.run();
  // The event loop may have stood still for the quiet time.
  longest_quiet = std::max(longest_quiet, *called - last_added);
  CHECK((*called - start >= RetryQueue::kMaxWait ||
         longest_quiet >= RetryQueue::kQuietTime));
  CHECK(*called - start < 20 * RetryQueue::kMaxWait);
}

}  // namespace dogwoodlatch::daemon
