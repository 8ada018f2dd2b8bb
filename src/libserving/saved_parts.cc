#include "dogwoodlatch/serving/saved_parts.h"

namespace dogwoodlatch::serving {
namespace {

// Share of the stores' capacity that is assumed to be usable. Parts are spread
// over the stores by hash, so some stores fill up earlier, and updates of other
// routers arrive late.
constexpr double kUsableCapacityShare = 0.9;

// Parts are saved again after this time, as a store may have restarted empty
// without notice.
constexpr Duration kResaveInterval = std::chrono::seconds(20);

// Parts are saved after prefill, which takes some hundred milliseconds under
// load with the engine of the initial estimate.
constexpr Duration kSaveLatency = std::chrono::milliseconds(400);

// A request saves its parts only if its own tokens do not exceed its shared
// tokens times this factor.
constexpr double kMaxOwnTokensPerShared = 1.0;

}  // namespace

void SavedParts::SetCapacity(int64_t tokens) {
  capacity_ =
      static_cast<int64_t>(static_cast<double>(tokens) * kUsableCapacityShare);
  EvictToCapacity();
}

bool SavedParts::ShouldSave(uint64_t deepest, uint32_t shared_tokens,
                            uint32_t own_tokens, TimePoint now) {
  if (capacity_ <= 0 || own_tokens > shared_tokens * kMaxOwnTokensPerShared) {
    return false;
  }
  const auto known = by_part_.find(deepest);
  const bool is_kept = known != by_part_.end() &&
                       now - known->second->saved_at <= kResaveInterval;
  if (is_kept) return false;
  const PartSave save{deepest, shared_tokens + own_tokens};
  OnSaved(save, now);
  granted_.push_back(save);
  return true;
}

bool SavedParts::IsSaved(uint64_t deepest, TimePoint now) const {
  const auto found = by_part_.find(deepest);
  return found != by_part_.end() && now >= found->second->available_from;
}

void SavedParts::OnFetch(uint64_t deepest) {
  OnFetchedByPeer(deepest);
  fetched_.push_back(deepest);
}

void SavedParts::OnFetchedByPeer(uint64_t deepest) {
  const auto found = by_part_.find(deepest);
  if (found == by_part_.end()) return;
  records_.splice(records_.begin(), records_, found->second);
}

// Saving a part that a store already has changes nothing in the store.
void SavedParts::OnSaved(const PartSave& save, TimePoint now) {
  const auto known = by_part_.find(save.part);
  if (known != by_part_.end()) {
    records_.splice(records_.begin(), records_, known->second);
    known->second->saved_at = now;
    return;
  }
  const auto latency =
      std::chrono::duration_cast<Duration>(kSaveLatency * slowness_);
  records_.push_front({save.part, save.tokens, now, now + latency});
  by_part_[save.part] = records_.begin();
  stored_tokens_ += save.tokens;
  EvictToCapacity();
}

void SavedParts::EvictToCapacity() {
  while (stored_tokens_ > capacity_ && !records_.empty()) {
    stored_tokens_ -= records_.back().tokens;
    by_part_.erase(records_.back().part);
    records_.pop_back();
  }
}

}  // namespace dogwoodlatch::serving
