#include "dogwoodlatch/dataplane/upstream_connection.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace dogwoodlatch::dataplane {
namespace {

using std::chrono::milliseconds;

enum class Ending { kStayOpen, kClose, kReset };

// What the peer sends after each request that it reads.
struct ScriptedResponse {
  std::string bytes;
  Ending ending = Ending::kStayOpen;
};

// A peer on the loopback that answers each read with the next scripted answer.
class ScriptedPeer {
 public:
  ScriptedPeer(asio::io_context& context, std::deque<ScriptedResponse> answers)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        socket_(context),
        answers_(std::move(answers)) {
    acceptor_.async_accept(socket_, [this](std::error_code error) {
      if (!error) Read();
    });
  }

  asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

 private:
  void Read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](std::error_code error, size_t /*count*/) {
                              if (error || answers_.empty()) return;
                              Answer();
                            });
  }

  void Answer() {
    const ScriptedResponse answer = answers_.front();
    answers_.pop_front();
    asio::write(socket_, asio::buffer(answer.bytes));
    std::error_code ignored;
    if (answer.ending == Ending::kReset) {
      // Let the bytes be read before the reset discards them.
      timer_.emplace(socket_.get_executor(), milliseconds(30));
      timer_->async_wait([this](std::error_code) {
        std::error_code closed;
        socket_.set_option(asio::socket_base::linger(true, 0), closed);
        socket_.close(closed);
      });
      return;
    }
    if (answer.ending == Ending::kClose) {
      socket_.close(ignored);
      return;
    }
    Read();
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::optional<asio::steady_timer> timer_;
  std::deque<ScriptedResponse> answers_;
  std::array<char, 4096> buffer_{};
};

class Recorder final : public ResponseListener {
 public:
  bool OnHead(const ResponseHead& head) override {
    return FindHeader(head.headers, "id") == expected_id;
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnEnd() override { has_ended = true; }
  void OnBroken() override { is_broken = true; }

  std::string expected_id;
  std::string body;
  bool has_ended = false;
  bool is_broken = false;
};

std::string MakeResponse(std::string_view id, std::string_view body) {
  return "HTTP/1.1 200 OK\r\nid: " + std::string(id) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

// One connection to a scripted peer.
class ConnectionFixture {
 public:
  explicit ConnectionFixture(std::deque<ScriptedResponse> answers)
      : peer_(context_, std::move(answers)),
        connection_(std::make_shared<UpstreamConnection>(context_)) {
    connection_->Connect(peer_.endpoint(), milliseconds(1000),
                         [](std::error_code error) { REQUIRE_FALSE(error); });
    context_.run_for(milliseconds(20));
  }

  void Ask(ResponseListener& listener) {
    connection_->Send(BuildRequestHead("GET", "/", {{"Host", "x"}}, 0), nullptr,
                      &listener);
    context_.restart();
    context_.run_for(milliseconds(100));
  }

  Recorder Ask(const std::string& id) {
    Recorder recorder;
    recorder.expected_id = id;
    Ask(recorder);
    if (!recorder.has_ended && !recorder.is_broken) connection_->Cancel();
    return recorder;
  }

  UpstreamConnection& connection() { return *connection_; }

 private:
  asio::io_context context_{1};
  ScriptedPeer peer_;
  std::shared_ptr<UpstreamConnection> connection_;
};

}  // namespace

TEST_CASE("a connection carries one request after the other") {
  ConnectionFixture connected(
      {{MakeResponse("1", "one")}, {MakeResponse("2", "two")}});
  CHECK(connected.Ask("1").body == "one");
  CHECK(connected.connection().IsReusable());
  CHECK(connected.Ask("2").body == "two");
}

TEST_CASE("bytes after an answer end the connection") {
  ConnectionFixture connected(
      {{MakeResponse("1", "one") + MakeResponse("1", "again")}});
  const Recorder recorder = connected.Ask("1");
  CHECK(recorder.body == "one");
  CHECK_FALSE(connected.connection().IsReusable());
}

TEST_CASE("a late answer to an earlier request is not given to the next") {
  ConnectionFixture connected(
      {{MakeResponse("1", "one")},
       {MakeResponse("1", "late") + MakeResponse("2", "two")}});
  CHECK(connected.Ask("1").body == "one");
  const Recorder recorder = connected.Ask("2");
  CHECK(recorder.body == "two");
  CHECK(recorder.has_ended);
}

TEST_CASE("an unframed answer is complete at a close and not at a reset") {
  const std::string unframed = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nbody";
  const Recorder closed =
      ConnectionFixture({{unframed, Ending::kClose}}).Ask("1");
  CHECK(closed.has_ended);
  CHECK(closed.body == "body");
  const Recorder reset =
      ConnectionFixture({{unframed, Ending::kReset}}).Ask("1");
  CHECK(reset.is_broken);
  CHECK_FALSE(reset.has_ended);
}

TEST_CASE("bytes that are no answer break the exchange") {
  CHECK(
      ConnectionFixture({{"garbage without end\r\n\r\n"}}).Ask("1").is_broken);
  CHECK(ConnectionFixture(
            {{"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 9\r\n\r\ncut",
              Ending::kClose}})
            .Ask("1")
            .is_broken);
}

// Ends the exchange with the first part of the answer.
class CancellingListener final : public ResponseListener {
 public:
  bool OnHead(const ResponseHead& /*head*/) override { return true; }
  void OnBody(std::string_view /*bytes*/) override {
    ++parts;
    connection->Cancel();
  }
  void OnEnd() override { ++endings; }
  void OnBroken() override { ++endings; }

  UpstreamConnection* connection = nullptr;
  int parts = 0;
  int endings = 0;
};

TEST_CASE("a listener that has cancelled hears nothing more") {
  ConnectionFixture connected(
      {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n"}});
  CancellingListener quitter;
  quitter.connection = &connected.connection();
  connected.Ask(quitter);
  CHECK(quitter.parts == 1);
  CHECK(quitter.endings == 0);
}

TEST_CASE("addresses are numbers and a port") {
  CHECK(ParseEndpoint("10.0.0.1:80")->port() == 80);
  CHECK_FALSE(ParseEndpoint("10.0.0.1"));
  CHECK_FALSE(ParseEndpoint("name:80"));
  CHECK_FALSE(ParseEndpoint("10.0.0.1:99999"));
  CHECK_FALSE(ParseEndpoint("10.0.0.1:8x"));
}

}  // namespace dogwoodlatch::dataplane
