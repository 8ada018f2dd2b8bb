#include "dogwoodlatch/prefill_scheduler.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {

void PrefillScheduler::SetEngine(CacheEpoch epoch, uint64_t tokens_per_second) {
  epoch_ = std::move(epoch);
  tokens_per_second_ = tokens_per_second;
}

std::optional<Shed> PrefillScheduler::Offer(PrefillRequest request,
                                            TimePoint now) {
  const uint32_t pending = index_.PendingPieces(epoch_, request.piece_keys);
  const std::optional<Shed> shed = queue_.Offer(
      {request.run_id, request.workspace, request.share, request.priority,
       UncachedTokens(request, pending), request.deadline},
      now, tokens_per_second_);
  if (shed) return shed;
  index_.OnQueued(request.run_id.value, request.piece_keys);
  const RequestId run_id = request.run_id;
  queued_[run_id] = std::move(request);
  return std::nullopt;
}

std::optional<PrefillDispatch> PrefillScheduler::Take(TimePoint now) {
  const std::optional<DequeuedWork> taken =
      queue_.Take(now, tokens_per_second_);
  if (!taken) return std::nullopt;
  const RequestId& run_id = taken->work.id;
  const auto queued = queued_.find(run_id);
  if (taken->shed) {
    index_.OnEnded(run_id.value);
  } else {
    // Since the request arrived, pieces that were pending may have been
    // evicted, and missing ones cached.
    const uint32_t held =
        index_.CachedOrPrefillingPieces(epoch_, queued->second.piece_keys);
    queue_.CorrectCost(run_id, UncachedTokens(queued->second, held));
    index_.OnSubmitted(run_id.value);
  }
  queued_.erase(queued);
  return PrefillDispatch{run_id, taken->shed};
}

void PrefillScheduler::OnEnded(const RequestId& run_id) {
  queue_.OnEnded(run_id);
  index_.OnEnded(run_id.value);
  queued_.erase(run_id);
}

void PrefillScheduler::FillReply(const Probe& probe, ProbeReply& reply) const {
  reply.cached_pieces = index_.CachedPieces(epoch_, probe.piece_keys);
  reply.pending_pieces = index_.PendingPieces(epoch_, probe.piece_keys);
  // Reports the whole queue rather than the part ahead of one workspace: with
  // only that part, a small workspace's requests would be routed to busy
  // replicas, where they delay all others.
  reply.queued_tokens = queue_.engine_tokens() + queue_.queued_tokens();
}

uint64_t PrefillScheduler::UncachedTokens(const PrefillRequest& request,
                                          uint32_t held_pieces) {
  const uint64_t held = uint64_t{held_pieces} * request.piece_tokens;
  return request.prompt_tokens -
         std::min<uint64_t>(request.prompt_tokens, held);
}

}  // namespace dogwoodlatch
