#include "dogwoodlatch/dataplane/http_client.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dogwoodlatch::dataplane {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view kAnswerIdleOneSecond =
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view kHalfHead = "HTTP/1.1 200";

// What the peer does with one request on a connection.
struct Reaction {
  std::string_view bytes;
  bool closes = false;
  milliseconds delay{0};
};

// A loopback server with one list of reactions for each connection, in the
// order in which they are accepted.
class Peer {
 public:
  Peer(asio::io_context& context, std::vector<std::vector<Reaction>> scripts)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        scripts_(std::move(scripts)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t connections() const { return connections_; }
  size_t requests() const { return requests_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket s)
        : socket(std::move(s)), timer(socket.get_executor()) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::vector<Reaction> script;
    size_t next = 0;
    std::array<char, 4096> buffer{};
  };

  void Accept() {
    acceptor_.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket) {
          if (error) return;
          auto connection = std::make_shared<Connection>(std::move(socket));
          if (connections_ < scripts_.size()) {
            connection->script = scripts_[connections_];
          }
          ++connections_;
          Read(connection);
          Accept();
        });
  }

  void Read(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->buffer),
        [this, connection](std::error_code error, size_t /*count*/) {
          if (error) return;
          ++requests_;
          if (connection->next >= connection->script.size()) return;
          const Reaction reaction = connection->script[connection->next++];
          connection->timer.expires_after(reaction.delay);
          connection->timer.async_wait(
              [this, connection, reaction](std::error_code) {
                React(connection, reaction);
              });
        });
  }

  void React(const std::shared_ptr<Connection>& connection,
             const Reaction& reaction) {
    std::error_code ignored;
    asio::write(connection->socket, asio::buffer(reaction.bytes), ignored);
    if (reaction.closes) {
      connection->socket.close(ignored);
    } else {
      Read(connection);
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::vector<Reaction>> scripts_;
  size_t connections_ = 0;
  size_t requests_ = 0;
};

// Runs a call to its end; returns its status, or the error's code.
struct Ended {
  int status = 0;
  std::optional<ErrorCode> error;
};

Ended Run(asio::io_context& context, HttpClient& client, Call call) {
  std::optional<Ended> ended;
  client.Start(std::move(call), [&](const Result<CallResponse>& response) {
    ended = response ? Ended{response.value().status, std::nullopt}
                     : Ended{0, response.error().code};
  });
  while (!ended && context.run_one_for(milliseconds(2000)) > 0) {
  }
  REQUIRE(ended.has_value());
  return *ended;
}

Call MakeRead() { return Call::Get("/", milliseconds(1000)); }

Call MakeWrite(bool may_repeat) {
  Call call;
  call.method = "PUT";
  call.target = "/";
  call.body = "x";
  call.may_repeat = may_repeat;
  return call;
}

void Pause(asio::io_context& context, milliseconds pause) {
  asio::steady_timer timer(context, pause);
  bool is_over = false;
  timer.async_wait([&](std::error_code) { is_over = true; });
  while (!is_over) context.run_one();
}

}  // namespace

// Guards against a store that seems to be down because it closed an idle
// connection while a call was on its way.
TEST_CASE("a call that crosses the close of its connection is sent again") {
  asio::io_context context{1};
  Peer peer(context, {{{kAnswer}, {"", true}}, {{kAnswer}}});
  HttpClient client(context, peer.address());
  REQUIRE(Run(context, client, MakeRead()).status == 200);
  const bool is_write = GENERATE(false, true);
  CHECK(Run(context, client, is_write ? MakeWrite(true) : MakeRead()).status ==
        200);
  CHECK(peer.connections() == 2);
  CHECK(peer.requests() == 3);
}

// Guards against a write that takes effect twice.
TEST_CASE("a call that must not be repeated is sent once") {
  asio::io_context context{1};
  Peer peer(context, {{{kAnswer}, {"", true}}, {{kAnswer}}});
  HttpClient client(context, peer.address());
  REQUIRE(Run(context, client, MakeRead()).status == 200);
  CHECK(Run(context, client, MakeWrite(false)).error ==
        ErrorCode::kUnknownOutcome);
  CHECK(peer.requests() == 2);
}

// Guards against a store that breaks every call and is called again and again.
TEST_CASE("a call is sent again once, and only where it met an idle close") {
  asio::io_context context{1};
  const Reaction breaks =
      GENERATE(Reaction{"", true}, Reaction{kHalfHead, true},
               Reaction{"", true, milliseconds(400)});
  Peer peer(context, {{{kAnswer}, breaks}, {{"", true}}, {{kAnswer}}});
  HttpClient client(context, peer.address());
  REQUIRE(Run(context, client, MakeRead()).status == 200);
  CHECK(Run(context, client, MakeRead()).error == ErrorCode::kUnknownOutcome);
  const bool is_idle_close = breaks.bytes.empty() && breaks.delay.count() == 0;
  CHECK(peer.requests() == (is_idle_close ? 3 : 2));
}

// Guards against the same for a connection that has carried no call yet.
TEST_CASE("a call whose new connection breaks has failed") {
  asio::io_context context{1};
  Peer peer(context, {{{"", true}}, {{kAnswer}}});
  HttpClient client(context, peer.address());
  CHECK(Run(context, client, MakeRead()).error == ErrorCode::kUnknownOutcome);
  CHECK(peer.requests() == 1);
}

// Guards against calls on a connection that the peer is about to close for
// being idle.
TEST_CASE("a connection that has been idle for long is replaced") {
  asio::io_context context{1};
  Peer peer(context, {{{kAnswerIdleOneSecond}, {kAnswer}}, {{kAnswer}}});
  HttpClient client(context, peer.address());
  REQUIRE(Run(context, client, MakeRead()).status == 200);
  Pause(context, milliseconds(400));
  CHECK(Run(context, client, MakeWrite(false)).status == 200);
  CHECK(peer.connections() == 2);
}

}  // namespace dogwoodlatch::dataplane
