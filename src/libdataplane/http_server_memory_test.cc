/// Clients that hold what the server has for all of them.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodlatch/dataplane/http_server_session.h"

namespace dogwoodlatch::dataplane {
namespace {

using std::chrono::milliseconds;
using Tcp = asio::ip::tcp;

constexpr size_t kInputBytes = 256UL * 1024;

class Server {
 public:
  Server() : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {
    LimitInput(kInputBytes);
    state->ledger->on_refusal = [this](RefusalReason reason) {
      reasons.push_back(reason);
    };
    state->check_head = [](const Request& head) {
      const std::string_view key = FindHeader(head.headers, "key");
      return key == "good" ? HeadVerdict::kValidKey
             : key.empty() ? HeadVerdict::kPublic
                           : HeadVerdict::kDenied;
    };
    Accept();
  }

  void Run(Duration duration = milliseconds(50)) {
    context_.restart();
    context_.run_for(duration);
  }

  std::vector<Tcp::socket> SendMany(size_t count, const std::string& bytes) {
    std::vector<Tcp::socket> crowd;
    std::generate_n(std::back_inserter(crowd), count,
                    [&] { return Send(bytes); });
    return crowd;
  }

  Tcp::socket Send(const std::string& bytes) {
    Tcp::socket client(context_);
    client.connect(acceptor_.local_endpoint());
    client.non_blocking(true);
    SendMore(client, bytes);
    return client;
  }

