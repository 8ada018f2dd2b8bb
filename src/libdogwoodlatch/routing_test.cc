#include "dogwoodlatch/routing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

// Catch must come first.
#include <rapidcheck/catch.h>

namespace dogwoodlatch {
namespace {

std::vector<TargetEntry> MakeTargets(size_t count, size_t domains) {
  std::vector<TargetEntry> targets(count);
  for (size_t i = 0; i < count; ++i) {
    targets[i].id.value = "replica-" + std::to_string(i);
    targets[i].failure_domain = std::to_string(i % domains);
  }
  return targets;
}

ProbedTarget MakeProbedTarget(std::string id, uint32_t cached,
                              uint64_t queued) {
  ProbedTarget probed;
  probed.target.value = std::move(id);
  probed.reply.cached_pieces = cached;
  probed.reply.queued_tokens = queued;
  probed.reply.prefill_tokens_per_second = 1000;
  return probed;
}

}  // namespace

TEST_CASE("every router picks the same distinct candidates") {
  rc::prop("for any order of the target list", [](std::vector<PieceKey> keys) {
    const auto count = *rc::gen::inRange<size_t>(1, 40);
    const std::vector<TargetEntry> targets = MakeTargets(count, 4);
    std::vector<const TargetEntry*> serving;
    serving.reserve(count);
    for (const TargetEntry& target : targets) serving.push_back(&target);
    const PromptShape prompt{std::move(keys), 1000, 100};
    RoutingPolicy policy;
    policy.max_candidates = 4;
    const std::vector<TargetId> picked =
        PickCandidates(serving, prompt, policy);
    RC_ASSERT(picked.size() == std::min<size_t>(4, count));
    const std::set<TargetId> distinct(picked.begin(), picked.end());
    RC_ASSERT(distinct.size() == picked.size());
    std::ranges::reverse(serving);
    RC_ASSERT(PickCandidates(serving, prompt, policy) == picked);
  });
}

TEST_CASE("a target with the cached prefix wins until its queue costs more") {
  const PromptShape prompt{{1, 2, 3}, 350, 100};
  RoutingPolicy policy;
  policy.recompute_weight = 1;
  const ProbedTarget cold = MakeProbedTarget("cold", 0, 0);
  CHECK(ChooseTarget(std::vector{cold, MakeProbedTarget("warm", 3, 100)},
                     prompt, policy) == 1);
  CHECK(ChooseTarget(std::vector{cold, MakeProbedTarget("warm", 3, 5000)},
                     prompt, policy) == 0);
}

TEST_CASE("a target that is draining or down is not chosen") {
  ProbedTarget draining = MakeProbedTarget("draining", 3, 0);
  draining.reply.draining = true;
  ProbedTarget down = MakeProbedTarget("down", 3, 0);
  down.reply.healthy = false;
  CHECK_FALSE(ChooseTarget(std::vector{draining, down}, {{1}, 100, 100}, {}));
}

}  // namespace dogwoodlatch
