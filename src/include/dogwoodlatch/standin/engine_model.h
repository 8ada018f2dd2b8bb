/// Simplified model of an inference engine for the stand-in: a bounded cache of
/// prompt pieces, a serial prefill queue and a fixed decode rate.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::standin {

/// The engine's identifier of a cached piece.
using BlockId = uint64_t;

struct EngineParameters {
  size_t cache_pieces = 64;
  uint32_t piece_tokens = 2048;
  uint64_t prefill_tokens_per_second = 20000;
  Duration token_interval = std::chrono::milliseconds(20);
};

enum class CacheEventKind { kStored, kRemoved, kCleared };

/// A cache change that the engine publishes.
struct CacheEvent {
  uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  /// kStored: the leading pieces of the prompt, in order. kRemoved: the evicted
  /// pieces.
  std::vector<BlockId> blocks;
  std::string request_id;  ///< for kStored only
};

/// Time of a request's first token, and how much of its prompt was cached.
struct PrefillPlan {
  TimePoint first_token;
  uint32_t cached_pieces = 0;
  uint32_t computed_tokens = 0;
};

/// Not thread-safe. The caller passes in all times, so the model works in real
/// and simulated time.
class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters) : parameters_(parameters) {}

  /// Admits a prompt: queues the prefill of its uncached part behind earlier
  /// prompts and adds its pieces to the cache.
  PrefillPlan Admit(std::string_view request_id,
                    std::span<const BlockId> pieces, uint32_t prompt_tokens,
                    TimePoint now);

  /// Returns the number of leading pieces that are cached.
  uint32_t CachedPieces(std::span<const BlockId> pieces) const;

  /// Clears the cache, as happens when new weights are loaded.
  void Clear();

  /// Returns the retained events after `sequence`, oldest first.
  std::vector<CacheEvent> EventsAfter(uint64_t sequence) const;
  uint64_t last_sequence() const { return last_sequence_; }

  /// Returns the outstanding prefill work in tokens.
  uint64_t BacklogTokens(TimePoint now) const;

  const EngineParameters& parameters() const { return parameters_; }

 private:
  static constexpr size_t kMaxEvents = 4096;

  void InsertPieces(std::string_view request_id,
                    std::span<const BlockId> pieces);
  void Publish(CacheEvent event);

  EngineParameters parameters_;
  std::list<BlockId> recency_;  // most recent first
  std::unordered_map<BlockId, std::list<BlockId>::iterator> cached_;
  TimePoint prefill_free_at_{};
  uint64_t last_sequence_ = 0;
  std::deque<CacheEvent> events_;
};

/// Computes the engine's block ids of a prompt: chained hashes of its complete
/// pieces. Prompts with different salts share no ids.
std::vector<BlockId> ComputePromptBlocks(std::string_view salt,
                                         std::string_view prompt,
                                         size_t piece_bytes);

/// Returns word `index` of the response to a prompt. It is the same on every
/// replica, so that another replica can continue the response.
std::string MakeResponseWord(uint64_t prompt_digest, uint32_t index);

}  // namespace dogwoodlatch::standin
