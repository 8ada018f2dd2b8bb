/// Which shared parts this process has had saved in a KV cache store.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Decides when a request saves its parts. The store drops what is not used, so
/// a part is saved again after some time.
class SavedParts {
 public:
  /// True when the parts up to `deepest` should be saved now; they count as
  /// saved from then on.
  bool ShouldSave(uint64_t deepest, TimePoint now);

 private:
  std::unordered_map<uint64_t, TimePoint> saved_;
};

}  // namespace dogwoodlatch::serving
