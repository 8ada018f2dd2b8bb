#include "dogwoodlatch/serving/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

#include "dogwoodlatch/serving/rendezvous.h"

namespace dogwoodlatch::serving {
namespace {

using TargetPtr = Fleet::TargetPtr;
using Candidates = std::span<const TargetPtr* const>;

// Sending to another failure domain takes two crossings of 1.4 ms, and the
// traffic between domains is charged by the byte.
constexpr double kOtherDomainPenaltyMs = 6.0;

// All routers prefer the same home target for a prompt; sending it elsewhere is
// worthwhile only if that saves more than this time.
constexpr double kNotHomePenaltyMs = 12.0;

// An answer on older weights loses a fifth of its value, like an answer that
// exceeds its 500 ms objective by some share.
constexpr double kOldWeightsPenaltyMs = 150.0;

// A target whose failure rate exceeds the lowest one by more than the margin is
// charged the cost of a lost attempt, in proportion to the excess.
constexpr double kFailurePenaltyMs = 400.0;
constexpr double kFailureMargin = 0.1;

// Charged to a target whose wait would get the request rejected. It outweighs
// the penalties for older weights and for not being the home target, but not
// that for a draining target.
constexpr double kTooLatePenaltyMs = 250.0;

// A draining target serves again only after more than a second.
constexpr double kDrainingPenaltyMs = 400.0;

// Charged to a target that has just refused a request, and to one that has sent
// nothing for longer than the limit although requests wait there.
constexpr double kRefusingPenaltyMs = 600.0;
constexpr double kUnresponsivePenaltyMs = 800.0;
constexpr Duration kUnresponsiveLimit = std::chrono::milliseconds(350);

// A request whose own prefill leaves no room for shorter ones may still wait
// for this part of it: else it would be refused whenever no target is idle.
constexpr int kMinRoomDivisor = 4;

// Charged to a target where the request would wait for memory or make another
// one lose its own, so that it goes there only if it fits nowhere else.
constexpr double kNoMemoryPenaltyMs = 1000.0;

// Longest time for which a part is assumed to stay cached after its use; also
// the assumption if the memory of the target is unknown.
constexpr Duration kMaxAssumedRetention = std::chrono::seconds(3);

uint64_t Hash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

double PenaltyIf(bool applies, double charge) { return applies ? charge : 0.0; }

// Tokens that a request and those before it need in addition to the target's
// memory: what is reported as used, what waits for prefill or was sent since
// the report, the request, and the growth of running requests, which have on
// average half of their output before them. Not positive if the request fits.
double MissingMemory(const Target& target, const LoadReport& report,
                     double backlog_ms, const PlacementRequest& request,
                     TimePoint now) {
  if (report.memory_total == 0) return 0;
  const double output = ExpectedOutput(*request.prompt);
  const double unreported =
      std::max(TokensOfWork(backlog_ms),
               static_cast<double>(target.signals.UnreportedMemory(now)));
  return static_cast<double>(report.memory_used - report.memory_total) +
         unreported + request.prompt->input_tokens + request.answered_tokens +
         output + report.active * output / 2;
}

// Time until running requests have freed as much memory.
double MemoryWaitMs(double missing, const LoadReport& report,
                    const EngineProfile& engine) {
  if (report.memory_total == 0) return 0;
  return std::max(
      0.0, missing / static_cast<double>(report.memory_total) * engine.run_ms);
}

// A target whose memory is too small for the request crashes under it.
bool CanHold(const LoadReport& report, const PlacementRequest& request) {
  return report.memory_total == 0 ||
         int64_t{request.prompt->input_tokens} + request.answered_tokens +
                 request.prompt->max_output_tokens <=
             report.memory_total;
}

Duration FromMs(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// How long a part stays cached after its use: other prompts fill the evictable
// memory, and the least recently used parts are evicted first.
Duration EstimateRetention(const Target& target, TimePoint now) {
  const LoadReport report = target.signals.Report(now);
  if (report.memory_total == 0) return kMaxAssumedRetention;
  const auto evictable =
      static_cast<double>(report.memory_total - report.memory_used);
  const double fill_rate =
      target.signals.engine().Profile(now).CacheFillTokensPerMs();
  return std::clamp(FromMs(evictable / fill_rate), Duration{0},
                    kMaxAssumedRetention);
}

double MinFailureRate(Candidates targets) {
  double lowest = 1;
  for (const TargetPtr* target : targets) {
    lowest = std::min(lowest, (*target)->signals.failure_rate());
  }
  return lowest;
}

// The targets on the same weights, and which parts of a prompt they have
// cached.
struct WeightsGroup {
  uint64_t weights = 0;
  std::string cache_group;
  std::vector<uint64_t> shared_parts;
  std::vector<const TargetPtr*> targets;
  std::vector<double> scores;    ///< of the targets for the deepest shared part
  size_t cached_part_count = 0;  ///< leading shared parts that can be fetched
};

size_t CountLeadingCachedParts(const Target& target,
                               std::span<const uint64_t> parts, TimePoint now) {
  const auto missing = std::ranges::find_if_not(parts, [&](uint64_t part) {
    return target.signals.HoldsPart(part, now);
  });
  return static_cast<size_t>(missing - parts.begin());
}

// With equal weights, hashes rank the targets as their scores would.
std::vector<double> RendezvousScores(Candidates targets, uint64_t key,
                                     std::span<const double> weights) {
  const bool are_equal =
      std::ranges::all_of(weights, [](double weight) { return weight == 1.0; });
  std::vector<double> scores;
  scores.reserve(targets.size());
  for (size_t i = 0; i < targets.size(); ++i) {
    const std::string& id = (*targets[i])->record.id;
    scores.push_back(are_equal ? static_cast<double>(Hash(id, key))
                               : RendezvousScore(id, key, weights[i]));
  }
  return scores;
}

// The deepest shared part ranks the targets alike at every router. Targets that
// are lastingly faster are the home of more parts.
WeightsGroup MakeGroup(std::vector<const TargetPtr*> targets, uint64_t weights,
                       const PlacementRequest& request, TimePoint now) {
  WeightsGroup group;
  group.weights = weights;
  group.cache_group = CacheGroupName(weights, request.cache_scope);
  group.shared_parts = SharedPartKeys(*request.prompt, group.cache_group);
  group.targets = std::move(targets);
  const uint64_t affinity =
      group.shared_parts.empty() ? 0 : group.shared_parts.back();
  std::vector<double> capacities;
  capacities.reserve(group.targets.size());
  for (const TargetPtr* target : group.targets) {
    capacities.push_back(1 / (*target)->signals.engine().LastingSlowness(now));
  }
  group.scores = RendezvousScores(group.targets, affinity, capacities);
  const bool is_saved =
      request.saved_parts != nullptr && !group.shared_parts.empty() &&
      request.saved_parts->IsSaved(group.shared_parts.back(), now);
  if (is_saved) group.cached_part_count = group.shared_parts.size();
  for (const TargetPtr* target : group.targets) {
    if (group.cached_part_count == group.shared_parts.size()) break;
    group.cached_part_count =
        std::max(group.cached_part_count,
                 CountLeadingCachedParts(**target, group.shared_parts, now));
  }
  return group;
}

// Where a target fetches shared parts that it lacks: from the other target that
// used them last; from the cache store if that target has probably evicted them
// and the store has them, or if no other target is known to have used them;
// without a store, from the other target that ranks highest. A wrong guess
// costs a millisecond.
std::string ChooseFetchSource(const WeightsGroup& group,
                              const TargetPtr& target,
                              const PlacementRequest& request, TimePoint now) {
  if (group.shared_parts.empty()) return {};
  const uint64_t deepest = group.shared_parts.back();
  // Ranked by last use and then by score; targets without a use come last.
  using Rank = std::pair<std::optional<TimePoint>, double>;
  const TargetPtr* holder = nullptr;
  Rank best;
  for (size_t i = 0; i < group.targets.size(); ++i) {
    const TargetPtr& other = *group.targets[i];
    if (other == target) continue;
    const Rank rank = {other->signals.LastUse(deepest, now), group.scores[i]};
    if (holder != nullptr && rank <= best) continue;
    holder = &other;
    best = rank;
  }
  const std::optional<TimePoint> used = best.first;
  const bool is_saved = request.saved_parts != nullptr &&
                        !request.cache_store.empty() &&
                        request.saved_parts->IsSaved(deepest, now);
  const bool is_recent =
      used && now - *used <= EstimateRetention(**holder, now);
  if (used && (is_recent || !is_saved)) return (*holder)->record.address;
  if (!request.cache_store.empty()) return std::string(request.cache_store);
  return holder == nullptr ? std::string() : (*holder)->record.address;
}

// Shorter requests that come later wait for the backlog and this request.
std::optional<Duration> MaxBacklog(const PlacementRequest& request,
                                   Duration prefill, TimePoint now) {
  if (request.mix == nullptr) return std::nullopt;
  const auto room = request.mix->Room(request.priority, prefill, now);
  if (!room) return std::nullopt;
  return std::max(*room / kMinRoomDivisor, *room - prefill);
}

uint32_t CachedTokens(const Prompt& prompt, size_t leading_parts) {
  uint32_t tokens = 0;
  for (size_t i = 0; i < leading_parts; ++i) tokens += prompt.parts[i].tokens;
  return std::min(tokens, prompt.input_tokens);
}

}  // namespace

std::string CacheGroupName(uint64_t weights, std::string_view scope) {
  return ("w" + std::to_string(weights)).append(scope);
}

uint64_t PartKey(const PromptPart& part, std::string_view cache_group) {
  return Hash(cache_group, part.id);
}

std::vector<uint64_t> SharedPartKeys(const Prompt& prompt,
                                     std::string_view cache_group) {
  std::vector<uint64_t> keys;
  if (prompt.parts.empty()) return keys;
  std::ranges::transform(std::span(prompt.parts).first(prompt.parts.size() - 1),
                         std::back_inserter(keys), [&](const PromptPart& part) {
                           return PartKey(part, cache_group);
                         });
  return keys;
}

double PlacementPolicy::PenaltyMs(const Target& target, double min_failure_rate,
                                  TimePoint now) const {
  const TargetSignals& signals = target.signals;
  const double failing =
      std::max(0.0, signals.failure_rate() - min_failure_rate - kFailureMargin);
  return PenaltyIf(target.record.failure_domain != own_domain_,
                   kOtherDomainPenaltyMs) +
         failing * kFailurePenaltyMs +
         PenaltyIf(signals.IsRefusing(now), kRefusingPenaltyMs) +
         PenaltyIf(signals.Report(now).is_draining, kDrainingPenaltyMs) +
         PenaltyIf(signals.UnresponsiveTime(now) > kUnresponsiveLimit,
                   kUnresponsivePenaltyMs);
}

std::optional<Placement> PlacementPolicy::Choose(
    std::span<const TargetPtr> serving, const PlacementRequest& request,
    TimePoint now) const {
  std::vector<const TargetPtr*> usable;
  usable.reserve(serving.size());
  for (const TargetPtr& target : serving) {
    const bool is_usable =
        target->signals.PushbackLeft(now) == Duration{0} &&
        !target->signals.vm().IsSilent(now) &&
        std::ranges::find(request.tried, target->record.id) ==
            request.tried.end();
    if (is_usable) usable.push_back(&target);
  }
  // Unavailable targets are a last resort, as one of them may have recovered.
  const auto is_down = [&](const TargetPtr* target) {
    return (*target)->signals.IsAvoided(now) ||
           (*target)->signals.Report(now).is_loading;
  };
  if (!std::ranges::all_of(usable, is_down)) std::erase_if(usable, is_down);
  if (usable.empty()) return std::nullopt;
  std::optional<Placement> placement =
      request.prompt != nullptr ? ChooseForPrompt(usable, request, now)
                                : ChoosePlain(usable, now);
  if (placement) placement->usable = usable.size();
  return placement;
}

std::optional<Placement> PlacementPolicy::ChoosePlain(
    std::span<const TargetPtr* const> usable, TimePoint now) const {
  const double min_failure_rate = MinFailureRate(usable);
  const auto cost_ms = [&](const TargetPtr* candidate) {
    const TargetPtr& target = *candidate;
    const double busy = static_cast<double>(target->signals.load()) /
                        std::max(1, target->record.slots);
    const EngineEstimator& engine = target->signals.engine();
    // A slower target costs more even if it is idle.
    const double slowness = engine.RelativeSlowness(now);
    return engine.service_profile().plain_ms *
               (slowness * busy + std::max(0.0, slowness - 1)) +
           PenaltyMs(*target, min_failure_rate, now);
  };
  std::vector<double> costs;
  costs.reserve(usable.size());
  std::ranges::transform(usable, std::back_inserter(costs), cost_ms);
  const auto lowest = std::ranges::min_element(costs);
  Placement placement;
  placement.target = *usable[static_cast<size_t>(lowest - costs.begin())];
  placement.estimate = FromMs(*lowest);
  return placement;
}

std::optional<Placement> PlacementPolicy::ChooseForPrompt(
    std::span<const TargetPtr* const> usable, const PlacementRequest& request,
    TimePoint now) const {
  const Prompt& prompt = *request.prompt;
  std::map<uint64_t, std::vector<const TargetPtr*>> by_weights;
  for (const TargetPtr* target : usable) {
    by_weights[(*target)->LoadedVersion(prompt.model)].push_back(target);
  }
  const double min_failure_rate = MinFailureRate(usable);
  // A target that resumes an answer prefills what there is of it, too.
  const uint32_t tokens = prompt.input_tokens + request.answered_tokens;

  Placement best;
  WeightsGroup best_group;
  double best_ms = 0;
  for (auto& [weights, targets] : by_weights) {
    if (weights < request.oldest_weights) continue;
    WeightsGroup group = MakeGroup(std::move(targets), weights, request, now);
    const bool is_behind =
        request.weights_overdue && weights < request.newest_weights;
    // Parts that one target has cached can be fetched by the others within a
    // few milliseconds.
    const uint32_t missing =
        tokens - CachedTokens(prompt, group.cached_part_count);
    const auto home = static_cast<size_t>(
        std::ranges::max_element(group.scores) - group.scores.begin());
    double best_score = 0;
    bool is_best_group = false;
    for (size_t i = 0; i < group.targets.size(); ++i) {
      const TargetPtr& target = *group.targets[i];
      const TargetSignals& signals = target->signals;
      const LoadReport report = signals.Report(now);
      if (!CanHold(report, request)) continue;
      const EngineProfile engine = signals.engine().Profile(now);
      const TargetSignals::Backlog backlog =
          signals.BacklogFor(request.priority, now);
      const double ahead_ms = ToMs(backlog.ahead);
      const double work_ms = PrefillWorkMs(missing, tokens, report.active);
      const double reported_work_ms =
          TypicalPrefillWorkMs() * (report.prefilling + report.queued);
      const double backlog_ms = engine.TimeMs(ahead_ms);
      const double prefill_ms = engine.TimeMs(work_ms);
      const double reported_ms = engine.TimeMs(reported_work_ms);
      const double missing_memory =
          MissingMemory(*target, report, ToMs(backlog.total), request, now);
      const double memory_ms = MemoryWaitMs(missing_memory, report, engine);
      const double begin_ms = std::max({backlog_ms, reported_ms, memory_ms});
      const std::optional<Duration> max_backlog =
          MaxBacklog(request, FromMs(prefill_ms), now);
      const bool is_late = (request.max_queue_wait &&
                            begin_ms > ToMs(*request.max_queue_wait)) ||
                           (max_backlog && begin_ms > ToMs(*max_backlog));
      const double wait_ms = begin_ms + prefill_ms + engine.overhead_ms;
      const double cost_ms = wait_ms + PenaltyIf(i != home, kNotHomePenaltyMs) +
                             PenaltyIf(is_behind, kOldWeightsPenaltyMs) +
                             PenaltyIf(is_late, kTooLatePenaltyMs) +
                             PenaltyIf(missing_memory > 0, kNoMemoryPenaltyMs) +
                             PenaltyMs(*target, min_failure_rate, now);
      // Requests that do not go to their home spread in the order of rank, so
      // that a part is cached at few targets.
      const bool wins_tie =
          is_best_group && cost_ms == best_ms && group.scores[i] > best_score;
      if (best.target && cost_ms >= best_ms && !wins_tie) continue;
      best_ms = cost_ms;
      best_score = group.scores[i];
      is_best_group = true;
      best.target = target;
      best.estimate = FromMs(wait_ms);
      best.prefill = FromMs(prefill_ms);
      best.backlog = FromMs(begin_ms);
      best.max_backlog = max_backlog;
      best.work = FromMs(work_ms);
      best.work_ahead = FromMs(ahead_ms);
      best.is_wait_known = begin_ms <= backlog_ms;
      best.missing_tokens = missing;
    }
    if (is_best_group) best_group = std::move(group);
  }
  if (!best.target) return std::nullopt;
  best.priority = request.priority;
  best.memory = int64_t{tokens} + ExpectedOutput(prompt);
  best.weights = best_group.weights;
  best.cache_group = best_group.cache_group;
  best.fetch_from = ChooseFetchSource(best_group, best.target, request, now);
  best.fetches_from_store =
      !request.cache_store.empty() && best.fetch_from == request.cache_store;
  return best;
}

}  // namespace dogwoodlatch::serving
