/// Which shared parts this process has had saved in a KV cache store.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Decides when a request saves its parts. The store drops what is not used, so
/// a part is saved again after some time.
class SavedParts {
 public:
  /// True when a request should save its parts now. `deepest` is its deepest
  /// shared part, which counts as saved from then on. Requests whose own part
  /// is large beside the shared ones leave it to others, as the store keeps
  /// their own part too.
  bool ShouldSave(uint64_t deepest, uint32_t shared_tokens, uint32_t own_tokens,
                  TimePoint now);

  /// True when the store is likely to have the part.
  bool IsSaved(uint64_t deepest, TimePoint now) const;

  /// Another router has had the part saved.
  void OnSaved(uint64_t deepest, TimePoint now) { saved_[deepest] = now; }

  /// The parts that ShouldSave has granted since the last call.
  std::vector<uint64_t> TakeGranted() { return std::exchange(granted_, {}); }

 private:
  std::unordered_map<uint64_t, TimePoint> saved_;  ///< last time of a save
  std::vector<uint64_t> granted_;
};

}  // namespace dogwoodlatch::serving
