#include "target_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace dogwoodlatch::agent {
namespace {

enum class Ending { kClose, kReset };

// Accepts one connection, sends some bytes and ends the connection.
class CutTarget {
 public:
  CutTarget(std::string bytes, Ending ending)
      : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(listener_, generic, size) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    REQUIRE(getsockname(listener_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, bytes = std::move(bytes), ending] {
      const int connection = accept(listener_, nullptr, nullptr);
      std::string request(4096, '\0');
      const ssize_t count = recv(connection, request.data(), request.size(), 0);
      request_ =
          request.substr(0, static_cast<size_t>(std::max(count, ssize_t{0})));
      static_cast<void>(
          send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
      if (ending == Ending::kReset) {
        // The bytes arrive before the reset.
        usleep(2000);
        const linger abort{.l_onoff = 1, .l_linger = 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
      }
      close(connection);
    });
  }
  CutTarget(const CutTarget&) = delete;
  CutTarget& operator=(const CutTarget&) = delete;
  ~CutTarget() {
    Join();
    close(listener_);
  }

  // What was received, once the connection has ended.
  const std::string& request() {
    Join();
    return request_;
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Join() {
    if (thread_.joinable()) thread_.join();
  }

  int listener_;
  uint16_t port_ = 0;
  std::string request_;
  std::thread thread_;
};

Submit ServiceOrder(const char* path) {
  Submit order;
  order.kind = RequestKind::kService;
  order.method = std::string("GET");
  order.path = std::string(path);
  return order;
}

CallResult CallTarget(std::string bytes, Ending ending, std::string& body) {
  const CutTarget target(std::move(bytes), ending);
  AgentSettings settings;
  settings.target_kind = RequestKind::kService;
  settings.target_address = target.address();
  settings.target_timeout = std::chrono::seconds(2);
  Cancellation cancellation;
  return TargetClient(settings).Run(
      ServiceOrder("/x"), cancellation,
      [&](const std::string& part) { body += part; });
}

}  // namespace

// Guards against a caller who adds lines to the request that a service gets, by
// line breaks that are encoded in the path: the front end decodes it.
TEST_CASE("the path of a service call is encoded") {
  CutTarget target("HTTP/1.1 204 X\r\n\r\n", Ending::kClose);
  AgentSettings settings;
  settings.target_kind = RequestKind::kService;
  settings.target_address = target.address();
  settings.target_timeout = std::chrono::seconds(2);
  Cancellation cancellation;
  TargetClient(settings).Run(ServiceOrder("/a b%/c?d\r\nX-Forged: 1"),
                             cancellation, [](const std::string&) {});
  CHECK(target.request().starts_with(
      "GET /a%20b%25/c%3Fd%0D%0AX-Forged:%201 HTTP/1.1\r\n"));
}

// Guards against a response that stops in its head, or short of its length, and
// reaches the caller as a whole one.
TEST_CASE("a response that is cut is not complete") {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 11\r\n\r\n"
      "hello world",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"};
  for (const std::string& response : responses) {
    for (const Ending ending : {Ending::kClose, Ending::kReset}) {
      for (size_t length = 1; length < response.size(); ++length) {
        std::string body;
        const CallResult result =
            CallTarget(response.substr(0, length), ending, body);
        INFO(length << " bytes of\n" << response);
        CHECK(result.outcome != CallOutcome::kComplete);
      }
    }
    std::string body;
    CHECK(CallTarget(response, Ending::kClose, body).outcome ==
          CallOutcome::kComplete);
    CHECK(body == "hello world");
  }
}

// A response with neither a length nor chunks ends with its connection.
TEST_CASE("a response without framing is complete once it is closed") {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n";
  for (size_t length = 1; length < head.size(); ++length) {
    std::string body;
    const CallResult result =
        CallTarget(head.substr(0, length), Ending::kClose, body);
    INFO(length << " bytes of the head");
    CHECK(result.outcome != CallOutcome::kComplete);
  }
  std::string body;
  CHECK(CallTarget(head + "hello", Ending::kClose, body).outcome ==
        CallOutcome::kComplete);
  CHECK(body == "hello");
  body.clear();
  CHECK(CallTarget(head + "hello", Ending::kReset, body).outcome !=
        CallOutcome::kComplete);
}

}  // namespace dogwoodlatch::agent
