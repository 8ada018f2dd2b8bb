#include "dogwoodlatch/quarantine.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace dogwoodlatch {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
const QuarantineLimits kLimits{std::chrono::minutes(1),
                               std::chrono::minutes(10), 4};

}  // namespace

TEST_CASE("only a request that ran alone is quarantined") {
  QuarantineTable table(kLimits);
  CHECK(table.OnCrash(std::vector<uint64_t>{1, 2}, false, kStart).size() == 2);
  CHECK(table.Find(1, kStart) == Suspicion::kSuspect);
  CHECK(table.OnCrash(std::vector<uint64_t>{1}, true, kStart).size() == 1);
  CHECK(table.Find(1, kStart) == Suspicion::kQuarantined);
  CHECK(table.Clear(2));
  CHECK(table.Find(2, kStart) == Suspicion::kNone);
  CHECK_FALSE(table.Clear(1));
  table.Lift(1);
  CHECK(table.Find(1, kStart) == Suspicion::kNone);
}

TEST_CASE("entries expire, and a known one is not reported again") {
  QuarantineTable table(kLimits);
  table.OnCrash(std::vector<uint64_t>{1}, true, kStart);
  CHECK(table.OnCrash(std::vector<uint64_t>{1}, false, kStart).empty());
  CHECK(table.Find(1, kStart + kLimits.quarantine_duration) ==
        Suspicion::kNone);
  CHECK(table.Entries(kStart + kLimits.quarantine_duration).empty());
}

TEST_CASE("a flood of suspects does not displace a quarantine") {
  QuarantineTable table(kLimits);
  table.OnCrash(std::vector<uint64_t>{1}, true, kStart);
  for (uint64_t digest = 2; digest < 40; ++digest) {
    table.OnCrash(std::vector<uint64_t>{digest}, false, kStart);
  }
  CHECK(table.Find(1, kStart) == Suspicion::kQuarantined);
  CHECK(table.Entries(kStart).size() == kLimits.max_entries);
}

TEST_CASE("routers converge regardless of message order") {
  rc::prop("adopting commutes", [](const std::vector<bool>& is_quarantine) {
    QuarantineTable forward(kLimits);
    QuarantineTable backward(kLimits);
    std::vector<QuarantineEntry> entries;
    entries.reserve(is_quarantine.size());
    for (const bool quarantined : is_quarantine) {
      entries.push_back(
          {7, quarantined ? Suspicion::kQuarantined : Suspicion::kSuspect,
           kStart + std::chrono::seconds(entries.size() % 5 + 1)});
    }
    for (const auto& entry : entries) forward.Adopt(entry, kStart);
    std::ranges::reverse(entries);
    for (const auto& entry : entries) backward.Adopt(entry, kStart);
    RC_ASSERT(forward.Entries(kStart) == backward.Entries(kStart));
  });
}

TEST_CASE("digests are unchanged by formatting and parsing") {
  rc::prop("format then parse", [](uint64_t digest) {
    RC_ASSERT(ParseDigestHex(FormatDigestHex(digest)) == digest);
  });
  CHECK_FALSE(ParseDigestHex("12").has_value());
  CHECK_FALSE(ParseDigestHex("zzzzzzzzzzzzzzzz").has_value());
}

}  // namespace dogwoodlatch
