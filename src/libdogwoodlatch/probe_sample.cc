#include "dogwoodlatch/probe_sample.h"

#include <algorithm>

namespace dogwoodlatch {

// An engine evicts the later pieces of a chain before the earlier ones that
// they depend on, so a cached key implies all keys before it.
ProbeSample::ProbeSample(std::span<const PieceKey> chain, size_t max_keys) {
  const size_t count = std::min(chain.size(), max_keys);
  for (size_t i = 1; i <= count; ++i) {
    const size_t depth = (i * chain.size() + count - 1) / count;
    depths_.push_back(static_cast<uint32_t>(depth));
    keys_.push_back(chain[depth - 1]);
  }
}

uint32_t ProbeSample::CachedDepth(uint32_t leading) const {
  if (leading == 0 || depths_.empty()) return 0;
  return depths_[std::min<size_t>(leading, depths_.size()) - 1];
}

}  // namespace dogwoodlatch
