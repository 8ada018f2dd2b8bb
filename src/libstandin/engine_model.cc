#include "dogwoodlatch/standin/engine_model.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "dogwoodlatch/prefix_key.h"

namespace dogwoodlatch::standin {

PrefillPlan EngineModel::Admit(std::string_view request_id,
                               std::span<const BlockId> pieces,
                               uint32_t prompt_tokens, TimePoint now) {
  PrefillPlan plan;
  plan.cached_pieces = CachedPieces(pieces);
  plan.computed_tokens =
      prompt_tokens -
      std::min(prompt_tokens, plan.cached_pieces * parameters_.piece_tokens);
  const Duration work(plan.computed_tokens * Duration::period::den /
                      parameters_.prefill_tokens_per_second);
  prefill_free_at_ = std::max(prefill_free_at_, now) + work;
  plan.first_token = prefill_free_at_;
  InsertPieces(request_id, pieces);
  return plan;
}

uint32_t EngineModel::CachedPieces(std::span<const BlockId> pieces) const {
  const auto missing = std::ranges::find_if(
      pieces, [this](BlockId block) { return !cached_.contains(block); });
  return static_cast<uint32_t>(std::distance(pieces.begin(), missing));
}

void EngineModel::Clear() {
  recency_.clear();
  cached_.clear();
  Publish({0, CacheEventKind::kCleared, {}, ""});
}

std::vector<CacheEvent> EngineModel::EventsAfter(uint64_t sequence) const {
  const auto first =
      std::ranges::upper_bound(events_, sequence, {}, &CacheEvent::sequence);
  return {first, events_.end()};
}

uint64_t EngineModel::BacklogTokens(TimePoint now) const {
  if (prefill_free_at_ <= now) return 0;
  return static_cast<uint64_t>((prefill_free_at_ - now).count()) *
         parameters_.prefill_tokens_per_second / Duration::period::den;
}

void EngineModel::InsertPieces(std::string_view request_id,
                               std::span<const BlockId> pieces) {
  std::vector<BlockId> removed;
  // The last piece is inserted first, so that leading pieces, which other
  // prompts may share, are more recent and evicted later.
  for (auto block = pieces.rbegin(); block != pieces.rend(); ++block) {
    const auto found = cached_.find(*block);
    if (found != cached_.end()) recency_.erase(found->second);
    recency_.push_front(*block);
    cached_[*block] = recency_.begin();
  }
  while (cached_.size() > parameters_.cache_pieces) {
    removed.push_back(recency_.back());
    cached_.erase(recency_.back());
    recency_.pop_back();
  }
  if (!pieces.empty()) {
    Publish({0,
             CacheEventKind::kStored,
             {pieces.begin(), pieces.end()},
             std::string(request_id)});
  }
  if (!removed.empty()) {
    Publish({0, CacheEventKind::kRemoved, std::move(removed), ""});
  }
}

void EngineModel::Publish(CacheEvent event) {
  event.sequence = ++last_sequence_;
  events_.push_back(std::move(event));
  if (events_.size() > kMaxEvents) events_.pop_front();
}

std::vector<BlockId> ComputePromptBlocks(std::string_view salt,
                                         std::string_view prompt,
                                         size_t piece_bytes) {
  return ChainPieceKeys(WorkspaceId{std::string(salt)}, "engine", prompt,
                        piece_bytes);
}

std::string MakeResponseWord(uint64_t prompt_digest, uint32_t index) {
  const uint64_t word =
      ComputeDigest({std::to_string(prompt_digest), std::to_string(index)});
  return "w" + std::to_string(word % 100000) + " ";
}

}  // namespace dogwoodlatch::standin
