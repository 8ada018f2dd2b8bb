#include "dogwoodlatch/serving/update_period.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

// With few routers, updates are frequent, so that others learn of a send within
// the time of a few requests. With many routers, each one sends fewer requests,
// and every update wakes up all receivers. The longest period is shorter than
// the 400 ms for which receivers use a reported backlog.
constexpr milliseconds kShortestRouterPeriod{50};
constexpr milliseconds kLongestRouterPeriod{200};
constexpr size_t kMaxRoutersAtShortestRouterPeriod = 32;

// Receivers use the report of a target for 800 ms, so one update may be lost.
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

Duration AgentStatusPeriod(size_t receivers) {
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
