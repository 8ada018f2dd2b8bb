#include "dogwoodlatch/serving/news_plan.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace dogwoodlatch::serving {

using std::chrono::milliseconds;

TEST_CASE("where many are told, news are rarer but not outdated") {
  CHECK(RouterNewsPeriod(0) == milliseconds(50));
  CHECK(RouterNewsPeriod(4) == milliseconds(50));
  CHECK(RouterNewsPeriod(32) == milliseconds(50));
  CHECK(RouterNewsPeriod(64) == milliseconds(100));
  CHECK(RouterNewsPeriod(1000) == milliseconds(200));
  CHECK(AgentNewsPeriod(5) == milliseconds(250));
  CHECK(AgentNewsPeriod(1000) == milliseconds(350));
}

// The sweep's 300 VMs: agents named the first 40 of 99 routers only, so each
// router took a part of the retry budget that was meant for 41.
TEST_CASE("every entry has its turn") {
  rc::prop("any sizes", [] {
    const auto most = *rc::gen::inRange<size_t>(1, 50);
    const auto count = *rc::gen::inRange<size_t>(0, 400);
    TurnList list(most);
    std::multiset<size_t> named;
    const size_t rounds = (count + most - 1) / most;
    for (size_t round = 0; round < rounds; ++round) {
      const std::vector<size_t> turn = list.Next(count);
      RC_ASSERT(turn.size() == std::min(most, count));
      RC_ASSERT(std::set<size_t>(turn.begin(), turn.end()).size() ==
                turn.size());
      named.insert(turn.begin(), turn.end());
    }
    for (size_t entry = 0; entry < count; ++entry) {
      RC_ASSERT(named.contains(entry));
    }
    RC_ASSERT(std::ranges::all_of(named, [&](size_t i) { return i < count; }));
  });
}

}  // namespace dogwoodlatch::serving
