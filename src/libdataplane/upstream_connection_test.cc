#include "dogwoodlatch/dataplane/upstream_connection.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <vector>

namespace dogwoodlatch::dataplane {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxPendingInput = 64UL * 1024;

// What the peer does with the connection after a response.
enum class Ending { kStayOpen, kClose, kReset };

// What the peer sends after one read, and how it goes on.
struct ScriptedResponse {
  std::string bytes;
  Ending ending = Ending::kStayOpen;
};

// A loopback server that replies to each read with the next scripted response.
class ScriptedPeer {
 public:
  ScriptedPeer(asio::io_context& context,
               std::deque<ScriptedResponse> responses)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        socket_(context),
        responses_(std::move(responses)) {
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
                              if (error || responses_.empty()) return;
                              SendNextResponse();
                            });
  }

  void SendNextResponse() {
    const ScriptedResponse response = responses_.front();
    responses_.pop_front();
    asio::write(socket_, asio::buffer(response.bytes));
    std::error_code ignored;
    if (response.ending == Ending::kReset) {
      // Gives the client time to read the bytes before the reset discards them.
      timer_.emplace(socket_.get_executor(), milliseconds(30));
      timer_->async_wait([this](std::error_code) {
        std::error_code closed;
        socket_.set_option(asio::socket_base::linger(true, 0), closed);
        socket_.close(closed);
      });
      return;
    }
    if (response.ending == Ending::kClose) {
      socket_.close(ignored);
      return;
    }
    Read();
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::optional<asio::steady_timer> timer_;
  std::deque<ScriptedResponse> responses_;
  std::array<char, 4096> buffer_{};
};

class Recorder final : public ResponseListener {
 public:
  bool OnHead(const ResponseHead& head) override {
    return FindHeader(head.headers, "id") == expected_id;
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnEnd() override { has_ended = true; }
  void OnConnectionLost() override { is_lost = true; }

  std::string expected_id;
  std::string body;
  bool has_ended = false;
  bool is_lost = false;
};

// Builds a response with the given `id` field and a Content-Length.
std::string MakeResponse(std::string_view id, std::string_view body) {
  return "HTTP/1.1 200 OK\r\nid: " + std::string(id) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

// Answers a request once its head has arrived, and reads its body only later.
class EarlyPeer {
 public:
  explicit EarlyPeer(asio::io_context& context)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        socket_(context) {
    acceptor_.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
    acceptor_.async_accept(socket_, [this](std::error_code error) {
      REQUIRE_FALSE(error);
      socket_.async_read_some(
          asio::buffer(buffer_), [this](std::error_code failed, size_t) {
            REQUIRE_FALSE(failed);
            asio::write(socket_, asio::buffer(std::string_view(
                                     "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nbody")));
          });
    });
  }

  asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }

  void Reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }
  void CloseWithUnreadInput() { socket_.close(); }
  void ShutDown() { socket_.shutdown(asio::ip::tcp::socket::shutdown_send); }
  void ReadAll() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](std::error_code error, size_t) {
                              if (!error) ReadAll();
                            });
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::array<char, 4096> buffer_{};
};

// An upload that is larger than the buffers of the sockets, and whose response
// has no length.
class EarlyAnswer {
 public:
  EarlyAnswer() {
    recorder.expected_id = "1";
    connection_->Connect(peer.endpoint(), milliseconds(1000),
                         [](std::error_code error) { REQUIRE_FALSE(error); });
    Run();
    const auto body = std::make_shared<const std::string>(16UL << 20, 'u');
    connection_->Send(
        BuildRequestHead("POST", "/", {{"Host", "x"}}, body->size()), body,
        &recorder);
    Run();
    REQUIRE(recorder.body == "body");
  }
  ~EarlyAnswer() { connection_->Cancel(); }
  EarlyAnswer(const EarlyAnswer&) = delete;
  EarlyAnswer& operator=(const EarlyAnswer&) = delete;

