// Stateful fuzz test of the outcomes of idempotent requests: checks the real
// decision code of routers and agents against an oracle. The fakes are in
// outcomes_fuzz_simulation.h.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <random>

#include "outcomes_fuzz_oracle.h"
#include "outcomes_fuzz_routers.h"
#include "outcomes_fuzz_simulation.h"
#include "outcomes_fuzz_targets.h"

namespace dogwoodlatch::fuzz {
namespace {

constexpr size_t kStepsPerRun = 250;
constexpr int kMutationRuns = 400;
constexpr int kCountedRuns = 50;
constexpr uint64_t kSeed = 20261203;

// One named property: the faults of its runs and the oracle's check.
struct Property {
  const char* name;
  Faults faults;
  std::string (OutcomesSimulation::*check)() const;
  Mutation mutation;  // a fault that must violate the property
};

constexpr std::array kProperties = {
    Property{"parts are delivered once and in order", Faults::kAll,
             &OutcomesSimulation::CheckInOrder, Mutation::kIgnoreSequence},
    Property{"each caller gets its own complete answer", Faults::kAll,
             &OutcomesSimulation::CheckOwnAnswer, Mutation::kAcceptOtherAnswer},
    Property{"no part from another incarnation or other weights", Faults::kAll,
             &OutcomesSimulation::CheckIdentity, Mutation::kIgnoreIdentity},
    Property{"a leaving target gets no new attempts", Faults::kAll,
             &OutcomesSimulation::CheckLeaving, Mutation::kIgnoreDraining},
    Property{"a planned stop interrupts no answer", Faults::kPlannedStops,
             &OutcomesSimulation::CheckPlannedStop, Mutation::kFailOnHandover},
    Property{"a request reported as not run has not run", Faults::kAll,
             &OutcomesSimulation::CheckNotRunOutcomes, Mutation::kReportNotRun},
    Property{"the final outcome is reported once", Faults::kAll,
             &OutcomesSimulation::CheckOneOutcome, Mutation::kDuplicateOutcome},
    Property{"the final outcome is reported without delay", Faults::kAll,
             &OutcomesSimulation::CheckPromptOutcome, Mutation::kDelayOutcome},
    Property{"a poison request crashes at most two engines", Faults::kCrashes,
             &OutcomesSimulation::CheckPoison, Mutation::kForgetSuspects},
    Property{"requests that crashed no engine are not rejected",
             Faults::kCrashes, &OutcomesSimulation::CheckBystanders,
             Mutation::kQuarantineAllSuspects},
};

std::string RunSimulation(const Property& property, Mutation mutation,
                          const std::vector<Step>& steps) {
  OutcomesSimulation simulation(property.faults, mutation);
  for (const Step& step : steps) simulation.ApplyStep(step);
  simulation.RunToCompletion();
  return (simulation.*property.check)();
}

rc::Gen<std::vector<Step>> Steps() {
  const auto step = rc::gen::build<Step>(
      rc::gen::set(&Step::kind, rc::gen::inRange<uint32_t>(0, kStepKinds)),
      rc::gen::set(&Step::choice, rc::gen::inRange<uint32_t>(0, 1U << 16U)));
  return rc::gen::container<std::vector<Step>>(kStepsPerRun, step);
}

std::vector<Step> RandomSteps(std::mt19937_64& random) {
  std::vector<Step> steps(kStepsPerRun);
  for (Step& step : steps) {
    step = {static_cast<uint32_t>(random() % kStepKinds),
            static_cast<uint32_t>(random() % (1U << 16U))};
  }
  return steps;
}

}  // namespace

TEST_CASE("outcome properties hold under faults") {
  for (const Property& property : kProperties) {
    rc::prop(property.name, [&property] {
      const std::string fault =
          RunSimulation(property, Mutation::kNone, *Steps());
      if (!fault.empty()) RC_FAIL(fault);
    });
  }
}

TEST_CASE("most requests are answered completely despite the faults") {
  std::mt19937_64 random(kSeed);
  size_t completed = 0;
  size_t requests = 0;
  for (int run = 0; run < kCountedRuns; ++run) {
    OutcomesSimulation simulation(Faults::kAll, Mutation::kNone);
    for (const Step& step : RandomSteps(random)) simulation.ApplyStep(step);
    simulation.RunToCompletion();
    completed += simulation.completed();
    requests += simulation.request_count();
  }
  CHECK(completed * 2 > requests);
}

TEST_CASE("each property fails on a broken variant") {
  for (const Property& property : kProperties) {
    std::mt19937_64 random(kSeed);
    bool failed = false;
    for (int run = 0; run < kMutationRuns && !failed; ++run) {
      failed = !RunSimulation(property, property.mutation, RandomSteps(random))
                    .empty();
    }
    INFO(property.name);
    CHECK(failed);
  }
}

}  // namespace dogwoodlatch::fuzz
