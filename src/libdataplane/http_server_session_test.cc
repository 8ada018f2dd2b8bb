/// Callers' connections that the server closes while requests are on their way.
#include "dogwoodlatch/dataplane/http_server_session.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dogwoodlatch::dataplane {
namespace {

using std::chrono::milliseconds;
using Tcp = asio::ip::tcp;

constexpr milliseconds kLimit{200};
constexpr milliseconds kLongestAnswerTime{5000};
constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// Accepts connections and answers each request at once. Its event loop runs
// only when the test says so.
class Server {
 public:
  Server() : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    state.limits.idle_timeout = kLimit;
    state.on_connection_end = [this](const ConnectionEnd& end) {
      ends.push_back(end);
    };
    Accept();
  }

  Tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

  void RunFor(Duration duration) {
    context_.restart();
    context_.run_for(duration);
  }

  void RunUntil(TimePoint end) {
    context_.restart();
    context_.run_until(end);
  }

  void CloseIdleSessions() {
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) session->CloseIfIdle();
    }
  }

  std::vector<ConnectionEnd> ends;

 private:
  const std::shared_ptr<HttpServerState> shared_state_ =
      std::make_shared<HttpServerState>();

 public:
  HttpServerState& state = *shared_state_;

 private:
  void Accept() {
    acceptor_.async_accept([this](std::error_code error, Tcp::socket socket) {
      if (error) return;
      auto session = std::make_shared<HttpServerSession>(
          std::move(socket), shared_state_,
          [](const HttpServerSession::Pointer& answering, const Request&) {
            answering->SendResponse(200, {}, "done");
          });
      sessions_.push_back(session);
      session->Start();
      Accept();
    });
  }

  asio::io_context context_{1};
  Tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<HttpServerSession>> sessions_;
};

class Caller {
 public:
  explicit Caller(const Server& server) : socket_(context_) {
    socket_.connect(server.endpoint());
    socket_.non_blocking(true);
  }

  void Send(std::string_view bytes) {
    std::error_code ignored;  // a closed connection shows as a missing answer
    asio::write(socket_, asio::buffer(bytes.data(), bytes.size()), ignored);
  }

  // Takes what has arrived, and returns whether it completes an answer.
  bool TakeAnswer() {
    std::string bytes(4096, '\0');
    std::error_code error;
    bytes.resize(socket_.read_some(asio::buffer(bytes), error));
    has_ended_ = error && error != asio::error::would_block;
    received_.append(bytes);
    if (!received_.starts_with("HTTP/1.1 200 OK") ||
        !received_.ends_with("done")) {
      return false;
    }
    received_.clear();
    return true;
  }

  bool has_ended() const { return has_ended_; }

 private:
  asio::io_context context_;
  Tcp::socket socket_;
  std::string received_;
  bool has_ended_ = false;
};

using Callers = std::vector<std::unique_ptr<Caller>>;

void SendAll(const Callers& callers, std::string_view bytes = kRequest) {
  std::ranges::for_each(callers,
                        [&](const auto& caller) { caller->Send(bytes); });
}

// Runs the server until each caller has got an answer or its connection has
// ended, and returns the number of answers.
size_t AwaitAnswers(Server& server, const Callers& callers) {
  std::vector<Caller*> waiting(callers.size());
  std::ranges::transform(callers, waiting.begin(),
                         &std::unique_ptr<Caller>::get);
  size_t answers = 0;
  const TimePoint end = SteadyNow() + kLongestAnswerTime;
  while (!waiting.empty() && SteadyNow() < end) {
    server.RunFor(milliseconds(5));
    answers += std::erase_if(
        waiting, [](Caller* caller) { return caller->TakeAnswer(); });
    std::erase_if(waiting, &Caller::has_ended);
  }
  return answers;
}

size_t CountAnswers(Server& server, const Callers& callers) {
  SendAll(callers);
  return AwaitAnswers(server, callers);
}

