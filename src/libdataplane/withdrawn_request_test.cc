/// Requests that are cancelled while the target's VM cannot receive them.
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/dataplane/upstream_connection.h"

namespace dogwoodlatch::dataplane {
namespace {

using std::chrono::milliseconds;

class SilentListener final : public ResponseListener {
 public:
  bool OnHead(const ResponseHead& /*head*/) override { return true; }
  void OnBody(std::string_view /*bytes*/) override {}
  void OnEnd() override {}
  void OnConnectionLost() override {}
};

// A peer whose VM receives only what fits into a small buffer, as its process
// reads nothing until told to.
class StalledPeer {
 public:
  explicit StalledPeer(asio::io_context& context)
      : acceptor_(context), socket_(context) {
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor_.bind({asio::ip::address_v4::loopback(), 0});
    acceptor_.listen();
  }

  asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

  void Accept() { acceptor_.accept(socket_); }

  // Reads until the connection ends and returns the number of bytes.
  size_t ReadToEnd() {
    std::string received;
    std::error_code ignored;
    asio::read(socket_, asio::dynamic_buffer(received), ignored);
    return received.size();
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
};

constexpr size_t kLongBodyBytes = 256UL * 1024;

// Sends a request with a long body to the stalled peer.
std::shared_ptr<UpstreamConnection> SendToStalledPeer(
    asio::io_context& context, StalledPeer& peer, ResponseListener& listener) {
  auto connection = std::make_shared<UpstreamConnection>(context);
  connection->Connect(peer.endpoint(), milliseconds(1000),
                      [](std::error_code error) { REQUIRE_FALSE(error); });
  context.run_for(milliseconds(20));
  peer.Accept();
  connection->Send(BuildRequestHead("POST", "/", {}, kLongBodyBytes),
                   std::make_shared<const std::string>(kLongBodyBytes, 'x'),
                   &listener);
  context.restart();
  context.run_for(milliseconds(50));
  return connection;
}

}  // namespace

TEST_CASE("a connection tells how much its peer has not acknowledged") {
  asio::io_context context{1};
  StalledPeer peer(context);
  SilentListener listener;
  const auto connection = SendToStalledPeer(context, peer, listener);
  const std::optional<size_t> bytes = connection->UnacknowledgedBytes();
  REQUIRE(bytes.has_value());
  CHECK(*bytes > 0);
  connection->Cancel();
  CHECK_FALSE(connection->UnacknowledgedBytes().has_value());
}

// Guards against requests that reach a target after their callers have left:
// the target's VM stood still, and what it had not received was delivered when
// it went on, though the attempt had been cancelled long before.
TEST_CASE("a cancelled request is not delivered to a peer that goes on later") {
  asio::io_context context{1};
  StalledPeer peer(context);
  SilentListener listener;
  const auto connection = SendToStalledPeer(context, peer, listener);
  connection->Cancel();
  CHECK(peer.ReadToEnd() < kLongBodyBytes);
}

// Guards against the same fault when the router itself ends.
TEST_CASE("an abandoned connection does not deliver the rest of its request") {
  asio::io_context peer_context{1};
  StalledPeer peer(peer_context);
  SilentListener listener;
  {
    asio::io_context context{1};
    SendToStalledPeer(context, peer, listener);
  }
  CHECK(peer.ReadToEnd() < kLongBodyBytes);
}

// Guards against the same fault in orders to targets and calls to the store.
TEST_CASE("a call that timed out is not delivered later") {
  asio::io_context context{1};
  StalledPeer peer(context);
  HttpClient client(context,
                    "127.0.0.1:" + std::to_string(peer.endpoint().port()));
  bool has_failed = false;
  Call call;
  call.method = "PUT";
  call.target = "/";
  call.body = std::string(kLongBodyBytes, 'x');
  call.timeout = milliseconds(50);
  client.Start(std::move(call), [&](const Result<CallResponse>& response) {
    has_failed = !response;
  });
  peer.Accept();
  context.run_for(milliseconds(200));
  CHECK(has_failed);
  CHECK(peer.ReadToEnd() < kLongBodyBytes);
}

}  // namespace dogwoodlatch::dataplane
