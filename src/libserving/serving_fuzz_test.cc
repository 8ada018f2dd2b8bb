// What callers and targets are promised, over random series of violations.

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "serving_fuzz_world.h"

namespace dogwoodlatch::serving::fuzz {
namespace {

constexpr int kSteps = 1500;
constexpr uint64_t kSeedsPerVariant = 40;

// True if some world breaks just this guarantee under the rules.
bool IsDetected(const DecisionRules& rules, const std::string& guarantee) {
  for (uint64_t seed = 1; seed <= kSeedsPerVariant; ++seed) {
    const std::vector<std::string> violations =
        Simulation(rules, seed).Simulate(kSteps);
    if (std::ranges::find(violations, guarantee) != violations.end())
      return true;
  }
  return false;
}

}  // namespace

TEST_CASE("no promise is broken under any series of faults") {
  rc::prop("faults", [](uint64_t seed) {
    const std::vector<std::string> violations =
        Simulation({}, seed).Simulate(kSteps);
    if (!violations.empty()) RC_FAIL(violations.front());
  });
}

TEST_CASE("every broken variant of the rules is noticed") {
  struct Variant {
    const char* description;
    DecisionRules rules;
    std::vector<std::string> guarantees;
  };
  const Variant variants[] = {
      {"a lost answer is taken for a refusal",
       {.may_run_again = [](const Route&, const RequestProgress& progress,
                            Duration) { return progress.sends < 3; }},
       {"write ran twice", "read ran more often than its route allows"}},
      {"what may have run is refused",
       {.final_outcome =
            [](const RequestProgress&) { return FinalOutcome::kRefuse; }},
       {"refused, and it ran"}},
      {"answers are delivered without proof",
       {.judge =
            [](const TargetAnswer& answer) {
              return answer.status == 200 ? AnswerVerdict::kGood
                                          : ClassifyAnswer(answer);
            }},
       {"an answer nobody vouches for"}},
      {"keys are accepted without proof",
       {.checks_freshness = false},
       {"ran long after its key was taken away"}},
      {"requests do not name their target",
       {.sends_incarnation = false},
       {"ran at a service that its route does not name"}},
      {"repeats need no budget",
       {.uses_budget = false},
       {"more repeats than the budget of all routers"}},
      {"crashes are not told",
       {.shares_crashes = false},
       {"a poison request went on"}},
  };
  for (const Variant& variant : variants) {
    for (const std::string& guarantee : variant.guarantees) {
      INFO(variant.description << ": " << guarantee);
      CHECK(IsDetected(variant.rules, guarantee));
    }
  }
}

}  // namespace dogwoodlatch::serving::fuzz
