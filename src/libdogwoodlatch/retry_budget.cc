#include "dogwoodlatch/retry_budget.h"

#include <algorithm>

namespace dogwoodlatch {

void RetryBudget::OnFirstAttempt(TimePoint now) {
  Refill(now);
  saved_ = std::min(limits_.max_burst, saved_ + limits_.share);
}

bool RetryBudget::Withdraw(TimePoint now) {
  Refill(now);
  if (saved_ < 1) return false;
  saved_ -= 1;
  return true;
}

// The bucket starts full, so the first refill only sets the time.
void RetryBudget::Refill(TimePoint now) {
  if (now <= last_refill_) return;
  const std::chrono::duration<double> elapsed = now - last_refill_;
  saved_ = std::min(limits_.max_burst,
                    saved_ + elapsed.count() * limits_.per_second);
  last_refill_ = now;
}

}  // namespace dogwoodlatch