Callers MakeCallers(const Server& server, size_t count) {
  Callers callers(count);
  std::ranges::generate(callers,
                        [&] { return std::make_unique<Caller>(server); });
  return callers;
}

// Returns callers whose connections have served a request.
Callers MakeKeptCallers(Server& server, size_t count) {
  Callers callers = MakeCallers(server, count);
  REQUIRE(CountAnswers(server, callers) == count);
  return callers;
}

}  // namespace

// Guards against requests that cross the close of a connection that has been
// idle for just the limit.
TEST_CASE("requests sent about the idle limit are answered") {
  constexpr size_t kCallers = 100;
  const double share = GENERATE(0.8, 0.99, 1.0, 1.01);
  Server server;
  const Callers callers = MakeKeptCallers(server, kCallers);
  // The connections are idle since then at the earliest.
  const TimePoint before = SteadyNow();
  CHECK(CountAnswers(server, callers) == kCallers);
  server.RunUntil(before +
                  std::chrono::duration_cast<Duration>(kLimit * share));
  INFO("sent at " << share << " of the limit");
  CHECK(CountAnswers(server, callers) == kCallers);
}

// Guards against timers armed under the lower limit.
TEST_CASE("a raised idle limit holds for connections that are idle") {
  Server server;
  const Callers callers = MakeKeptCallers(server, 20);
  server.state.limits.idle_timeout = 4 * kLimit;
  server.RunFor(2 * kLimit);
  CHECK(CountAnswers(server, callers) == callers.size());
}

TEST_CASE("a lowered idle limit cuts no request sent within the former one") {
  Server server;
  const Callers callers = MakeKeptCallers(server, 20);
  server.state.limits.idle_timeout = kLimit / 4;
  server.RunFor(kLimit / 2);
  CHECK(CountAnswers(server, callers) == callers.size());
}

// Guards against requests that were refused with 413 by a limit that was in
// force when their connection became idle and has been raised since.
TEST_CASE("a raised body limit holds for connections that are idle") {
  Server server;
  server.state.limits.body_bytes = 500;
  const Callers callers = MakeKeptCallers(server, 20);
  server.state.limits.body_bytes = 5000;
  SendAll(callers,
          "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" +
              std::string(1000, 'x'));
  CHECK(AwaitAnswers(server, callers) == callers.size());
}

// Guards against a timer that expires while the process stands still and runs
// before the request that lies in the socket is read: more are readable then
// than the event loop takes up at a time.
TEST_CASE("a request received while the event loop stood still is answered") {
  Server server;
  server.state.min_idle_margin = milliseconds(0);
  const Callers callers = MakeKeptCallers(server, 300);
  SendAll(callers);
  std::this_thread::sleep_for(3 * kLimit);
  CHECK(AwaitAnswers(server, callers) == callers.size());
}

// Guards against the handler of an expired timer that is queued already when
// the first bytes of the next request are read: cancelling does not remove it.
TEST_CASE("a timer that has expired does not cut a request that has begun") {
  Server server;
  server.state.min_idle_margin = milliseconds(0);
  const Callers callers = MakeKeptCallers(server, 20);
  SendAll(callers, kRequest.substr(0, 10));
  std::this_thread::sleep_for(3 * kLimit);
  server.RunFor(milliseconds(20));
  SendAll(callers, kRequest.substr(10));
  CHECK(AwaitAnswers(server, callers) == callers.size());
}

// Guards against a stop that closes connections accepted a moment ago.
TEST_CASE("a stop leaves a new connection the time to send its request") {
  Server server;
  const Callers callers = MakeCallers(server, 20);
  server.RunFor(milliseconds(10));
  server.state.is_closing = true;
  server.CloseIdleSessions();
  CHECK(CountAnswers(server, callers) == callers.size());
}

