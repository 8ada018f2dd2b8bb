/// Which keys of a long chain a probe carries, and what its answer says of the
/// whole chain. Bounds the bytes of a probe whatever the length of the prompt.
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
  /// Takes all keys of a short chain, and `max_keys` evenly spread ones of a
  /// longer chain, the deepest among them.
  ProbeSample(std::span<const PieceKey> chain, size_t max_keys);

  const std::vector<PieceKey>& keys() const { return keys_; }

  /// Pieces of the whole chain that `leading` sampled keys in a cache prove.
  uint32_t CachedDepth(uint32_t leading) const;

 private:
  std::vector<PieceKey> keys_;
  std::vector<uint32_t> depths_;
};

}  // namespace dogwoodlatch
