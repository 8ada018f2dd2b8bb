/// Selects the keys of a chain that a probe carries and maps the reply back to
/// the whole chain. Bounds the size of a probe regardless of the prompt's
/// length.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "dogwoodlatch/messages.h"

namespace dogwoodlatch {

inline constexpr size_t kMaxProbeKeys = 16;

class ProbeSample {
 public:
  /// Takes all keys of a chain of up to `max_keys`, and of a longer chain
  /// `max_keys` evenly spaced ones that include the last.
  ProbeSample(std::span<const PieceKey> chain, size_t max_keys);

  const std::vector<PieceKey>& keys() const { return keys_; }

  /// Number of leading pieces of the whole chain that must be cached if the
  /// first `leading` sampled keys are.
  uint32_t CachedDepth(uint32_t leading) const;

 private:
  std::vector<PieceKey> keys_;
  std::vector<uint32_t> depths_;
};

}  // namespace dogwoodlatch
