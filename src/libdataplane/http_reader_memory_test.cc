/// Compares what a reader says it holds with what it has allocated.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "dogwoodlatch/dataplane/http_reader.h"
#include "dogwoodlatch/testing/heap_meter.h"

namespace dogwoodlatch::dataplane {
namespace {

// Lines that have been cheap to send and costly to hold, and ordinary ones.
const std::vector<std::string> kLines = {
    "a:b\r\n",
    "a:\r\n",
    "Cookie: a=b\r\n",
    "a:b\r\n c\r\n",
    "X-Odd~!: \t\r\n",
    "Host: again\r\n",
    "Accept: text/event-stream\r\n",
    std::string(16, 'n') + ":" + std::string(16, 'v') + "\r\n",
    "X-Long: " + std::string(3000, 'l') + "\r\n"};

std::string MakeRequest() {
  std::string text = "POST /" + std::string(*rc::gen::inRange(0, 60), 'p') +
                     " HTTP/1.1\r\nHost: h\r\n";
  const auto lines = *rc::gen::container<std::vector<size_t>>(
      *rc::gen::inRange<size_t>(0, 300),
      rc::gen::inRange<size_t>(0, kLines.size()));
  const size_t repeats = *rc::gen::inRange<size_t>(1, 10);
  for (size_t i = 0; i < repeats; ++i) {
    for (const size_t line : lines) text += kLines[line];
  }
  const size_t size = *rc::gen::inRange<size_t>(0, 40000);
  if (*rc::gen::arbitrary<bool>()) {
    return text + "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
           std::string(size, 'b');
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (size_t sent = 0; sent < size; sent += 16) {
    text += "10\r\nbbbbbbbbbbbbbbbb\r\n";
  }
  return text + "0\r\nTrailer: t\r\n\r\n";
}

}  // namespace

// Guards against memory that no limit sees (300 heads of 16 KB took 63 MB).
TEST_CASE("a reader holds no more than it says") {
  rc::prop("after every fragment, in every state", [] {
    const std::string bytes = MakeRequest();
    const auto steps = *rc::gen::container<std::vector<size_t>>(
        8, rc::gen::inRange<size_t>(1, 20000));
    std::string input;
    input.reserve(bytes.size() + 1);  // allocates nothing more afterwards
    const testing::HeapMeter meter;
    RequestReader reader({.header_bytes = 64 * 1024});
    ReadState state = ReadState::kNeedMore;
    size_t fed = 0;
    for (size_t i = 0; state == ReadState::kNeedMore && fed < bytes.size();
         ++i) {
      const size_t step = std::min(steps[i % steps.size()], bytes.size() - fed);
      input.append(bytes, fed, step);
      fed += step;
      state = reader.Feed(input);
      const size_t held = meter.held();
      const size_t said = reader.held_bytes();
      RC_ASSERT(said >= held);
    }
  });
}

// Guards against the rounding of large blocks to pages, which the accounting
// left out: the list of these fields takes 128 KB.
TEST_CASE("a list of many fields occupies no more than is said") {
  std::string input = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 1500; ++i) input += "a:b\r\n";
  const testing::HeapMeter meter;
  RequestReader reader({.header_bytes = 64 * 1024});
  CHECK(reader.Feed(input) == ReadState::kNeedMore);
  const size_t held = meter.held();
  CHECK(reader.held_bytes() >= held);
}

}  // namespace dogwoodlatch::dataplane
