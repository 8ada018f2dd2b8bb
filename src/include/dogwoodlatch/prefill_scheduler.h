/// Prefill scheduling of an agent: which requests wait, which go to the engine,
/// and what probe replies report about cache and queue.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/admission_queue.h"
#include "dogwoodlatch/cache_index.h"
#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// One attempt to be prefilled.
struct PrefillRequest {
  RequestId run_id;  ///< the attempt's identifier at the engine
  WorkspaceId workspace;
  double share = 1;
  int priority = 0;
  std::vector<PieceKey> piece_keys;
  uint32_t prompt_tokens = 0;
  uint32_t piece_tokens = 0;
  TimePoint deadline;  ///< for the first token
};

/// A run removed from the queue, to be sent to the engine or shed.
struct PrefillDispatch {
  RequestId run_id;
  std::optional<Shed> shed;
};

/// Not thread-safe.
class PrefillScheduler {
 public:
  explicit PrefillScheduler(AdmissionLimits limits) : queue_(limits) {}

  /// Sets the engine's current cache epoch and prefill rate.
  void SetEngine(CacheEpoch epoch, uint64_t tokens_per_second);

  /// Queues the request, or sheds it immediately.
  std::optional<Shed> Offer(PrefillRequest request, TimePoint now);

  /// Removes the next run from the queue; none while the queue is empty or the
  /// engine is full.
  std::optional<PrefillDispatch> Take(TimePoint now);

  /// The engine has produced the run's first token.
  void OnPrefilled(const RequestId& run_id) { queue_.OnEnded(run_id); }

  /// The run has ended, at the engine or in the queue.
  void OnEnded(const RequestId& run_id);

  void Apply(const CacheEpoch& epoch, std::span<const CacheNotice> notices) {
    index_.Apply(epoch, notices);
  }

  /// Sets the fields of `reply` for cached pieces, pending pieces and queued
  /// tokens.
  void FillReply(const Probe& probe, ProbeReply& reply) const;

  const CacheIndex& index() const { return index_; }
  const AdmissionQueue& queue() const { return queue_; }

 private:
  static uint64_t UncachedTokens(const PrefillRequest& request,
                                 uint32_t held_pieces);

  AdmissionQueue queue_;
  CacheIndex index_;
  CacheEpoch epoch_;
  uint64_t tokens_per_second_ = 0;
  std::unordered_map<RequestId, PrefillRequest> queued_;
};

}  // namespace dogwoodlatch
