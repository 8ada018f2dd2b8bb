#include "dogwoodlatch/serving/update_period.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

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

// Receivers use a backlog for 400 ms, so a repetition that waits at a forwarder
// arrives in time.
constexpr milliseconds kSmallChangePeriod{200};

// Updates without content are at most 400 ms apart at a tick of 50 ms.
constexpr milliseconds kKeepAlivePeriod{350};

// Placement prefers a prompt's home target by 12 ms of wait. A target that
// looks busier than it is costs less than one that looks idle.
constexpr milliseconds kLargeIncrease{12};
constexpr milliseconds kLargeDecrease{40};

// Receivers use the report of a target for 800 ms, so one update may be lost.
constexpr milliseconds kShortestAgentPeriod{250};
constexpr milliseconds kLongestAgentPeriod{350};
constexpr milliseconds kSmallChangeAgentPeriod{300};
constexpr size_t kMaxRoutersAtShortestAgentPeriod = 30;

// Placement counts a waiting request as 20 ms, so one more of them is a large
// change. Running requests lengthen a decode step by 0.05 ms each. Memory
// matters once it is scarce.
constexpr int64_t kLargeMemoryShare = 50;      // one part in 50
constexpr int64_t kLargeIdleMemoryShare = 10;  // one part in 10
constexpr int kLargeActiveChange = 8;

// How often all agents together list each router in a second. A router is
// forgotten after 3 s without a sign of it; those that send updates need no
// list, and agents list new ones at once. Weights are sent with the lists.
// Routers elect a coordinator if no agent lists them for 3 s, so few agents,
// whose lists may coincide, list them more often.
constexpr double kListingsPerSecond = 1.5;
constexpr size_t kMinListed = 2;
constexpr milliseconds kShortestListPeriod{1000};
constexpr milliseconds kLongestListPeriod{2000};
constexpr milliseconds kListPeriodPerAgent{200};

// Targets keep parts for seconds. With many routers, many of them would
// announce the same use before they hear of each other.
constexpr milliseconds kShortestPartRepeatTime{500};
constexpr int kUpdatePeriodsPerPartRepeat = 8;

// Agents forget a router 4 s after its last subscription, so two subscriptions
// fall within that time.
constexpr milliseconds kShortestSubscriptionPeriod{1000};
constexpr milliseconds kLongestSubscriptionPeriod{1900};
constexpr size_t kMaxTargetsAtShortestSubscriptionPeriod = 100;

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

// While updates are most frequent, each backlog counts, as those of many
// routers add up.
Duration BacklogToPublish(Duration backlog, size_t receivers) {
  const Duration negligible =
      (RouterUpdatePeriod(receivers) - Duration(kShortestRouterPeriod)) / 2;
  return backlog < negligible ? Duration{0} : backlog;
}

ChangeSize CompareBacklogs(Duration published, Duration present,
                           size_t receivers) {
  if (published == Duration{0} && present == Duration{0}) {
    return ChangeSize::kNone;
  }
  const Duration period = RouterUpdatePeriod(receivers);
  const bool is_large =
      present - published >= std::max<Duration>(kLargeIncrease, period / 4) ||
      published - present >= std::max<Duration>(kLargeDecrease, period);
  return is_large ? ChangeSize::kLarge : ChangeSize::kSmall;
}

bool UpdateSchedule::IsDue(ChangeSize change, size_t receivers,
                           TimePoint now) const {
  const Duration shortest = RouterUpdatePeriod(receivers);
  switch (change) {
    case ChangeSize::kLarge:
      return now - sent_at_ >= shortest;
    case ChangeSize::kSmall:
      return now - sent_at_ >= std::max<Duration>(shortest, kSmallChangePeriod);
    case ChangeSize::kNone:
      return now - sent_at_ >= kKeepAlivePeriod;
  }
  return true;
}

Duration AgentStatusPeriod(ChangeSize change, size_t receivers) {
  const Duration shortest =
      ScalePeriod(kShortestAgentPeriod, kLongestAgentPeriod, receivers,
                  kMaxRoutersAtShortestAgentPeriod);
  return change == ChangeSize::kLarge
             ? shortest
             : std::max<Duration>(shortest, kSmallChangeAgentPeriod);
}

ChangeSize CompareReports(const LoadReport& published,
                          const LoadReport& present) {
  const int64_t total = std::max<int64_t>(present.memory_total, 1);
  const int64_t used = std::max(published.memory_used, present.memory_used);
  const int64_t change = std::abs(published.memory_used - present.memory_used);
  const bool is_scarce = used > total / 2;
  const int64_t large =
      total / (is_scarce ? kLargeMemoryShare : kLargeIdleMemoryShare);
  const bool is_large =
      published.queued + published.prefilling !=
          present.queued + present.prefilling ||
      std::abs(published.active - present.active) >= kLargeActiveChange ||
      published.memory_total != present.memory_total || change >= large;
  if (is_large) return ChangeSize::kLarge;
  const bool is_same = published.active == present.active && change == 0 &&
                       published.queued == present.queued;
  return is_same ? ChangeSize::kNone : ChangeSize::kSmall;
}

RouterListing PlanRouterListing(size_t routers, size_t agents) {
  const auto per_second = static_cast<double>(routers) * kListingsPerSecond /
                          static_cast<double>(std::max<size_t>(agents, 1));
  const auto listed = std::max(
      kMinListed,
      static_cast<size_t>(std::ceil(
          per_second *
          std::chrono::duration<double>(kShortestListPeriod).count())));
  const std::chrono::duration<double> period(static_cast<double>(listed) /
                                             std::max(per_second, 0.1));
  const Duration longest =
      std::clamp<Duration>(kListPeriodPerAgent * static_cast<int64_t>(agents),
                           kShortestListPeriod, kLongestListPeriod);
  return {listed,
          std::clamp<Duration>(std::chrono::duration_cast<Duration>(period),
                               kShortestListPeriod, longest)};
}

Duration PartRepeatTime(size_t routers) {
  return std::max<Duration>(
      kShortestPartRepeatTime,
      RouterUpdatePeriod(routers) * kUpdatePeriodsPerPartRepeat);
}

Duration SubscriptionPeriod(size_t targets) {
  return ScalePeriod(kShortestSubscriptionPeriod, kLongestSubscriptionPeriod,
                     targets, kMaxTargetsAtShortestSubscriptionPeriod);
}

std::vector<size_t> RoundRobinSelector::Next(size_t count) {
  std::vector<size_t> indexes(std::min(max_entries_, count));
  std::ranges::generate(indexes, [&] { return next_++ % count; });
  if (count > 0) next_ %= count;
  return indexes;
}

}  // namespace dogwoodlatch::serving
