#include "dogwoodlatch/cache_index.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dogwoodlatch {

void CacheIndex::OnQueued(const std::string& run_id,
                          std::vector<PieceKey> keys) {
  const auto [run, added] = runs_.try_emplace(run_id);
  if (!added) return;
  for (const PieceKey key : keys) ++queued_[key];
  run->second.keys = std::move(keys);
}

void CacheIndex::OnSubmitted(const std::string& run_id) {
  const auto run = runs_.find(run_id);
  if (run == runs_.end() || run->second.phase != Phase::kQueued) return;
  SetPhase(run->second, Phase::kSubmitted);
}

void CacheIndex::OnEnded(const std::string& run_id) {
  const auto run = runs_.find(run_id);
  if (run == runs_.end() || run->second.phase == Phase::kEnded) return;
  SetPhase(run->second, Phase::kEnded);
  ended_.push_back(run_id);
  if (ended_.size() <= kMaxEndedRuns) return;
  runs_.erase(ended_.front());
  ended_.pop_front();
}

void CacheIndex::Apply(const CacheEpoch& epoch,
                       std::span<const CacheNotice> notices) {
  const bool is_new_boot = epoch.boot_id != epoch_.boot_id;
  const bool is_new_epoch = epoch != epoch_;
  if (is_new_epoch) ClearEntries();
  if (is_new_boot) last_sequence_.reset();
  epoch_ = epoch;
  for (const CacheNotice& notice : notices) Apply(notice);
  // Without a kCleared notice, entries stored before the change of weights
  // cannot be told from those stored after it.
  const bool has_cleared =
      std::ranges::find(notices, CacheChange::kCleared, &CacheNotice::kind) !=
      notices.end();
  if (is_new_epoch && !is_new_boot && !has_cleared) ClearEntries();
}

template <typename Predicate>
uint32_t CacheIndex::CountLeading(std::span<const PieceKey> keys,
                                  Predicate predicate) {
  const auto end = std::ranges::find_if_not(keys, predicate);
  return static_cast<uint32_t>(std::distance(keys.begin(), end));
}

uint32_t CacheIndex::CachedPieces(const CacheEpoch& epoch,
                                  std::span<const PieceKey> keys) const {
  if (epoch != epoch_) return 0;
  return CountLeading(keys, [this](PieceKey key) { return IsConfirmed(key); });
}

uint32_t CacheIndex::CachedOrPrefillingPieces(
    const CacheEpoch& epoch, std::span<const PieceKey> keys) const {
  const bool is_known = epoch == epoch_;
  return CountLeading(keys, [this, is_known](PieceKey key) {
    return (is_known && entries_.contains(key)) || submitted_.contains(key);
  });
}

uint32_t CacheIndex::PendingPieces(const CacheEpoch& epoch,
                                   std::span<const PieceKey> keys) const {
  const bool is_known = epoch == epoch_;
  return CountLeading(keys, [this, is_known](PieceKey key) {
    return (is_known && entries_.contains(key)) || submitted_.contains(key) ||
           queued_.contains(key);
  });
}

CacheIndex::RunCounts* CacheIndex::CountsForPhase(Phase phase) {
  if (phase == Phase::kEnded) return nullptr;
  return phase == Phase::kQueued ? &queued_ : &submitted_;
}

void CacheIndex::SetPhase(Run& run, Phase phase) {
  RunCounts* const left = CountsForPhase(run.phase);
  RunCounts* const entered = CountsForPhase(phase);
  for (const PieceKey key : run.keys) {
    const auto count = left->find(key);
    if (--count->second == 0) left->erase(count);
    if (entered != nullptr) ++(*entered)[key];
  }
  run.phase = phase;
}

void CacheIndex::Apply(const CacheNotice& notice) {
  if (last_sequence_ && notice.sequence <= *last_sequence_) return;
  if (last_sequence_ && notice.sequence != *last_sequence_ + 1) {
    ++gaps_;
    MarkEntriesUnconfirmed();
  }
  last_sequence_ = notice.sequence;
  switch (notice.kind) {
    case CacheChange::kStored:
      return Store(notice);
    case CacheChange::kRemoved:
      for (const EngineBlockId block : notice.blocks) Remove(block);
      return;
    case CacheChange::kCleared:
      return ClearEntries();
  }
}

void CacheIndex::Store(const CacheNotice& notice) {
  const auto run = runs_.find(notice.run_id);
  if (run == runs_.end()) return;
  const std::vector<PieceKey>& keys = run->second.keys;
  const size_t count = std::min(keys.size(), notice.blocks.size());
  for (size_t i = 0; i < count; ++i) {
    const EngineBlockId block = notice.blocks[i];
    // Keys and blocks map one to one; an earlier mapping of either is out of
    // date.
    Remove(block);
    const auto known = entries_.find(keys[i]);
    if (known != entries_.end()) Remove(known->second.block);
    entries_[keys[i]] = {block, true};
    key_of_block_[block] = keys[i];
  }
}

void CacheIndex::Remove(EngineBlockId block) {
  const auto found = key_of_block_.find(block);
  if (found == key_of_block_.end()) return;
  entries_.erase(found->second);
  key_of_block_.erase(found);
}

// A lost notice may have removed any entry, though most are still cached: until
// the next gap they serve as estimates and are never reported as confirmed.
void CacheIndex::MarkEntriesUnconfirmed() {
  std::erase_if(key_of_block_, [this](const auto& pair) {
    return !entries_.at(pair.second).is_confirmed;
  });
  std::erase_if(entries_,
                [](const auto& pair) { return !pair.second.is_confirmed; });
  for (auto& [key, entry] : entries_) entry.is_confirmed = false;
}

bool CacheIndex::IsConfirmed(PieceKey key) const {
  const auto found = entries_.find(key);
  return found != entries_.end() && found->second.is_confirmed;
}

void CacheIndex::ClearEntries() {
  entries_.clear();
  key_of_block_.clear();
}

}  // namespace dogwoodlatch
