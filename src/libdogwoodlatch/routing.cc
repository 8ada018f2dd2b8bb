#include "dogwoodlatch/routing.h"

#include <algorithm>
#include <iterator>

#include "dogwoodlatch/prefix_key.h"

namespace dogwoodlatch {
namespace {

// Weight of the delay to other requests: the cost in seconds of adding one
// second of prefill to a queue of one second. A second that the request itself
// waits costs 1.
constexpr double kDelayWeight = 0.5;

// The finalizer of SplitMix64: every input bit affects every output bit.
uint64_t Mix64(uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

struct RankedTarget {
  const TargetEntry* target = nullptr;
  uint64_t seed = 0;
  uint64_t score = 0;
};

// The `count` targets with the highest scores for one key, best first. Linear
// in the number of targets.
std::vector<const TargetEntry*> TopRankedTargets(
    std::vector<RankedTarget>& targets, PieceKey key, size_t count) {
  for (RankedTarget& ranked : targets) ranked.score = Mix64(ranked.seed ^ key);
  const auto middle = targets.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(count, targets.size()));
  std::ranges::partial_sort(targets, middle, std::greater(),
                            &RankedTarget::score);
  std::vector<const TargetEntry*> top_targets;
  std::transform(targets.begin(), middle, std::back_inserter(top_targets),
                 [](const RankedTarget& ranked) { return ranked.target; });
  return top_targets;
}

// The chain's keys at depths that are powers of two, deepest first; one zero
// key if the chain is empty.
std::vector<PieceKey> SampleDepths(const std::vector<PieceKey>& keys) {
  std::vector<PieceKey> sample;
  for (size_t depth = 1; depth <= keys.size(); depth *= 2) {
    sample.push_back(keys[depth - 1]);
  }
  if (sample.empty()) sample.push_back(0);
  std::ranges::reverse(sample);
  return sample;
}

double CostSeconds(const ProbedTarget& probed, const PromptShape& prompt,
                   const RoutingPolicy& policy) {
  const ProbeReply& reply = probed.reply;
  const double rate =
      std::max<double>(1, static_cast<double>(reply.prefill_tokens_per_second));
  // A piece that another request is prefilling is already part of the queue:
  // waiting for it adds no prefill.
  const uint64_t pieces = std::max(reply.cached_pieces, reply.pending_pieces);
  const uint64_t cached =
      std::min<uint64_t>(prompt.prompt_tokens, pieces * prompt.piece_tokens);
  const double recompute_seconds =
      static_cast<double>(prompt.prompt_tokens - cached) / rate;
  const double queue_seconds = static_cast<double>(reply.queued_tokens) / rate;
  // Prefill added to a busy engine delays every request that arrives while the
  // queue lasts.
  const double delay_to_others =
      kDelayWeight * recompute_seconds * queue_seconds;
  // The request takes the same network path as its probe, which is short within
  // the router's own failure domain.
  const double network_seconds =
      std::chrono::duration<double>(probed.round_trip).count();
  return network_seconds + queue_seconds +
         recompute_seconds * (1 + policy.recompute_weight) + delay_to_others;
}

void AddCandidate(const TargetEntry* target, size_t wanted, size_t domain_limit,
                  std::vector<const TargetEntry*>& candidates) {
  if (candidates.size() >= wanted) return;
  if (std::ranges::find(candidates, target) != candidates.end()) return;
  const auto in_domain = static_cast<size_t>(std::ranges::count(
      candidates, target->failure_domain, &TargetEntry::failure_domain));
  if (in_domain < domain_limit) candidates.push_back(target);
}

}  // namespace

std::vector<TargetId> PickCandidates(
    std::span<const TargetEntry* const> serving, const PromptShape& prompt,
    const RoutingPolicy& policy) {
  const size_t wanted = std::min(policy.max_candidates, serving.size());
  std::vector<RankedTarget> targets;
  targets.reserve(serving.size());
  for (const TargetEntry* target : serving) {
    targets.push_back({target, ComputeDigest({target->id.value}), 0});
  }
  std::vector<std::vector<const TargetEntry*>> ranked_by_depth;
  for (const PieceKey key : SampleDepths(prompt.piece_keys)) {
    ranked_by_depth.push_back(TopRankedTargets(targets, key, wanted));
  }
  // Depths take turns in contributing their next best target, so that targets
  // of deep and of shallow prefixes are both probed. In the first pass no
  // failure domain gets more than half of the candidates, so that some remain
  // if one domain is lost; the second pass fills up regardless of domain.
  std::vector<const TargetEntry*> candidates;
  for (const size_t domain_limit : {(wanted + 1) / 2, wanted}) {
    for (size_t rank = 0; rank < wanted; ++rank) {
      for (const auto& targets_of_key : ranked_by_depth) {
        AddCandidate(targets_of_key[rank], wanted, domain_limit, candidates);
      }
    }
  }
  std::vector<TargetId> ids;
  std::ranges::transform(candidates, std::back_inserter(ids), &TargetEntry::id);
  return ids;
}

std::optional<size_t> ChooseTarget(std::span<const ProbedTarget> probed,
                                   const PromptShape& prompt,
                                   const RoutingPolicy& policy) {
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < probed.size(); ++i) {
    if (probed[i].reply.draining || !probed[i].reply.healthy) continue;
    const double cost = CostSeconds(probed[i], prompt, policy);
    if (best && cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace dogwoodlatch
