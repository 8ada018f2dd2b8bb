/// The agent's index of the prompt pieces in its engine's prefix cache.
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

/// The engine's own identifier of a cached piece.
using EngineBlockId = uint64_t;

enum class CacheChange { kStored, kRemoved, kCleared };

/// One change of an engine's cache, as published by the engine.
struct CacheNotice {
  uint64_t sequence = 0;
  CacheChange kind = CacheChange::kStored;
  std::vector<EngineBlockId> blocks;  ///< stored or removed; stored ones are
                                      ///< the run's leading pieces, in order
  std::string run_id;  ///< of kStored: the run's identifier at the engine
};

/// A period in which an engine's cache stays valid. It ends when the engine
/// restarts or loads other weights.
struct CacheEpoch {
  std::string boot_id;
  std::string weights_version;

  bool operator==(const CacheEpoch&) const = default;
};

/// Not thread-safe.
class CacheIndex {
 public:
  /// A run waits for the engine; its pieces count as pending.
  void OnQueued(const std::string& run_id, std::vector<PieceKey> keys);

  /// A queued run was sent to the engine: its pieces are being prefilled, and
  /// later notices refer to it.
  void OnSubmitted(const std::string& run_id);

  /// The run has ended; its pieces no longer count as pending.
  void OnEnded(const std::string& run_id);

  /// Applies notices in order of publication; `epoch` is the engine's epoch
  /// when they were read.
  void Apply(const CacheEpoch& epoch, std::span<const CacheNotice> notices);

  /// Number of leading keys that the applied notices confirm to be in the cache
  /// of `epoch`.
  uint32_t CachedPieces(const CacheEpoch& epoch,
                        std::span<const PieceKey> keys) const;

  /// Number of leading keys that are cached in `epoch`, confirmed or not, or
  /// are being prefilled. After a gap in the notices, earlier entries are kept
  /// as unconfirmed until the next gap.
  uint32_t CachedOrPrefillingPieces(const CacheEpoch& epoch,
                                    std::span<const PieceKey> keys) const;

  /// As CachedOrPrefillingPieces, with the pieces of queued runs included.
  uint32_t PendingPieces(const CacheEpoch& epoch,
                         std::span<const PieceKey> keys) const;

  /// Sequence number of the last applied notice, after which reading continues;
  /// 0 if none was applied since the engine's boot.
  uint64_t last_sequence() const { return last_sequence_.value_or(0); }
  size_t size() const { return entries_.size(); }
  uint64_t gaps() const { return gaps_; }

 private:
  // Notices may arrive after their run has ended, so recently ended runs are
  // kept.
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