// Guards against a stop that closes connections between two requests.
TEST_CASE("a stop leaves connections that are in use open") {
  Server server;
  const Callers callers = MakeKeptCallers(server, 20);
  server.state.is_closing = true;
  server.CloseIdleSessions();
  CHECK(CountAnswers(server, callers) == callers.size());
}

// Guards against a stop that closes a connection whose request has arrived but
// is not read yet.
TEST_CASE("a stop answers requests that lie in the socket") {
  Server server;
  server.state.limits.idle_timeout = milliseconds(5000);
  const Callers callers = MakeKeptCallers(server, 20);
  std::this_thread::sleep_for(milliseconds(1100));
  server.state.is_closing = true;
  SendAll(callers);
  server.CloseIdleSessions();
  CHECK(AwaitAnswers(server, callers) == callers.size());
}

TEST_CASE("a stop closes connections that are not in use") {
  Server server;
  server.state.limits.idle_timeout = milliseconds(5000);
  const Callers kept = MakeKeptCallers(server, 5);
  const Callers unused = MakeCallers(server, 5);
  server.RunFor(milliseconds(500));
  server.CloseIdleSessions();
  CHECK(server.ends.empty());
  server.RunFor(milliseconds(600));
  server.CloseIdleSessions();
  CHECK(server.ends.size() == 10);
  CHECK(std::ranges::all_of(server.ends, [](const ConnectionEnd& end) {
    return end.reason == CloseReason::kStop && !MayHaveLostRequest(end);
  }));
  server.RunFor(milliseconds(10));
  CHECK(server.state.sessions == 0);
}

TEST_CASE("idle connections are closed in the end") {
  Server server;
  server.state.min_idle_margin = milliseconds(0);
  const Callers callers = MakeKeptCallers(server, 5);
  server.RunFor(2 * kLimit + milliseconds(50));
  CHECK(server.ends.size() == 5);
  CHECK(std::ranges::all_of(server.ends, [](const ConnectionEnd& end) {
    return end.reason == CloseReason::kIdle;
  }));
}

// Guards against memory and descriptors without bound, as idle connections are
// kept beyond the limit.
TEST_CASE("the oldest idle connection makes room for a new one") {
  Server server;
  server.state.max_sessions = 10;
  const Callers old = MakeKeptCallers(server, 10);
  const Callers young = MakeKeptCallers(server, 4);
  CHECK(server.state.sessions == 10);
  CHECK(server.ends.size() == 4);
  CHECK(std::ranges::all_of(server.ends, [](const ConnectionEnd& end) {
    return end.reason == CloseReason::kEvicted;
  }));
  CHECK(CountAnswers(server, young) == 4);
}

// Guards against the eviction of a connection whose request has arrived.
TEST_CASE("a connection with an unread request is not evicted") {
  Server server;
  server.state.max_sessions = 4;
  const Callers old = MakeKeptCallers(server, 4);
  const Callers young = MakeCallers(server, 4);
  SendAll(old);
  CHECK(AwaitAnswers(server, old) == old.size());
}

TEST_CASE("the end of a connection tells what was left") {
  Server server;
  server.state.limits.header_timeout = milliseconds(0);
  Caller caller(server);
  caller.Send(kRequest.substr(0, 10));
  server.RunFor(milliseconds(1200));
  REQUIRE(server.ends.size() == 1);
  CHECK(ToString(server.ends[0].reason) == "head_too_slow");
  CHECK(server.ends[0].partial_bytes == 10);
  CHECK(MayHaveLostRequest(server.ends[0]));
}

TEST_CASE("a caller that leaves between two requests has lost none") {
  Server server;
  MakeKeptCallers(server, 1);
  server.RunFor(milliseconds(20));
  REQUIRE(server.ends.size() == 1);
  CHECK(ToString(server.ends[0].reason) == "by_caller");
  CHECK_FALSE(MayHaveLostRequest(server.ends[0]));
}

}  // namespace dogwoodlatch::dataplane
