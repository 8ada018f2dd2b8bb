#include "dogwoodlatch/serving/event_stream.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <string>

namespace dogwoodlatch::serving {
namespace {

std::string Event(uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) +
         "\n\n";
}

}  // namespace

TEST_CASE("only complete events are returned for any chunking of the bytes") {
  rc::prop("any chunk sizes", [] {
    const auto count = *rc::gen::inRange<uint64_t>(1, 30);
    std::string stream;
    for (uint64_t id = 1; id <= count; ++id) stream += Event(id);
    const auto length = *rc::gen::inRange<size_t>(0, stream.size() + 1);
    EventStreamSplitter splitter;
    const std::string_view bytes = stream;
    std::string passed;
    size_t at = 0;
    while (at < length) {
      const auto step = *rc::gen::inRange<size_t>(1, 40);
      passed += splitter.Feed(bytes.substr(at, std::min(step, length - at)));
      at += step;
    }
    RC_ASSERT(stream.starts_with(passed));
    RC_ASSERT(passed.empty() || passed.ends_with("\n\n"));
    RC_ASSERT(splitter.in_sequence());
    RC_ASSERT(splitter.has_partial() == (passed.size() < length));
    if (!passed.empty()) RC_ASSERT(*splitter.last_id() == splitter.events());
  });
}

TEST_CASE("a stream resumes at another target after its last complete event") {
  EventStreamSplitter splitter;
  CHECK(splitter.Feed(Event(1) + "id: 2\nda") == Event(1));
  splitter.DropPartial();
  CHECK(splitter.Feed(Event(2)) == Event(2));
  CHECK(splitter.in_sequence());
}

TEST_CASE("a missing or repeated event is detected") {
  EventStreamSplitter gap;
  gap.Feed(Event(1) + Event(3));
  CHECK_FALSE(gap.in_sequence());
  EventStreamSplitter doubled;
  doubled.Feed(Event(1) + Event(1));
  CHECK_FALSE(doubled.in_sequence());
}

TEST_CASE("lines may end with CRLF and events may have no id") {
  EventStreamSplitter splitter;
  CHECK(splitter.Feed("id:7\r\ndata: x\r\n\r\ndata: y\r\n\r\nid") ==
        "id:7\r\ndata: x\r\n\r\ndata: y\r\n\r\n");
  CHECK(*splitter.last_id() == 7);
  CHECK(splitter.events() == 2);
}

// Guards against an error's text in the middle of a stream: the target that was
// to go on with it answered something else.
TEST_CASE("a stream that had ids goes on with one") {
  EventStreamSplitter splitter;
  splitter.Feed(Event(1));
  CHECK_FALSE(splitter.is_continuing());
  splitter.DropPartial();
  CHECK(splitter.is_continuing());
  EventStreamSplitter other = splitter;
  other.Feed("event: error\ndata: no\n\n");
  CHECK_FALSE(other.in_sequence());
  splitter.Feed(Event(2) + "data: x\n\n");
  CHECK(splitter.in_sequence());
  EventStreamSplitter without_ids;
  without_ids.Feed("data: x\n\n");
  without_ids.DropPartial();
  without_ids.Feed("data: y\n\n");
  CHECK(without_ids.in_sequence());
}

TEST_CASE("an event that never ends is noticed") {
  EventStreamSplitter splitter;
  CHECK(splitter.Feed("id: 1\ndata: a\n\n").size() == 15);
  size_t bytes = 0;
  while (!splitter.is_too_long() && bytes < 4UL * 1024 * 1024) {
    splitter.Feed("data: " + std::string(1000, 'x') + "\n");
    bytes += 1007;
  }
  CHECK(splitter.is_too_long());
  CHECK(bytes <= EventStreamSplitter::kMaxEventBytes + 2048);
}

// Bytes without end (issue 46): the start of an event was searched again for
// each piece that came, so that an event of many short lines kept the event
// loop busy for seconds. Time must be linear in the bytes: the factor leaves
// room for noise, and is far below that of a search from the start.
TEST_CASE("an event of many short lines is read in linear time") {
  constexpr size_t kPieceBytes = 16;
  const std::string piece = "e\ne\ne\ne\ne\ne\ne\ne\n";
  REQUIRE(piece.size() == kPieceBytes);
  // Processor time, which does not pass while other processes run.
  const auto time_to_read = [&](size_t bytes) {
    EventStreamSplitter splitter;
    const std::clock_t start = std::clock();
    for (size_t at = 0; at < bytes; at += kPieceBytes) splitter.Feed(piece);
    return std::clock() - start;
  };
  constexpr size_t kBytes = 32UL * 1024;
  constexpr std::clock_t kFactor = EventStreamSplitter::kMaxEventBytes / kBytes;
  const auto least_time = [&](size_t bytes) {
    std::clock_t least = time_to_read(bytes);
    for (int i = 0; i < 4; ++i) least = std::min(least, time_to_read(bytes));
    return least;
  };
  CHECK(least_time(EventStreamSplitter::kMaxEventBytes) <
        3 * kFactor * least_time(kBytes));
}

}  // namespace dogwoodlatch::serving
