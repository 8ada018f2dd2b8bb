#include "dogwoodlatch/serving/stream_durations.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch::serving {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(60);

}  // namespace

void StreamDurations::Record(const std::string& route, Duration took,
                             TimePoint now) {
  if (now >= period_end_) {
    previous_ = std::exchange(current_, {});
    period_end_ = now + kPeriod;
  }
  Duration& longest = current_[route];
  longest = std::max(longest, took);
}

std::optional<Duration> StreamDurations::Longest(
    const std::string& route) const {
  std::optional<Duration> longest;
  for (const auto* period : {&current_, &previous_}) {
    const auto found = period->find(route);
    if (found == period->end()) continue;
    longest = std::max(longest.value_or(Duration{0}), found->second);
  }
  return longest;
}

}  // namespace dogwoodlatch::serving
