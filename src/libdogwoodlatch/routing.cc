#include "dogwoodlatch/routing.h"

#include <algorithm>

#include "dogwoodlatch/prefix_key.h"

namespace dogwoodlatch {
namespace {

uint64_t RendezvousScore(const TargetEntry& target, PieceKey key) {
  return DigestOf(
      {target.id.value,
       std::string_view(reinterpret_cast<const char*>(&key), sizeof(key))});
}

// The chain's keys at a few nesting depths, deepest shared level first.
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
  // A piece that another request is prefilling now is in the queue already:
  // waiting for it takes no work of its own.
  const uint64_t pieces = std::max(reply.cached_pieces, reply.pending_pieces);
  const uint64_t cached =
      std::min<uint64_t>(prompt.prompt_tokens, pieces * prompt.piece_tokens);
  const double recompute =
      static_cast<double>(prompt.prompt_tokens - cached) / rate;
  const double queue = static_cast<double>(reply.queued_tokens) / rate;
  return queue + recompute * (1 + policy.recompute_weight);
}

}  // namespace

std::vector<TargetId> PickCandidates(
    std::span<const TargetEntry* const> serving, const PromptShape& prompt,
    const RoutingPolicy& policy) {
  std::vector<TargetId> candidates;
  const std::vector<PieceKey> depths = SampleDepths(prompt.piece_keys);
  std::vector<const TargetEntry*> ranked(serving.begin(), serving.end());
  // Round by round each depth names its next best home, so that deep and
  // shallow homes are both asked.
  for (size_t round = 0;
       candidates.size() < std::min(policy.max_candidates, serving.size());
       ++round) {
    const PieceKey key = depths[round % depths.size()];
    std::ranges::sort(ranked, std::greater(), [key](const TargetEntry* target) {
      return RendezvousScore(*target, key);
    });
    const auto fresh =
        std::ranges::find_if(ranked, [&](const TargetEntry* target) {
          return std::ranges::find(candidates, target->id) == candidates.end();
        });
    if (fresh == ranked.end()) break;
    candidates.push_back((*fresh)->id);
  }
  return candidates;
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