  void Run(Duration duration = milliseconds(50)) {
    context_.restart();
    context_.run_for(duration);
  }

 private:
  asio::io_context context_{1};

 public:
  EarlyPeer peer{context_};
  Recorder recorder;

 private:
  std::shared_ptr<UpstreamConnection> connection_ =
      std::make_shared<UpstreamConnection>(context_);
};

// A connection to a scripted peer, with its event loop.
class ConnectionFixture {
 public:
  explicit ConnectionFixture(std::deque<ScriptedResponse> responses)
      : peer_(context_, std::move(responses)),
        connection_(std::make_shared<UpstreamConnection>(context_)) {
    connection_->Connect(peer_.endpoint(), milliseconds(1000),
                         [](std::error_code error) { REQUIRE_FALSE(error); });
    context_.run_for(milliseconds(20));
  }

  void SendRequest(ResponseListener& listener) {
    connection_->Send(BuildRequestHead("GET", "/", {{"Host", "x"}}, 0), nullptr,
                      &listener);
    context_.restart();
    context_.run_for(milliseconds(100));
  }

  Recorder SendRequest(const std::string& id) {
    Recorder recorder;
    recorder.expected_id = id;
    SendRequest(recorder);
    if (!recorder.has_ended && !recorder.is_lost) connection_->Cancel();
    return recorder;
  }

  UpstreamConnection& connection() { return *connection_; }

 private:
  asio::io_context context_{1};
  ScriptedPeer peer_;
  std::shared_ptr<UpstreamConnection> connection_;
};

}  // namespace

TEST_CASE("a connection is reused for a second request") {
  ConnectionFixture fixture(
      {{MakeResponse("1", "one")}, {MakeResponse("2", "two")}});
  CHECK(fixture.SendRequest("1").body == "one");
  CHECK(fixture.connection().IsReusable());
  CHECK(fixture.SendRequest("2").body == "two");
}

TEST_CASE("a connection with bytes after the response is not reusable") {
  ConnectionFixture fixture(
      {{MakeResponse("1", "one") + MakeResponse("1", "again")}});
  const Recorder recorder = fixture.SendRequest("1");
  CHECK(recorder.body == "one");
  CHECK_FALSE(fixture.connection().IsReusable());
}

TEST_CASE("a late response to an earlier request is skipped") {
  ConnectionFixture fixture(
      {{MakeResponse("1", "one")},
       {MakeResponse("1", "late") + MakeResponse("2", "two")}});
  CHECK(fixture.SendRequest("1").body == "one");
  const Recorder recorder = fixture.SendRequest("2");
  CHECK(recorder.body == "two");
  CHECK(recorder.has_ended);
}

TEST_CASE("an unframed response is completed by a close but not by a reset") {
  const std::string unframed = "HTTP/1.1 200 OK\r\nid: 1\r\n\r\nbody";
  const Recorder closed =
      ConnectionFixture({{unframed, Ending::kClose}}).SendRequest("1");
  CHECK(closed.has_ended);
  CHECK(closed.body == "body");
  const Recorder reset =
      ConnectionFixture({{unframed, Ending::kReset}}).SendRequest("1");
  CHECK(reset.is_lost);
  CHECK_FALSE(reset.has_ended);
}

TEST_CASE("invalid and truncated responses fail the request") {
  CHECK(ConnectionFixture({{"garbage without end\r\n\r\n"}})
            .SendRequest("1")
            .is_lost);
  CHECK(ConnectionFixture(
            {{"HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 9\r\n\r\ncut",
              Ending::kClose}})
            .SendRequest("1")
            .is_lost);
}

// Cancels the request at the first part of the response body.
class CancellingListener final : public ResponseListener {
 public:
  bool OnHead(const ResponseHead& /*head*/) override { return true; }
  void OnBody(std::string_view /*bytes*/) override {
    ++parts;
    connection->Cancel();
  }
  void OnEnd() override { ++endings; }
  void OnConnectionLost() override { ++endings; }

