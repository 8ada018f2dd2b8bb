#include "dogwoodlatch/dataplane/http_reader.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace dogwoodlatch::dataplane {
namespace {

ReadState ReadOne(std::string input) {
  RequestReader reader({.header_bytes = 512, .body_bytes = 64});
  return reader.Feed(input);
}

// Feeds `bytes` in fragments of random size.
template <typename Feed>
void FeedInFragments(std::string_view bytes, Feed&& feed) {
  std::string input;
  while (!bytes.empty()) {
    const size_t step =
        std::min(*rc::gen::inRange<size_t>(1, 30), bytes.size());
    input.append(bytes.substr(0, step));
    bytes.remove_prefix(step);
    if (!feed(input)) return;
  }
}

class Collector final : public ResponseListener {
 public:
  bool OnHead(const ResponseHead& head) override {
    heads.push_back(head.status);
    return head.status != skipped_status;
  }
  void OnBody(std::string_view bytes) override { body.append(bytes); }
  void OnEnd() override {}
  void OnConnectionLost() override {}

  std::vector<int> heads;
  std::string body;
  int skipped_status = 0;
};

}  // namespace

TEST_CASE("requests are parsed independently of fragmentation") {
  const std::string first =
      "POST /a?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
  const std::string second =
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
  rc::prop("result does not depend on fragmentation", [&] {
    std::vector<Request> requests;
    auto reader = std::make_unique<RequestReader>(ReaderLimits{});
    FeedInFragments(first + second, [&](std::string& input) {
      while (reader->Feed(input) == ReadState::kDone) {
        requests.push_back(reader->Take());
        reader = std::make_unique<RequestReader>(ReaderLimits{});
      }
      return true;
    });
    RC_ASSERT(requests.size() == 2U);
    RC_ASSERT(requests[0].body == "hello");
    RC_ASSERT(requests[0].path() == "/a");
    RC_ASSERT(requests[1].body == "abcde");
  });
}

