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

TEST_CASE("a lost answer that is taken for a refusal is noticed") {
  Rules rules;
  rules.may_run_again = [](const Route&, const RequestProgress& progress,
                           Duration) { return progress.sends < 3; };
  CHECK(IsNoticed(rules, "write ran twice"));
  CHECK(IsNoticed(rules, "read ran more often than its route allows"));
}

TEST_CASE("a refusal of what may have run is noticed") {
  Rules rules;
  rules.last_word = [](const RequestProgress&) { return LastWord::kRefuse; };
  CHECK(IsNoticed(rules, "refused, and it ran"));
}

TEST_CASE("an answer without proof that is delivered is noticed") {
  Rules rules;
  rules.judge = [](const TargetAnswer& answer) {
    return answer.status == 200 ? AnswerVerdict::kGood : Judge(answer);
  };
  CHECK(IsNoticed(rules, "an answer nobody vouches for"));
}

TEST_CASE("keys that are accepted without proof are noticed") {
  Rules rules;
  rules.checks_freshness = false;
  CHECK(IsNoticed(rules, "ran long after its key was taken away"));
}

TEST_CASE("requests that do not name their target are noticed") {
  Rules rules;
  rules.names_incarnation = false;
  CHECK(IsNoticed(rules, "ran at a service that its route does not name"));
}

TEST_CASE("repeats without a budget are noticed") {
  Rules rules;
  rules.uses_budget = false;
  CHECK(IsNoticed(rules, "more repeats than the budget of all routers"));
}

TEST_CASE("crashes that are not told are noticed") {
  Rules rules;
  rules.tells_of_crashes = false;
  CHECK(IsNoticed(rules, "a poison request went on"));
}

}  // namespace dogwoodlatch::serving::fuzz
