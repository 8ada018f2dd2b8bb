#include "dogwoodlatch/serving/update_period.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace dogwoodlatch::serving {

using std::chrono::milliseconds;

TEST_CASE("the period grows with the number of receivers up to a limit") {
  CHECK(RouterUpdatePeriod(0) == milliseconds(50));
  CHECK(RouterUpdatePeriod(4) == milliseconds(50));
  CHECK(RouterUpdatePeriod(32) == milliseconds(50));
  CHECK(RouterUpdatePeriod(64) == milliseconds(100));
  CHECK(RouterUpdatePeriod(1000) == milliseconds(200));
  CHECK(AgentStatusPeriod(5) == milliseconds(250));
  CHECK(AgentStatusPeriod(1000) == milliseconds(350));
}

// Guards against a list that always names the same routers: with 300 VMs,
// agents named only the first 40 of 99 routers, so each router took a share of
// the retry budget that was computed for 41 routers.
TEST_CASE("successive selections cover every entry") {
  rc::prop("any sizes", [] {
    const auto max_entries = *rc::gen::inRange<size_t>(1, 50);
    const auto count = *rc::gen::inRange<size_t>(0, 400);
    RoundRobinSelector selector(max_entries);
    std::multiset<size_t> selected;
    const size_t rounds = (count + max_entries - 1) / max_entries;
    for (size_t round = 0; round < rounds; ++round) {
      const std::vector<size_t> indexes = selector.Next(count);
      RC_ASSERT(indexes.size() == std::min(max_entries, count));
      RC_ASSERT(std::set<size_t>(indexes.begin(), indexes.end()).size() ==
                indexes.size());
      selected.insert(indexes.begin(), indexes.end());
    }
    for (size_t entry = 0; entry < count; ++entry) {
      RC_ASSERT(selected.contains(entry));
    }
    RC_ASSERT(
        std::ranges::all_of(selected, [&](size_t i) { return i < count; }));
  });
}

}  // namespace dogwoodlatch::serving
