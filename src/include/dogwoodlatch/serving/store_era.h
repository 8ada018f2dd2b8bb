/// Eras of the platform's store. The store may come back from a copy that is
/// some seconds old; each time its era rises by one, and revisions of different
/// eras are not comparable.
#pragma once

#include <cstdint>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

enum class EraVerdict {
  kCurrent,   ///< the answer belongs to the newest known era
  kRestored,  ///< the first answer of a newer era: all revisions are void
  kOutdated   ///< the answer was given before the store was restored
};

/// Tracks the newest era of the store's answers.
class StoreEra {
 public:
  /// Judges an answer by its era.
  EraVerdict OnAnswer(uint64_t era, TimePoint now);

  uint64_t current() const { return current_; }

  /// True if the store was restored at most `window` ago. Its writers may not
  /// yet have repeated the writes that were lost.
  bool WasRestoredWithin(Duration window, TimePoint now) const;

 private:
  uint64_t current_ = 0;
  bool has_era_ = false;
  bool was_restored_ = false;
  TimePoint restored_at_{};
};

/// Time within which operators and targets repeat the writes that a restored
/// store has lost.
inline constexpr Duration kRewriteTime = std::chrono::milliseconds(2000);

/// Fencing token of an order: grows with the store's revisions, and also when a
/// restored store gives out lower revisions again.
uint64_t MakeFence(uint64_t era, uint64_t revision);

}  // namespace dogwoodlatch::serving