  UpstreamConnection* connection = nullptr;
  int parts = 0;
  int endings = 0;
};

TEST_CASE("a listener is not called after it has cancelled") {
  ConnectionFixture fixture(
      {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n"}});
  CancellingListener listener;
  listener.connection = &fixture.connection();
  fixture.SendRequest(listener);
  CHECK(listener.parts == 1);
  CHECK(listener.endings == 0);
}

// Guards against connections to a removed target that stay open: the pool
// released them, but a pending read kept them alive.
TEST_CASE("dropping a target closes its idle connections") {
  asio::io_context context{1};
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  ConnectionPool pool(context, kMaxPendingInput);
  const UpstreamConnection::Pointer connection = pool.Make();
  connection->Connect(acceptor.local_endpoint(), milliseconds(1000),
                      [](std::error_code error) { REQUIRE_FALSE(error); });
  context.run_for(milliseconds(20));
  asio::ip::tcp::socket peer = acceptor.accept();
  Recorder recorder;
  recorder.expected_id = "1";
  connection->Send(BuildRequestHead("GET", "/", {}, 0), nullptr, &recorder);
  asio::write(peer, asio::buffer(MakeResponse("1", "one")));
  context.restart();
  context.run_for(milliseconds(20));
  REQUIRE(recorder.has_ended);
  pool.Return("target", connection);
  REQUIRE(pool.idle_count() == 1);
  pool.Drop("target");
  CHECK(pool.idle_count() == 0);
  CHECK_FALSE(connection->IsReusable());
}

TEST_CASE("endpoints need a numeric IPv4 address and a port") {
  CHECK(ParseEndpoint("10.0.0.1:80")->port() == 80);
  CHECK_FALSE(ParseEndpoint("10.0.0.1"));
  CHECK_FALSE(ParseEndpoint("name:80"));
  CHECK_FALSE(ParseEndpoint("10.0.0.1:99999"));
  CHECK_FALSE(ParseEndpoint("10.0.0.1:8x"));
}

// Guards against a request that is sent over an idle connection of a crashed
// target, whose end had arrived but had not been read yet.
TEST_CASE("idle connections that the peer has closed are not used") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  ConnectionPool pool(context, kMaxPendingInput);
  std::vector<asio::ip::tcp::socket> peers;
  for (int i = 0; i < 3; ++i) {
    const auto connection = pool.Make();
    connection->Connect(acceptor.local_endpoint(), milliseconds(1000),
                        [](std::error_code error) { REQUIRE_FALSE(error); });
    peers.push_back(acceptor.accept());
    context.restart();
    context.run_for(milliseconds(20));
    pool.Return("a", connection);
  }
  CHECK(pool.DropBroken("a", SteadyNow()) == 0);
  peers[1].close();
  peers[2].close();
  CHECK(pool.DropBroken("a", SteadyNow()) == 2);
  CHECK(pool.DropBroken("a", SteadyNow()) == 0);
  peers[0].close();
  CHECK(pool.TakeIdle("a", SteadyNow(), milliseconds(1000), "r1") == nullptr);
  CHECK(pool.DropBroken("b", SteadyNow()) == 0);
}

// Guards against a refusal that a target writes once more, and that is taken
// for the answer to the same request when its caller repeats it.
TEST_CASE("a request that is repeated gets another connection") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  ConnectionPool pool(context, kMaxPendingInput);
  std::vector<asio::ip::tcp::socket> peers;
  for (const char* id : {"r1", "r2"}) {
    const auto connection = pool.Make();
    connection->Connect(acceptor.local_endpoint(), milliseconds(1000),
                        [](std::error_code error) { REQUIRE_FALSE(error); });
    peers.push_back(acceptor.accept());
    context.restart();
    context.run_for(milliseconds(20));
    connection->RecordRequest(id);
    pool.Return("a", connection);
  }
  const auto first = pool.TakeIdle("a", SteadyNow(), milliseconds(1000), "r2");
  REQUIRE(first != nullptr);
  CHECK(first->HasCarried("r1"));
  CHECK(pool.TakeIdle("a", SteadyNow(), milliseconds(1000), "r2") == nullptr);
  CHECK(pool.idle_count() == 1);
  const auto second = pool.TakeIdle("a", SteadyNow(), milliseconds(1000), "r3");
  REQUIRE(second != nullptr);
  pool.Return("a", second);
  asio::write(peers[1], asio::buffer("HTTP/1.1 503 X\r\n", 16));
  CHECK(pool.TakeIdle("a", SteadyNow(), milliseconds(1000), "r3") == nullptr);
  CHECK(pool.idle_count() == 0);
}

