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

/// Token bucket of one process that shares it with no other. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits)
      : limits_(limits), saved_(std::min(limits.initial, limits.max_burst)) {}

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