TEST_CASE("malformed and ambiguously framed requests are rejected") {
  CHECK(ReadOne("GET / HTTP/1.1\r\nHost: a\r\n\r\n") == ReadState::kDone);
  CHECK(ReadOne("GET / HTTP/1.1\r\n\r\n") == ReadState::kMalformed);
  CHECK(ReadOne("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") ==
        ReadState::kMalformed);
  CHECK(ReadOne("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        ReadState::kMalformed);
  CHECK(ReadOne("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                "Content-Length: 4\r\n\r\nabcd") == ReadState::kMalformed);
  CHECK(ReadOne("POST / HTTP/1.1\r\nHost: a\r\n"
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") ==
        ReadState::kMalformed);
  CHECK(ReadOne("GET / HTTP/1.1\r\nHost : a\r\n\r\n") == ReadState::kMalformed);
  CHECK(ReadOne("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n") ==
        ReadState::kMalformed);
}

TEST_CASE("requests beyond the header and body limits are rejected") {
  CHECK(ReadOne("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x') +
                "\r\n\r\n") == ReadState::kHeaderTooLong);
  CHECK(ReadOne("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n") ==
        ReadState::kBodyTooLong);
}

TEST_CASE("arbitrary input does not crash the readers") {
  rc::prop("request reader", [] {
    RequestReader reader({});
    std::string input = *rc::gen::arbitrary<std::string>();
    reader.Feed(input);
  });
  rc::prop("response reader", [] {
    ResponseReader reader;
    Collector collector;
    std::string input =
        "HTTP/1.1 200 OK\r\n" + *rc::gen::arbitrary<std::string>();
    reader.Feed(input, collector);
  });
}

TEST_CASE("responses are parsed independently of fragmentation") {
  const std::string response =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
      "Keep-Alive: timeout=7\r\n\r\n4\r\nabcd\r\n1\r\ne\r\n0\r\n\r\n";
  rc::prop("result does not depend on fragmentation", [&] {
    ResponseReader reader;
    Collector collector;
    FeedInFragments(response, [&](std::string& input) {
      RC_ASSERT(reader.Feed(input, collector));
      return !reader.done();
    });
    RC_ASSERT(reader.done());
    RC_ASSERT(collector.body == "abcde");
    RC_ASSERT(*reader.head().idle_limit == std::chrono::seconds(7));
  });
}

TEST_CASE("a response to another request is skipped") {
  ResponseReader reader;
  Collector collector;
  collector.skipped_status = 203;
  std::string input =
      "HTTP/1.1 203 X\r\nContent-Length: 3\r\n\r\nold"
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
  CHECK(reader.Feed(input, collector));
  CHECK(reader.done());
  CHECK(collector.body == "new");
  CHECK(collector.heads == std::vector<int>{203, 200});
}

// Guards against a response without a status of HTTP that reaches the caller,
// or that is skipped like an interim one, so that its request waits on.
TEST_CASE("only a status of HTTP makes a response") {
  const auto accepts = [](const std::string& status) {
    ResponseReader reader;
    Collector collector;
    std::string input =
        "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nnone";
    const bool is_valid = reader.Feed(input, collector);
    CHECK(is_valid != collector.heads.empty());
    return is_valid;
  };
  for (const char* status : {"000", "001", "099", "101", "600", "999", "+20",
                             "-20", "2", "20", "2000"}) {
    CAPTURE(status);
    CHECK_FALSE(accepts(status));
  }
  for (const char* status : {"200", "204", "299", "418", "500", "599"}) {
    CAPTURE(status);
    CHECK(accepts(status));
  }
  ResponseReader reader;
  Collector collector;
  std::string input =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
  CHECK(reader.Feed(input, collector));
  CHECK(collector.heads == std::vector<int>{200});
}

TEST_CASE("only an unframed response is completed by the close") {
  ResponseReader unframed;
  Collector collector;
  std::string input = "HTTP/1.1 200 OK\r\n\r\nbody";
  CHECK(unframed.Feed(input, collector));
  CHECK_FALSE(unframed.done());
  CHECK(unframed.FinishAtClose());
  ResponseReader framed;
  std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody";
  CHECK(framed.Feed(cut, collector));
  CHECK_FALSE(framed.FinishAtClose());
}

// Guards against a response that stops in its head, or short of its length, and
// reaches the caller as a whole one.
TEST_CASE("no part of a framed response is completed by the close") {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"};
  for (const std::string& response : responses) {
    for (size_t length = 0; length < response.size(); ++length) {
      ResponseReader reader;
      Collector collector;
      std::string input = response.substr(0, length);
      INFO(length << " bytes of\n" << response);
      CHECK(reader.Feed(input, collector));
      CHECK_FALSE(reader.done());
      CHECK_FALSE(reader.FinishAtClose());
    }
  }
  const std::string head = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n";
  for (size_t length = 0; length < head.size(); ++length) {
    ResponseReader reader;
    Collector collector;
    std::string input = head.substr(0, length);
    CHECK(reader.Feed(input, collector));
    CHECK_FALSE(reader.FinishAtClose());
  }
}

TEST_CASE("interim responses are skipped") {
  ResponseReader reader;
  Collector collector;
  std::string input =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n";
  CHECK(reader.Feed(input, collector));
  CHECK(reader.done());
  CHECK(collector.heads == std::vector<int>{204});
}

// A peer that never ends a head, a chunk header, a trailer, interim responses
// or a response that nobody waits for.
TEST_CASE("responses without end are cut at a small size") {
  constexpr size_t kConnections = 200;
  constexpr size_t kMostBuffered = 80UL * 1024;
  const std::string chunked_head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string skipped_head =
      "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct Peer {
    std::string first;
    std::string repeated;
  };
  const std::vector<Peer> peers = {
      {"HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x')},
      {"HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(500, 'y') + "\r\n"},
      {chunked_head + "5;", std::string(1000, 'e')},
      {chunked_head + "0\r\n", "T: " + std::string(500, 't') + "\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {skipped_head, "400\r\n" + std::string(1024, 's') + "\r\n"},
      {std::string(1000, 'z'), std::string(1000, 'z')}};
  size_t buffered = 0;
  for (size_t i = 0; i < kConnections; ++i) {
    const Peer& peer = peers[i % peers.size()];
    ResponseReader reader;
    Collector collector;
    collector.skipped_status = 500;
    std::string input = peer.first;
    size_t received = input.size();
    bool is_valid = reader.Feed(input, collector);
    while (is_valid && received < 4UL * 1024 * 1024) {
      input += peer.repeated;
      received += peer.repeated.size();
      is_valid = reader.Feed(input, collector);
      REQUIRE(input.size() <= kMostBuffered);
    }
    INFO("peer " << i % peers.size());
    CHECK_FALSE(is_valid);
    buffered += input.size();
  }
  CHECK(buffered <= kConnections * kMostBuffered);
}

TEST_CASE("requests whose chunk headers or trailers never end are refused") {
  for (const std::string& start :
       {std::string("5;"), std::string("0\r\nT: ")}) {
    RequestReader reader(ReaderLimits{});
    std::string input =
        "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
        start;
    ReadState state = reader.Feed(input);
    for (int i = 0; i < 100 && state == ReadState::kNeedMore; ++i) {
      input += std::string(1000, 'e');
      state = reader.Feed(input);
    }
    CHECK(state != ReadState::kNeedMore);
    CHECK(state != ReadState::kDone);
  }
}

}  // namespace dogwoodlatch::dataplane