TEST_CASE("a connection that has carried many requests is not used again") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  ConnectionPool pool(context, kMaxPendingInput);
  const auto connection = pool.Make();
  connection->Connect(acceptor.local_endpoint(), milliseconds(1000),
                      [](std::error_code error) { REQUIRE_FALSE(error); });
  context.run_for(milliseconds(20));
  for (int i = 0; i < 255; ++i) {
    connection->RecordRequest("r" + std::to_string(i));
  }
  CHECK(connection->IsReusable());
  connection->RecordRequest("last");
  CHECK_FALSE(connection->IsReusable());
}

// Bytes without end (issue 46): heads that never ended took 64 KB each, on as
// many connections as targets accept.
TEST_CASE("incomplete heads share a budget, which short ones do not need") {
  asio::io_context context{1};
  const auto incomplete_head = [](size_t bytes) {
    return ScriptedResponse{.bytes = "HTTP/1.1 200 OK\r\nid: 1\r\nX: " +
                                     std::string(bytes, 'x')};
  };
  ScriptedPeer first_peer(context, {incomplete_head(12000)});
  ScriptedPeer second_peer(context, {incomplete_head(12000)});
  ScriptedPeer short_peer(context, {incomplete_head(1000)});
  ConnectionPool pool(context, 9000);
  std::deque<Recorder> recorders;
  std::vector<UpstreamConnection::Pointer> connections;
  for (const ScriptedPeer* peer : {&first_peer, &second_peer, &short_peer}) {
    recorders.emplace_back().expected_id = "1";
    connections.push_back(pool.Make());
    connections.back()->Connect(peer->endpoint(), milliseconds(1000),
                                [](std::error_code error) { CHECK(!error); });
    context.restart();
    context.run_for(milliseconds(20));
    connections.back()->Send(BuildRequestHead("GET", "/", {{"Host", "x"}}, 0),
                             nullptr, &recorders.back());
    context.restart();
    context.run_for(milliseconds(50));
  }
  CHECK_FALSE(recorders[0].is_lost);
  CHECK(recorders[1].is_lost);
  CHECK_FALSE(recorders[2].is_lost);
  for (const auto& connection : connections) connection->Cancel();
}

// Guards against a part of a response that is taken for a whole one, as the
// reset that ended it was reported to the write of the request.
TEST_CASE("a reset during an upload does not complete a response") {
  EarlyAnswer answer;
  SECTION("by a peer that resets") { answer.peer.Reset(); }
  SECTION("by a peer that has not read its input") {
    answer.peer.CloseWithUnreadInput();
  }
  SECTION("after an orderly end") {
    answer.peer.ShutDown();
    answer.Run();
    CHECK_FALSE(answer.recorder.has_ended);
    answer.peer.Reset();
  }
  answer.Run();
  CHECK(answer.recorder.is_lost);
  CHECK_FALSE(answer.recorder.has_ended);
}

TEST_CASE("an orderly end completes a response once the upload is taken") {
  EarlyAnswer answer;
  answer.peer.ShutDown();
  answer.Run();
  CHECK_FALSE(answer.recorder.has_ended);
  answer.peer.ReadAll();
  answer.Run(milliseconds(2000));
  CHECK(answer.recorder.has_ended);
  CHECK_FALSE(answer.recorder.is_lost);
}

}  // namespace dogwoodlatch::dataplane
