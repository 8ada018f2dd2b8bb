#include "dogwoodlatch/serving/store_era.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

// The token stays below 2^53, so that every JSON parser reads it exactly. At
// 3,200 writes a second, 40 bits last for ten years.
constexpr int kRevisionBits = 40;
constexpr uint64_t kMaxRevision = (uint64_t{1} << kRevisionBits) - 1;
constexpr uint64_t kMaxEra = (uint64_t{1} << (53 - kRevisionBits)) - 1;

}  // namespace

EraVerdict StoreEra::OnAnswer(uint64_t era, TimePoint now) {
  if (!has_era_) {
    has_era_ = true;
    current_ = era;
    return EraVerdict::kCurrent;
  }
  if (era < current_) return EraVerdict::kOutdated;
  if (era == current_) return EraVerdict::kCurrent;
  current_ = era;
  was_restored_ = true;
  restored_at_ = now;
  return EraVerdict::kRestored;
}

bool StoreEra::WasRestoredWithin(Duration window, TimePoint now) const {
  return was_restored_ && now - restored_at_ <= window;
}

uint64_t MakeFence(uint64_t era, uint64_t revision) {
  return (std::min(era, kMaxEra) << kRevisionBits) |
         std::min(revision, kMaxRevision);
}

}  // namespace dogwoodlatch::serving
