#include "dogwoodlatch/dataplane/http_reader.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

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

}  // namespace dogwoodlatch::dataplane
