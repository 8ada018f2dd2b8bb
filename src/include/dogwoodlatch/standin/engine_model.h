/// The engine stand-in's small model: a bounded cache of prompt pieces, a
/// prefill timeline and a decode rate.
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

/// The engine's own name of a cached piece.
using BlockId = uint64_t;

struct EngineParameters {
  size_t cache_pieces = 64;
  uint32_t piece_tokens = 2048;
  uint64_t prefill_tokens_per_second = 20000;
  Duration token_interval = std::chrono::milliseconds(20);
};

enum class CacheEventKind { kStored, kRemoved, kCleared };

/// One change of the cache, as the engine publishes it.
struct CacheEvent {
  uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::kStored;
  std::vector<BlockId>
      blocks;  ///< of kStored: the leading pieces of the request, in order
  std::string request_id;  ///< of kStored
};

/// When one request's first token comes and what of its prompt was cached.
struct PrefillPlan {
  TimePoint first_token;
  uint32_t cached_pieces = 0;
  uint32_t computed_tokens = 0;
};

/// Not thread-safe. All times are passed in, so the model runs in real or
/// virtual time.
class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters) : parameters_(parameters) {}

  /// Admits a prompt: waits for the prefill ahead of it, computes what is not
  /// cached, keeps its pieces.
  PrefillPlan Admit(std::string_view request_id,
                    std::span<const BlockId> pieces, uint32_t prompt_tokens,
                    TimePoint now);

  /// Leading pieces in the cache now.
  uint32_t CachedPieces(std::span<const BlockId> pieces) const;

  /// Drops the whole cache, as new weights do.
  void Clear();

  /// Events after `sequence`, oldest first.
  std::vector<CacheEvent> EventsAfter(uint64_t sequence) const;
  uint64_t last_sequence() const { return last_sequence_; }

  /// Prefill work that is still ahead, in tokens.
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

/// The engine's blocks of a prompt: chained hashes of its whole pieces. Prompts
/// under different salts share none.
std::vector<BlockId> ComputePromptBlocks(std::string_view salt,
                                         std::string_view prompt,
                                         size_t piece_bytes);

/// Word `index` of the answer to a prompt; the same on every replica, so an
/// answer can be continued elsewhere.
std::string MakeResponseWord(uint64_t prompt_digest, uint32_t index);

}  // namespace dogwoodlatch::standin
