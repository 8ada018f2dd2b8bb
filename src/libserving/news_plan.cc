#include "dogwoodlatch/serving/news_plan.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

// Few routers tell one another of sends within the time of a few requests. A
// router among many sends less, and each of its news costs every receiver a
// wake-up; a backlog is believed for 400 ms.
constexpr milliseconds kShortestRouterPeriod{50};
constexpr milliseconds kLongestRouterPeriod{200};
constexpr size_t kMaxRoutersAtShortestRouterPeriod = 32;

// Reports of targets are believed for 800 ms, so one may be lost.
constexpr milliseconds kShortestAgentPeriod{250};
constexpr milliseconds kLongestAgentPeriod{350};
constexpr size_t kMaxRoutersAtShortestAgentPeriod = 30;

Duration ScalePeriod(milliseconds shortest, milliseconds longest,
                     size_t receivers, size_t at_shortest) {
  const Duration scaled = Duration(shortest) * static_cast<int64_t>(receivers) /
                          static_cast<int64_t>(at_shortest);
  return std::clamp<Duration>(scaled, shortest, longest);
}

}  // namespace

Duration RouterUpdatePeriod(size_t receivers) {
  return ScalePeriod(kShortestRouterPeriod, kLongestRouterPeriod, receivers,
                     kMaxRoutersAtShortestRouterPeriod);
}

Duration AgentUpdatePeriod(size_t receivers) {
  return ScalePeriod(kShortestAgentPeriod, kLongestAgentPeriod, receivers,
                     kMaxRoutersAtShortestAgentPeriod);
}

std::vector<size_t> RoundRobinSelector::Next(size_t count) {
  std::vector<size_t> indexes(std::min(max_entries_, count));
  std::ranges::generate(indexes, [&] { return next_++ % count; });
  if (count > 0) next_ %= count;
  return indexes;
}

}  // namespace dogwoodlatch::serving
