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

void CacheIndex::Apply(const CacheLife& life,
                       std::span<const CacheNotice> notices) {
  const bool is_new_boot = life.boot_id != life_.boot_id;
  const bool is_new_life = life != life_;
  if (is_new_life) ForgetEntries();
  if (is_new_boot) last_sequence_.reset();
  life_ = life;
  for (const CacheNotice& notice : notices) Apply(notice);
  // Without the notice of the cleared cache, what was stored before the new
  // weights cannot be told from what was stored after.
  const bool has_cleared =
      std::ranges::find(notices, CacheChange::kCleared, &CacheNotice::kind) !=
      notices.end();
  if (is_new_life && !is_new_boot && !has_cleared) ForgetEntries();
}

template <typename Predicate>
uint32_t CacheIndex::CountLeading(std::span<const PieceKey> keys,
                                  Predicate predicate) {
  const auto end = std::ranges::find_if_not(keys, predicate);
  return static_cast<uint32_t>(std::distance(keys.begin(), end));
}

uint32_t CacheIndex::CachedPieces(const CacheLife& life,
                                  std::span<const PieceKey> keys) const {
  if (life != life_) return 0;
  return CountLeading(
      keys, [this](PieceKey key) { return block_of_key_.contains(key); });
}

uint32_t CacheIndex::HeldPieces(const CacheLife& life,
                                std::span<const PieceKey> keys) const {
  const bool is_known = life == life_;
  return CountLeading(keys, [this, is_known](PieceKey key) {
    return (is_known && block_of_key_.contains(key)) ||
           submitted_.contains(key);
  });
}

uint32_t CacheIndex::PendingPieces(const CacheLife& life,
                                   std::span<const PieceKey> keys) const {
  const bool is_known = life == life_;
  return CountLeading(keys, [this, is_known](PieceKey key) {
    return (is_known && block_of_key_.contains(key)) ||
           submitted_.contains(key) || queued_.contains(key);
  });
}

CacheIndex::RunCounts* CacheIndex::CountsOf(Phase phase) {
  if (phase == Phase::kEnded) return nullptr;
  return phase == Phase::kQueued ? &queued_ : &submitted_;
}

void CacheIndex::SetPhase(Run& run, Phase phase) {
  RunCounts* const left = CountsOf(run.phase);
  RunCounts* const entered = CountsOf(phase);
  for (const PieceKey key : run.keys) {
    const auto count = left->find(key);
    if (--count->second == 0) left->erase(count);
    if (entered != nullptr) ++(*entered)[key];
  }
  run.phase = phase;
}

void CacheIndex::Apply(const CacheNotice& notice) {
  if (last_sequence_ && notice.sequence <= *last_sequence_) return;
  // Any entry may have been removed by a notice that was lost.
  if (last_sequence_ && notice.sequence != *last_sequence_ + 1) {
    ++gaps_;
    ForgetEntries();
  }
  last_sequence_ = notice.sequence;
  switch (notice.kind) {
    case CacheChange::kStored:
      return Store(notice);
    case CacheChange::kRemoved:
      for (const EngineBlock block : notice.blocks) Remove(block);
      return;
    case CacheChange::kCleared:
      return ForgetEntries();
  }
}

void CacheIndex::Store(const CacheNotice& notice) {
  const auto run = runs_.find(notice.run_id);
  if (run == runs_.end()) return;
  const std::vector<PieceKey>& keys = run->second.keys;
  const size_t count = std::min(keys.size(), notice.blocks.size());
  for (size_t i = 0; i < count; ++i) {
    const EngineBlock block = notice.blocks[i];
    // One key and one block belong together; whatever paired either with
    // another is out of date.
    Remove(block);
    const auto known = block_of_key_.find(keys[i]);
    if (known != block_of_key_.end()) Remove(known->second);
    block_of_key_[keys[i]] = block;
    key_of_block_[block] = keys[i];
  }
}

void CacheIndex::Remove(EngineBlock block) {
  const auto found = key_of_block_.find(block);
  if (found == key_of_block_.end()) return;
  block_of_key_.erase(found->second);
  key_of_block_.erase(found);
}

void CacheIndex::ForgetEntries() {
  block_of_key_.clear();
  key_of_block_.clear();
}

}  // namespace dogwoodlatch
