/// Which classes of requests a service gets, so that those with long prompts
/// leave room for short ones at each target.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Requests of one priority and objective form a class. Classes are known from
/// the requests of the last seconds, sent or refused.
class RequestMix {
 public:
  /// A request that has an objective arrived; its prefill takes `prefill`.
  void OnRequest(int priority, Duration max_queue_wait, Duration prefill,
                 TimePoint now);

  /// The longest wait that leaves requests with much shorter prompts on time
  /// which the engine would prefill later; none if there are few of them.
  /// Engines prefill more urgent requests first, so these need no room.
  std::optional<Duration> Room(int priority, Duration prefill,
                               TimePoint now) const;

 private:
  struct Class {
    double prefill_us = 0;  ///< moving average
    int count = 0;          ///< in the present period
    int count_before = 0;   ///< in the one before
  };

  void Advance(TimePoint now);

  std::map<std::pair<int, Duration>, Class> classes_;
  TimePoint period_began_{};
};

}  // namespace dogwoodlatch::serving
