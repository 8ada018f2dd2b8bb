#include "dogwoodlatch/serving/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace dogwoodlatch::serving {
namespace {

// Prompt tokens that an engine reads in a millisecond; from the deployments'
// description of their engines.
constexpr double kPrefillTokensPerMs = 157.0;

// A request running beside others slows each step; from the same source.
constexpr double kBatchSlotMs = 0.3;

// Work of a plain request, by which a busy slot is charged.
constexpr double kPlainWorkMs = 15.0;

// Sending to another failure domain costs two crossings of 1.4 ms and is
// priced by bytes.
constexpr double kOtherDomainMs = 6.0;

// Answers on older weights lose a fifth of their worth, like an answer that is
// late by a part of its 500 ms objective.
constexpr double kOldWeightsMs = 150.0;

// A target that fails more than its peers is charged a lost attempt.
constexpr double kFailureMs = 400.0;
constexpr double kFailureMargin = 0.1;

// A target that just refused, or whose requests have waited in silence.
constexpr double kRefusingMs = 600.0;
constexpr double kSilentMs = 800.0;
constexpr Duration kSilenceLimit = std::chrono::milliseconds(350);

uint64_t Hash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

double PenaltyOf(bool applies, double charge) { return applies ? charge : 0.0; }

}  // namespace

uint64_t PartKey(const PromptPart& part, std::string_view cache_group) {
  return Hash(cache_group, part.id);
}

uint64_t AffinityPart(const Prompt& prompt, std::string_view cache_group) {
  if (prompt.parts.empty()) return 0;
  const size_t deepest_shared =
      prompt.parts.size() >= 2 ? prompt.parts.size() - 2 : 0;
  return PartKey(prompt.parts[deepest_shared], cache_group);
}

namespace {

// Tokens of the prompt that the target has to read. The home of a prompt is
// taken to hold the shared parts, as every router sends them there.
uint32_t MissingTokens(const Target& target, const Prompt& prompt,
                       std::string_view cache_group, bool is_home,
                       TimePoint now) {
  uint32_t held = 0;
  for (size_t i = 0; i < prompt.parts.size(); ++i) {
    const bool is_own_part = i + 1 == prompt.parts.size();
    const uint64_t key = PartKey(prompt.parts[i], cache_group);
    const bool is_held = target.signals.HoldsPart(key, now) ||
                         (is_home && !is_own_part);
    if (!is_held) break;
    held += prompt.parts[i].tokens;
  }
  return prompt.input_tokens - std::min(held, prompt.input_tokens);
}

}  // namespace

std::optional<Placement> PlacementPolicy::Choose(
    std::span<const Fleet::TargetPtr> serving, const PlacementRequest& request,
    TimePoint now) const {
  std::vector<Fleet::TargetPtr> usable;
  std::ranges::copy_if(
      serving, std::back_inserter(usable), [&](const Fleet::TargetPtr& target) {
        return std::ranges::find(request.tried, target->record.id) ==
               request.tried.end();
      });
  // Targets in avoidance are a last resort: one of them may be back.
  const auto is_avoided = [&](const Fleet::TargetPtr& target) {
    return target->signals.IsAvoided(now);
  };
  if (!std::ranges::all_of(usable, is_avoided)) {
    std::erase_if(usable, is_avoided);
  }
  if (usable.empty()) return std::nullopt;

  const double least_failing = std::ranges::min(
      usable | std::views::transform([](const Fleet::TargetPtr& target) {
        return target->signals.failure_share();
      }));
  const uint64_t affinity =
      request.prompt ? AffinityPart(*request.prompt, request.cache_group) : 0;
  const auto affinity_rank = [&](const Fleet::TargetPtr& target) {
    return Hash(target->record.id, affinity);
  };
  const Target* home =
      request.prompt
          ? std::ranges::max_element(usable, {}, affinity_rank)->get()
          : nullptr;

  const auto weigh = [&](const Fleet::TargetPtr& target) {
    const TargetSignals& signals = target->signals;
    const bool is_home = target.get() == home;
    const uint32_t missing =
        request.prompt ? MissingTokens(*target, *request.prompt,
                                       request.cache_group, is_home, now)
                       : 0;
    const double work_ms =
        request.prompt
            ? (static_cast<double>(signals.prefill_backlog()) + missing) /
                      kPrefillTokensPerMs +
                  kBatchSlotMs * signals.in_flight()
            : kPlainWorkMs * signals.in_flight() /
                  std::max(1, target->record.slots);
    const double failing = std::max(
        0.0, signals.failure_share() - least_failing - kFailureMargin);
    const bool is_behind =
        request.prompt && request.weights_overdue &&
        target->WeightsOf(request.prompt->model) < request.newest_weights;
    const double penalty_ms =
        PenaltyOf(target->record.failure_domain != own_domain_,
                  kOtherDomainMs) +
        PenaltyOf(is_behind, kOldWeightsMs) + failing * kFailureMs +
        PenaltyOf(signals.IsRefusing(now), kRefusingMs) +
        PenaltyOf(signals.Silence(now) > kSilenceLimit, kSilentMs);
    return std::pair{work_ms + penalty_ms, missing};
  };

  Placement best;
  double best_ms = 0;
  for (const Fleet::TargetPtr& target : usable) {
    const auto [cost_ms, missing] = weigh(target);
    if (best.target && cost_ms >= best_ms) continue;
    best_ms = cost_ms;
    best.target = target;
    best.missing_tokens = missing;
  }
  best.estimate = Duration(static_cast<int64_t>(best_ms * 1000));
  best.usable = usable.size();
  return best;
}

}  // namespace dogwoodlatch::serving
