#include "dogwoodlatch/serving/freshness.h"

#include <algorithm>

namespace dogwoodlatch::serving {

void FreshnessGuard::OnConfirmed(TimePoint sent) {
  if (sent < ignored_until_) return;
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, sent) : sent;
}

std::optional<Duration> FreshnessGuard::Age(TimePoint now) const {
  if (!confirmed_at_) return std::nullopt;
  return now - *confirmed_at_;
}

bool FreshnessGuard::IsFresh(TimePoint now) const {
  const std::optional<Duration> age = Age(now);
  return age && *age <= bound_;
}

}  // namespace dogwoodlatch::serving
