// Checks the guarantees to callers and targets under random series of faults.

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "serving_fuzz_simulation.h"

namespace dogwoodlatch::serving::fuzz {
namespace {

constexpr int kSteps = 1500;
constexpr uint64_t kSeedsPerVariant = 40;

// True if a simulation with these rules violates this guarantee for some seed.
bool IsDetected(const DecisionRules& rules, const std::string& guarantee) {
  for (uint64_t seed = 1; seed <= kSeedsPerVariant; ++seed) {
    const std::vector<std::string> found =
        Simulation(rules, seed).Simulate(kSteps);
    if (std::ranges::find(found, guarantee) != found.end()) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("no guarantee is violated under any series of faults") {
  rc::prop("faults", [](uint64_t seed) {
    const std::vector<std::string> violations =
        Simulation({}, seed).Simulate(kSteps);
    if (!violations.empty()) RC_FAIL(violations.front());
  });
}

TEST_CASE("every broken variant of the rules is detected") {
  struct Variant {
    const char* description;
    DecisionRules rules;
    std::vector<std::string> guarantees;
  };
  const Variant variants[] = {
      {"a lost answer is treated as a refusal",
       {.may_run_again = [](const Route&, const RequestProgress& progress,
                            Duration) { return progress.sends < 3; }},
       {"a non-idempotent request ran twice",
        "an idempotent request ran more often than its route allows"}},
      {"a request that may have run is refused",
       {.final_outcome =
            [](const RequestProgress&) { return FinalOutcome::kRefuse; }},
       {"refused after a run"}},
      {"answers are delivered without a seal",
       {.classify =
            [](const TargetAnswer& answer) {
              return answer.status == 200 ? AnswerVerdict::kGood
                                          : ClassifyAnswer(answer);
            }},
       {"an answer without a seal was delivered"}},
      {"keys are accepted without a fresh configuration",
       {.checks_freshness = false},
       {"a request ran too long after its key was revoked"}},
      {"requests do not carry the id of their target",
       {.sends_incarnation = false},
       {"a request ran at a service that its route does not name"}},
      {"retries need no budget",
       {.uses_budget = false},
       {"more retries than the budget of all routers"}},
      {"crashes are not reported to other routers",
       {.shares_crashes = false},
       {"more than three poison crashes"}},
  };
  for (const Variant& variant : variants) {
    for (const std::string& guarantee : variant.guarantees) {
      INFO(variant.description << ": " << guarantee);
      CHECK(IsDetected(variant.rules, guarantee));
    }
  }
}

}  // namespace dogwoodlatch::serving::fuzz
