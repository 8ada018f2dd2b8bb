/// The agent's index of what its engine surely holds in its prefix cache.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/messages.h"

namespace dogwoodlatch {

/// The engine's own name of a cached piece.
using EngineBlockId = uint64_t;

enum class CacheChange { kStored, kRemoved, kCleared };

/// One change of an engine's cache, as the engine publishes it.
struct CacheNotice {
  uint64_t sequence = 0;
  CacheChange kind = CacheChange::kStored;
  std::vector<EngineBlockId>
      blocks;          ///< of kStored: the leading pieces, in order
  std::string run_id;  ///< of kStored: the request's name there
};

/// One life of an engine's cache; nothing is valid across two of them.
struct CacheEpoch {
  std::string boot_id;
  std::string weights_version;

  bool operator==(const CacheEpoch&) const = default;
};

/// Not thread-safe.
class CacheIndex {
 public:
  /// A run waits for the engine; its pieces are pending.
  void OnQueued(const std::string& run_id, std::vector<PieceKey> keys);

  /// A queued run was sent to the engine: its pieces are being prefilled, and
  /// later notices name it.
  void OnSubmitted(const std::string& run_id);

  /// The run has ended; its pieces count as pending no longer.
  void OnEnded(const std::string& run_id);

  /// Applies the notices that the engine published up to a moment of `life`.
  void Apply(const CacheEpoch& epoch, std::span<const CacheNotice> notices);

  /// Leading keys that the last notices say are in the cache of `life`.
  uint32_t CachedPieces(const CacheEpoch& epoch,
                        std::span<const PieceKey> keys) const;

  /// Leading keys that are probably in the cache of `life`, or in prefill now.
  /// After a gap, entries are probable until the next gap.
  uint32_t CachedOrPrefillingPieces(const CacheEpoch& epoch,
                                    std::span<const PieceKey> keys) const;

  /// Leading keys that are held, or will be by runs in the queue.
  uint32_t PendingPieces(const CacheEpoch& epoch,
                         std::span<const PieceKey> keys) const;

  /// Where to go on reading: the last sequence number of the present life.
  uint64_t last_sequence() const { return last_sequence_.value_or(0); }
  size_t size() const { return entries_.size(); }
  uint64_t gaps() const { return gaps_; }

 private:
  // Late notices name runs that have ended, so a few of those are kept.
  static constexpr size_t kMaxEndedRuns = 1024;

  struct Entry {
    EngineBlockId block = 0;
    bool is_confirmed = true;
  };

  enum class Phase { kQueued, kSubmitted, kEnded };

  struct Run {
    std::vector<PieceKey> keys;
    Phase phase = Phase::kQueued;
  };

  using RunCounts = std::unordered_map<PieceKey, uint32_t>;

  template <typename Predicate>
  static uint32_t CountLeading(std::span<const PieceKey> keys,
                               Predicate predicate);
  RunCounts* CountsForPhase(Phase phase);
  void SetPhase(Run& run, Phase phase);

  void Apply(const CacheNotice& notice);
  void Store(const CacheNotice& notice);
  void Remove(EngineBlockId block);
  void ClearEntries();
  void MarkEntriesUnconfirmed();
  bool IsConfirmed(PieceKey key) const;

  CacheEpoch epoch_;
  std::optional<uint64_t> last_sequence_;
  std::unordered_map<PieceKey, Entry> entries_;
  std::unordered_map<EngineBlockId, PieceKey> key_of_block_;
  RunCounts queued_;
  RunCounts submitted_;
  std::unordered_map<std::string, Run> runs_;
  std::deque<std::string> ended_;  // oldest first
  uint64_t gaps_ = 0;
};

}  // namespace dogwoodlatch
