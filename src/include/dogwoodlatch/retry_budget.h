/// A bound on retries as a share of recent traffic, so that a fault of many
/// targets does not multiply the load on the rest.
#pragma once

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

struct RetryBudgetLimits {
  double share = 0.2;      ///< retries allowed for each first attempt
  double per_second = 10;  ///< retries allowed without any traffic
  double max_burst = 100;  ///< retries that may be saved up for a burst
};

/// Not thread-safe; the daemon guards it.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits)
      : limits_(limits), saved_(limits.max_burst) {}

  /// Other limits hold from now on; what is saved is cut to them.
  void SetLimits(RetryBudgetLimits limits);

  /// A request made its first attempt.
  void OnFirstAttempt(TimePoint now);

  /// Takes one retry out of the budget; false when it is spent.
  bool Withdraw(TimePoint now);

 private:
  void Refill(TimePoint now);

  RetryBudgetLimits limits_;
  double saved_;
  TimePoint last_refill_{};
};

}  // namespace dogwoodlatch
