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
// load.
constexpr Duration kSaveLatency = std::chrono::milliseconds(400);

// Parts that were neither saved nor fetched for this time are no longer missed.
// It is the time within which a part that is read again counts as a loss.
constexpr Duration kColdAfter = std::chrono::seconds(10);

}  // namespace

void SavedParts::SetCapacity(int64_t tokens) {
  capacity_ =
      static_cast<int64_t>(static_cast<double>(tokens) * kUsableCapacityShare);
  EvictToCapacity();
}

bool SavedParts::ShouldSave(uint64_t deepest, uint32_t shared_tokens,
                            uint32_t own_tokens, TimePoint now) {
  if (capacity_ <= 0) return false;
  const auto known = by_part_.find(deepest);
  const bool is_kept = known != by_part_.end() &&
                       now - known->second->saved_at <= kResaveInterval;
  if (is_kept) return false;
  const bool is_mostly_shared = own_tokens <= shared_tokens;
  if (!is_mostly_shared && !HasRoom(shared_tokens + own_tokens, now)) {
    return false;
  }
  const PartSave save{deepest, shared_tokens + own_tokens};
  OnSaved(save, now);
  granted_.push_back(save);
  return true;
}

bool SavedParts::IsSaved(uint64_t deepest, TimePoint now) const {
  const auto found = by_part_.find(deepest);
  return found != by_part_.end() && now >= found->second->available_from;
}

// After weights have changed, the stores are full of parts that nobody asks
// for.
bool SavedParts::HasRoom(int64_t tokens, TimePoint now) const {
  return stored_tokens_ + tokens <= capacity_ || records_.empty() ||
         now - records_.back().used_at > kColdAfter;
}

void SavedParts::OnFetch(uint64_t deepest, TimePoint now) {
  OnFetchedByPeer(deepest, now);
  fetched_.push_back(deepest);
}

void SavedParts::OnFetchedByPeer(uint64_t deepest, TimePoint now) {
  const auto found = by_part_.find(deepest);
  if (found == by_part_.end()) return;
  found->second->used_at = now;
  records_.splice(records_.begin(), records_, found->second);
}

// Saving a part that a store already has changes nothing in the store.
void SavedParts::OnSaved(const PartSave& save, TimePoint now) {
  const auto known = by_part_.find(save.part);
  if (known != by_part_.end()) {
    records_.splice(records_.begin(), records_, known->second);
    known->second->saved_at = now;
    known->second->used_at = now;
    return;
  }
  records_.push_front({save.part, save.tokens, now, now + kSaveLatency, now});
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
