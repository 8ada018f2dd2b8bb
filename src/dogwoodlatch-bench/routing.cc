// Measures the time of one routing decision: picking candidates for given piece
// keys and choosing a target by their probe replies.

#include "dogwoodlatch/routing.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "bench.h"

namespace dogwoodlatch::bench {
namespace {

namespace bh = boost::histogram;

constexpr int kDecisions = 20000;
constexpr size_t kPieces = 48;
constexpr uint32_t kPieceTokens = 2048;
constexpr unsigned kHistogramBins = 2000;
constexpr double kHistogramMinUs = 0.1;
constexpr double kHistogramMaxUs = 10000;

std::vector<TargetEntry> MakeTargets(size_t count) {
  std::vector<TargetEntry> targets(count);
  for (size_t i = 0; i < count; ++i) {
    targets[i].id.value = "replica-" + std::to_string(i);
  }
  return targets;
}

PromptShape MakePrompt(std::mt19937_64& random) {
  PromptShape prompt{{}, kPieces * kPieceTokens, kPieceTokens};
  std::generate_n(std::back_inserter(prompt.piece_keys), kPieces,
                  std::ref(random));
  return prompt;
}

std::vector<ProbedTarget> MakeProbeReplies(
    const std::vector<TargetId>& candidates) {
  std::vector<ProbedTarget> probed;
  probed.reserve(candidates.size());
  for (const TargetId& id : candidates) {
    ProbeReply reply;
    reply.cached_pieces = static_cast<uint32_t>(probed.size());
    reply.prefill_tokens_per_second = 20000;
    probed.push_back({id, reply});
  }
  return probed;
}

void MeasureDecisionTime(size_t replicas) {
  const std::vector<TargetEntry> targets = MakeTargets(replicas);
  std::vector<const TargetEntry*> serving;
  serving.reserve(replicas);
  for (const TargetEntry& target : targets) serving.push_back(&target);
  std::mt19937_64 random(replicas);
  auto micros =
      bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
          kHistogramBins, kHistogramMinUs, kHistogramMaxUs));
  for (int i = 0; i < kDecisions; ++i) {
    const PromptShape prompt = MakePrompt(random);
    const auto start = std::chrono::steady_clock::now();
    const auto probed = MakeProbeReplies(PickCandidates(serving, prompt, {}));
    const bool is_chosen = ChooseTarget(probed, prompt, {}).has_value();
    const auto end = std::chrono::steady_clock::now();
    if (!is_chosen) return;
    micros(std::chrono::duration<double, std::micro>(end - start).count());
  }
  nlohmann::json line = {{"bench", "routing"}, {"replicas", replicas}};
  double cumulative = 0;
  for (const auto& cell : bh::indexed(micros, bh::coverage::all)) {
    const double before = cumulative;
    cumulative += *cell;
    for (const double quantile : {0.5, 0.99}) {
      const double rank = quantile * kDecisions;
      if (before < rank && cumulative >= rank) {
        line[quantile > 0.5 ? "p99_us" : "p50_us"] = cell.bin().upper();
      }
    }
  }
  std::cout << line.dump() << "\n";
}

}  // namespace

int RunRoutingBench(std::span<const std::string>) {
  for (const size_t replicas : {10U, 100U, 760U}) MeasureDecisionTime(replicas);
  return 0;
}

}  // namespace dogwoodlatch::bench