  // Sends in steps, as the socket takes no more than its buffer.
  void SendMore(Tcp::socket& client, const std::string& bytes) {
    std::error_code error;
    size_t sent = 0;
    for (int steps = 0; sent < bytes.size() && steps < 100; ++steps) {
      sent += client.write_some(
          asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
      if (sent < bytes.size()) Run(milliseconds(2));
    }
    Run();
  }

  void LimitInput(size_t bytes) {
    state->ledger->SetLimits({.input_bytes = bytes,
                              .output_bytes = 4UL * 1024 * 1024,
                              .header_lines = 32});
  }

  size_t used() const { return state->ledger->input().used(); }

  static std::string Read(Tcp::socket& client) {
    std::string text(65536, '\0');
    std::error_code error;
    text.resize(client.read_some(asio::buffer(text), error));
    return text;
  }

  std::shared_ptr<HttpServerState> state = std::make_shared<HttpServerState>();
  std::vector<RefusalReason> reasons;
  std::vector<bool> lacked_body;  // of the requests that reached the handler
  std::string response = "done";

 private:
  void Accept() {
    acceptor_.async_accept([this](std::error_code error, Tcp::socket socket) {
      if (error) return;
      std::make_shared<HttpServerSession>(
          std::move(socket), state,
          [this](const HttpServerSession::Pointer& session,
                 const Request& request) {
            lacked_body.push_back(request.lacks_body);
            session->SendResponse(request.lacks_body ? 401 : 200, {}, response);
          })
          ->Start();
      Accept();
    });
  }

  asio::io_context context_{1};
  Tcp::acceptor acceptor_;
};

std::string Post(const std::string& key, size_t length, size_t sent) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nKey: " + key +
         "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
         std::string(sent, 'b');
}

// The next byte of the body doubles its buffer.
constexpr size_t kFullBuffer = 64UL * 1024;
constexpr size_t kLargeBody = 100000;
constexpr const char* kLastByte = "1\r\nz\r\n0\r\n\r\n";

// A chunked upload that has filled its buffer and stops.
Tcp::socket SendFullBuffer(Server& server) {
  Tcp::socket client = server.Send(
      "POST /x HTTP/1.1\r\nHost: h\r\nKey: good\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
  std::string chunks;
  for (size_t sent = 0; sent < kFullBuffer; sent += 1024) {
    chunks += "400\r\n" + std::string(1024, 'b') + "\r\n";
  }
  server.SendMore(client, chunks);
  return client;
}

}  // namespace

// Guards against a crowd that keeps sound callers out by stopping short.
TEST_CASE("a request with a key is served beside stalled ones") {
  Server server;
  std::vector<Tcp::socket> crowd = server.SendMany(12, Post("", 40000, 39999));
  CHECK(server.state->ledger->input().used() <= kInputBytes);
  Tcp::socket caller = server.Send(Post("good", 100000, 100000));
  CHECK(Server::Read(caller).starts_with("HTTP/1.1 200"));
  CHECK(std::ranges::count(server.reasons, RefusalReason::kMemory) > 0);
  CHECK(std::ranges::any_of(crowd, [](Tcp::socket& client) {
    return Server::Read(client).starts_with("HTTP/1.1 503");
  }));
  crowd.clear();
  server.Run();
  CHECK(server.state->ledger->input().used() == 0);
  CHECK(server.state->sessions == 1);
}

// Guards against a process that ends (review/6): the request for which room was
// made was refused to make it, while its bytes were being parsed.
TEST_CASE("a request that goes on is not refused to make room for itself") {
  Server server;
  Tcp::socket caller = SendFullBuffer(server);
  server.Run(milliseconds(1000));  // it has stalled longest
  Tcp::socket large = server.Send(Post("good", kLargeBody, kLargeBody - 1));
  Tcp::socket small = server.Send(Post("good", 2000, 1999));
  server.Run(kMinStall);
  server.LimitInput(server.used());
  server.SendMore(caller, kLastByte);
  CHECK(Server::Read(caller).starts_with("HTTP/1.1 200"));
  CHECK(server.lacked_body == std::vector{false});
  CHECK(server.reasons == std::vector{RefusalReason::kMemory});
  CHECK(Server::Read(large).starts_with("HTTP/1.1 503"));
  CHECK(Server::Read(small).empty());
}

// The same where no other request gives way: it is refused once, and not
// served.
TEST_CASE("a request that gets no room is refused once") {
  Server server;
  Tcp::socket caller = SendFullBuffer(server);
  server.Run(kMinStall);
  Tcp::socket other = server.Send(Post("good", kLargeBody, kLargeBody - 1));
  server.LimitInput(server.used());
  server.SendMore(caller, kLastByte);
  const std::string answer = Server::Read(caller);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(server.reasons == std::vector{RefusalReason::kMemory});
  CHECK(server.lacked_body.empty());
}

// Guards against bodies that are held for callers who will be refused.
TEST_CASE("a body is not held once its head is denied") {
  Server server;
  Tcp::socket caller = server.Send(Post("bad", 200000, 10000));
  CHECK(Server::Read(caller).starts_with("HTTP/1.1 401"));
  CHECK(server.lacked_body == std::vector{true});
  CHECK(server.state->ledger->input().used() == 0);
}

TEST_CASE("a head of too many lines is refused") {
  Server server;
  std::string lines;
  for (int i = 0; i < 40; ++i) lines += "a:b\r\n";
  Tcp::socket caller = server.Send("GET /x HTTP/1.1\r\n" + lines);
  CHECK(Server::Read(caller).starts_with("HTTP/1.1 431"));
  CHECK(server.reasons == std::vector{RefusalReason::kHeaderLines});
}

// Guards against answers without end for a caller that reads none of them.
TEST_CASE("requests wait until their caller has read its answers") {
  Server server;
  server.response = std::string(1024UL * 1024, 'r');
  std::string requests;
  for (int i = 0; i < 200; ++i) {
    requests += "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  Tcp::socket caller = server.Send(requests);
  server.Run(milliseconds(300));
  CHECK(server.lacked_body.size() < 100);
  CHECK(server.state->ledger->output().used() < 4UL * 1024 * 1024);
  const size_t before = server.lacked_body.size();
  for (int i = 0; i < 200; ++i) {
    Server::Read(caller);
    server.Run(milliseconds(1));
  }
  CHECK(server.lacked_body.size() > before);
}

// Guards against connections that take all descriptors and send nothing.
TEST_CASE("stalled connections give their place to new ones") {
  Server server;
  server.state->max_sessions = 3;
  const std::string part = "GET /x HT";
  std::vector<Tcp::socket> crowd = server.SendMany(3, part);
  server.Run(kMinStall);
  Tcp::socket caller = server.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(Server::Read(caller).starts_with("HTTP/1.1 200"));
  CHECK(Server::Read(crowd.front()).starts_with("HTTP/1.1 503"));
  CHECK(server.state->sessions == 3);
}

}  // namespace dogwoodlatch::dataplane
