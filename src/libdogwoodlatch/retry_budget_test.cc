#include "dogwoodlatch/retry_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch {

TEST_CASE("retries stay within a share of recent traffic") {
  rc::prop("the bound holds over any interval", [] {
    const RetryBudgetLimits limits{0.2, 2, 5};
    RetryBudget budget(limits);
    TimePoint now{std::chrono::hours(1)};
    // Over any interval, retries are bounded by the budget saved at its start
    // plus the budget earned during it.
    double allowance = limits.max_burst;
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 6));
    for (const int step : steps) {
      const std::chrono::milliseconds pause(step * 20);
      now += pause;
      allowance += limits.per_second * static_cast<double>(pause.count()) / 1e3;
      if (step == 0) {
        budget.OnFirstAttempt(now);
        allowance += limits.share;
      } else if (budget.Withdraw(now)) {
        allowance -= 1;
      }
      RC_ASSERT(allowance > -1e-6);
    }
  });
}

TEST_CASE("an exhausted budget refills with traffic and with time") {
  RetryBudget budget({0.5, 1, 1});
  const TimePoint start{std::chrono::hours(1)};
  CHECK(budget.Withdraw(start));
  CHECK_FALSE(budget.Withdraw(start));
  budget.OnFirstAttempt(start);
  budget.OnFirstAttempt(start);
  CHECK(budget.Withdraw(start));
  CHECK(budget.Withdraw(start + std::chrono::seconds(1)));
}

TEST_CASE("one of very many routers can save up for a retry") {
  // Its share of the extra retries is a quarter of one.
  RetryBudget budget(
      {.share = 0.17, .per_second = 0.025, .max_burst = 1, .initial = 0.25});
  CHECK_FALSE(budget.Withdraw(At(1)));
  for (int i = 0; i < 5; ++i) budget.OnFirstAttempt(At(2));
  CHECK(budget.Withdraw(At(3)));
  CHECK_FALSE(budget.Withdraw(At(4)));
}

}  // namespace dogwoodlatch
