// What callers and targets are promised, over random series of faults.

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "serving_fuzz_world.h"

namespace dogwoodlatch::serving::fuzz {
namespace {

constexpr int kSteps = 1500;
constexpr uint64_t kWorldsForVariants = 40;

// True if some world breaks just this promise under the rules.
bool IsNoticed(const Rules& rules, const std::string& promise) {
  for (uint64_t seed = 1; seed <= kWorldsForVariants; ++seed) {
    const std::vector<std::string> faults = World(rules, seed).Play(kSteps);
    if (std::ranges::find(faults, promise) != faults.end()) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("no promise is broken under any series of faults") {
  rc::prop("faults", [](uint64_t seed) {
    const std::vector<std::string> faults = World({}, seed).Play(kSteps);
    if (!faults.empty()) RC_FAIL(faults.front());
  });
}

TEST_CASE("every broken variant of the rules is noticed") {
  struct Variant {
    const char* broken;
    Rules rules;
    std::vector<std::string> promises;
  };
  const Variant variants[] = {
      {"a lost answer is taken for a refusal",
       {.may_run_again = [](const Route&, const RequestProgress& progress,
                            Duration) { return progress.sends < 3; }},
       {"write ran twice", "read ran more often than its route allows"}},
      {"what may have run is refused",
       {.last_word = [](const RequestProgress&) { return LastWord::kRefuse; }},
       {"refused, and it ran"}},
      {"answers are delivered without proof",
       {.judge =
            [](const TargetAnswer& answer) {
              return answer.status == 200 ? AnswerVerdict::kGood
                                          : Judge(answer);
            }},
       {"an answer nobody vouches for"}},
      {"keys are accepted without proof",
       {.checks_freshness = false},
       {"ran long after its key was taken away"}},
      {"requests do not name their target",
       {.names_incarnation = false},
       {"ran at a service that its route does not name"}},
      {"repeats need no budget",
       {.uses_budget = false},
       {"more repeats than the budget of all routers"}},
      {"crashes are not told",
       {.tells_of_crashes = false},
       {"a poison request went on"}},
  };
  for (const Variant& variant : variants) {
    for (const std::string& promise : variant.promises) {
      INFO(variant.broken << ": " << promise);
      CHECK(IsNoticed(variant.rules, promise));
    }
  }
}

}  // namespace dogwoodlatch::serving::fuzz
