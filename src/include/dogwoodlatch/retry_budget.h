/// Limits retries to a share of recent traffic, so that the failure of many
/// targets does not multiply the load on the rest.
#pragma once

#include <algorithm>
#include <limits>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

struct RetryBudgetLimits {
  double share = 0.2;      ///< retries earned by each first attempt
  double per_second = 10;  ///< retries earned with or without traffic
  double max_burst = 100;  ///< most retries that can be saved up for a burst
  /// Retries saved up at the start, `max_burst` at most.
  double initial = std::numeric_limits<double>::infinity();
};

/// Token bucket. Not thread-safe; the daemon serializes access.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits)
      : limits_(limits), saved_(std::min(limits.initial, limits.max_burst)) {}

  /// Replaces the limits; saved retries are capped to the new burst.
  void SetLimits(RetryBudgetLimits limits);

  /// Credits the budget for the first attempt of a request.
  void OnFirstAttempt(TimePoint now);

  /// Takes one retry from the budget; false if it is exhausted.
  bool Withdraw(TimePoint now);

 private:
  void Refill(TimePoint now);

  RetryBudgetLimits limits_;
  double saved_;
  TimePoint last_refill_{};
};

}  // namespace dogwoodlatch
