#include "dogwoodlatch/serving/freshness.h"

#include <algorithm>

namespace dogwoodlatch::serving {

void FreshnessGuard::OnProof(TimePoint sent) {
  proof_ = proof_ ? std::max(*proof_, sent) : sent;
}

std::optional<Duration> FreshnessGuard::Age(TimePoint now) const {
  if (!proof_) return std::nullopt;
  return now - *proof_;
}

bool FreshnessGuard::Holds(TimePoint now) const {
  const std::optional<Duration> age = Age(now);
  return age && *age <= bound_;
}

}  // namespace dogwoodlatch::serving
