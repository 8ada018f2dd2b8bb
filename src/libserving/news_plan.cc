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
constexpr size_t kRoutersAtShortest = 32;

// Reports of targets are believed for 800 ms, so one may be lost.
constexpr milliseconds kShortestAgentPeriod{250};
constexpr milliseconds kLongestAgentPeriod{350};
constexpr size_t kRoutersAtShortestAgentPeriod = 30;

Duration Stretched(milliseconds shortest, milliseconds longest,
                   size_t receivers, size_t at_shortest) {
  const Duration stretched = Duration(shortest) *
                             static_cast<int64_t>(receivers) /
                             static_cast<int64_t>(at_shortest);
  return std::clamp<Duration>(stretched, shortest, longest);
}

}  // namespace

Duration RouterNewsPeriod(size_t receivers) {
  return Stretched(kShortestRouterPeriod, kLongestRouterPeriod, receivers,
                   kRoutersAtShortest);
}

Duration AgentNewsPeriod(size_t receivers) {
  return Stretched(kShortestAgentPeriod, kLongestAgentPeriod, receivers,
                   kRoutersAtShortestAgentPeriod);
}

std::vector<size_t> TurnList::Next(size_t count) {
  std::vector<size_t> turn(std::min(most_, count));
  std::ranges::generate(turn, [&] { return next_++ % count; });
  if (count > 0) next_ %= count;
  return turn;
}

}  // namespace dogwoodlatch::serving
