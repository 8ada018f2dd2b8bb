/// Requests that reach the server around the end of a connection's idle time.
#include "dogwoodlatch/dataplane/http_server_session.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dogwoodlatch::dataplane {
namespace {

using std::chrono::milliseconds;

// A server whose callers are plain sockets of the same thread.
class TestServer {
 public:
  TestServer()
      : tick_timer_(context_),
        acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    Tick();
  }

  HttpServerState& state() { return state_; }

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket caller(callers_);
    caller.connect(acceptor_.local_endpoint());
    std::make_shared<HttpServerSession>(
        acceptor_.accept(), state_,
        [](const HttpServerSession::Pointer& session, const Request& request) {
          session->SendResponse(200, {}, std::to_string(request.body.size()));
        })
        ->Start();
    return caller;
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  // The status line that the caller has received; empty if there is none.
  static std::string Receive(asio::ip::tcp::socket& caller) {
    std::string bytes(64, '\0');
    std::error_code error;
    caller.non_blocking(true);
    const size_t size = caller.read_some(asio::buffer(bytes), error);
    bytes.resize(size);
    return bytes.substr(0, bytes.find('\r'));
  }

 private:
  // Daemons have a timer that expires several times in any pause.
  void Tick() {
    tick_timer_.expires_after(milliseconds(20));
    tick_timer_.async_wait([this](std::error_code error) {
      if (!error) Tick();
    });
  }

  HttpServerState state_;
  asio::io_context context_;
  asio::steady_timer tick_timer_;
  asio::io_context callers_;
  asio::ip::tcp::acceptor acceptor_;
};

void Send(asio::ip::tcp::socket& caller, size_t body_bytes) {
  const std::string request =
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
      std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
  asio::write(caller, asio::buffer(request));
}

constexpr const char* kOk = "HTTP/1.1 200 OK";

}  // namespace

// Guards against requests that lay whole in the socket when the process went
// on after a pause, and were closed by the idle timer unread.
TEST_CASE("requests that arrived while the process stood still are answered") {
  constexpr size_t kCallers = 300;
  TestServer server;
  server.state().limits.idle_timeout = milliseconds(300);
  std::vector<asio::ip::tcp::socket> callers;
  for (size_t i = 0; i < kCallers; ++i) callers.push_back(server.Connect());
  server.RunFor(milliseconds(100));
  std::this_thread::sleep_for(milliseconds(50));
  for (auto& caller : callers) Send(caller, 1000);
  std::this_thread::sleep_for(milliseconds(250));
  server.RunFor(milliseconds(100));
  size_t answered = 0;
  for (auto& caller : callers) {
    if (TestServer::Receive(caller) == kOk) ++answered;
  }
  CHECK(answered == kCallers);
}

// Guards against long requests whose first part was read after the idle timer
// had expired: the expired timer's handler closed the connection.
TEST_CASE("a long request that arrived while the process stood still is read") {
  TestServer server;
  server.state().limits.idle_timeout = milliseconds(300);
  asio::ip::tcp::socket caller = server.Connect();
  server.RunFor(milliseconds(100));
  Send(caller, 40000);
  std::this_thread::sleep_for(milliseconds(300));
  server.RunFor(milliseconds(100));
  CHECK(TestServer::Receive(caller) == kOk);
}

// Guards against connections that were closed by an idle limit that was in
// force when they became idle and has been raised since.
TEST_CASE("a raised idle limit holds for connections that are idle") {
  TestServer server;
  server.state().limits.idle_timeout = milliseconds(200);
  asio::ip::tcp::socket caller = server.Connect();
  server.RunFor(milliseconds(50));
  server.state().limits.idle_timeout = milliseconds(2000);
  server.RunFor(milliseconds(350));
  Send(caller, 1000);
  server.RunFor(milliseconds(100));
  CHECK(TestServer::Receive(caller) == kOk);
}

// Guards against requests that were refused with 413 for a limit that was in
// force when their connection became idle and has been raised since.
TEST_CASE("a raised body limit holds for the next request of a connection") {
  TestServer server;
  server.state().limits.body_bytes = 500;
  asio::ip::tcp::socket caller = server.Connect();
  server.RunFor(milliseconds(50));
  server.state().limits.body_bytes = 5000;
  Send(caller, 1000);
  server.RunFor(milliseconds(100));
  CHECK(TestServer::Receive(caller) == kOk);
}

}  // namespace dogwoodlatch::dataplane
