#include "dogwoodlatch/bounded_json.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/testing/heap_meter.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

constexpr size_t kUnlimited = size_t{1} << 40;
constexpr int kRepeats = 20'000;

std::string Repeat(const std::string& element) {
  std::string text = "[";
  for (int i = 0; i < kRepeats; ++i) text += (i > 0 ? "," : "") + element;
  return text + "]";
}

// Shapes that take much memory for their text.
const std::vector<std::string> kShapes = {
    Repeat("{}"),
    Repeat("[]"),
    Repeat("0"),
    Repeat("\"\""),
    Repeat("[[[]]]"),
    Repeat(R"({"a":1})"),
    Repeat(R"({"a":{"b":""},"a long key that is not inline":[1]})"),
    Repeat(R"("a text that is not held inline")")};

// Parses as ParseJsonWithin does, and returns the size that it counts.
size_t CountedBytes(const std::string& text) {
  size_t low = 0;
  size_t high = size_t{1} << 30;
  while (low + 1 < high) {
    const size_t middle = low + (high - low) / 2;
    (ParseJsonWithin(text, middle).is_discarded() ? low : high) = middle;
  }
  return high;
}

}  // namespace

// Guards against a process that exceeds its memory, because what it has decoded
// takes many times the memory of the text.
TEST_CASE("a value does not occupy more than it is counted for") {
  for (const std::string& text : kShapes) {
    CAPTURE(text.substr(0, 80));
    const testing::HeapMeter meter;
    const Json value = ParseJsonWithin(text, kUnlimited);
    REQUIRE(value.is_array());
    const size_t occupied = meter.held();
    const size_t counted = CountedBytes(text);
    CHECK(occupied <= counted);
    CHECK(counted <= 4 * occupied);
  }
}

TEST_CASE("a value that is too large is dropped while it is parsed") {
  constexpr size_t kLimit = 100'000;
  for (const std::string& text : kShapes) {
    CAPTURE(text.substr(0, 80));
    testing::HeapMeter meter;
    CHECK(ParseJsonWithin(text, kLimit).is_discarded());
    CHECK(meter.peak() <= 2 * kLimit);
    CHECK(meter.held() == 0);
  }
}

TEST_CASE("what fits is read as by ParseJson") {
  const std::vector<std::string> texts = {
      R"({"n":[0,-1,1.5e10,18446744073709551615],"s":"\"\u00e9","t":[{},null]})",
      R"({"a":1,"a":{"b":[2]}})",
      "{\"a\":1e400,\"b\":\"\xff\"}",
      "7",
      "[1",
      "",
      std::string(1000, '[') + std::string(1000, ']')};
  for (const std::string& text : texts) {
    CAPTURE(text.substr(0, 80));
    CHECK(ParseJsonWithin(text, kUnlimited).dump() == ParseJson(text).dump());
  }
}

}  // namespace dogwoodlatch
