#include "dogwoodlatch/agent_core.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

Submit MakeSubmit(const std::string& request, uint64_t digest, bool alone) {
  Submit submit;
  submit.request_id.value = request;
  submit.attempt = 1;
  submit.incarnation.value = "a/b";
  submit.weights_version = "v1";
  submit.time_left = std::chrono::seconds(1);
  submit.digest = digest;
  submit.run_alone = alone;
  return submit;
}

AgentCore MakeCore() {
  AgentCore core(AgentLimits{8});
  core.SetTarget({{"a/b"}, "v1", true, 1000});
  return core;
}

std::optional<RefusalReason> AdmitAndGetRefusal(AgentCore& core,
                                                const Submit& submit,
                                                TimePoint now = kStart) {
  const auto refused = core.Admit(submit, now);
  if (!refused) return std::nullopt;
  return refused->reason;
}

}  // namespace

TEST_CASE("a suspect runs alone, after the attempts that run already") {
  AgentCore core = MakeCore();
  const Submit bystander = MakeSubmit("r1", 1, false);
  const Submit suspect = MakeSubmit("r2", 2, true);
  CHECK_FALSE(AdmitAndGetRefusal(core, bystander));
  CHECK(AdmitAndGetRefusal(core, suspect) == RefusalReason::kBusyAlone);
  // The reservation keeps other attempts out until the target is idle.
  CHECK(AdmitAndGetRefusal(core, MakeSubmit("r3", 3, false)) ==
        RefusalReason::kBusyAlone);
  CHECK(AdmitAndGetRefusal(core, MakeSubmit("r4", 4, true)) ==
        RefusalReason::kBusyAlone);
  core.OnEnded(bystander.request_id, 1);
  CHECK_FALSE(AdmitAndGetRefusal(core, suspect));
  CHECK(AdmitAndGetRefusal(core, MakeSubmit("r3", 3, false)) ==
        RefusalReason::kBusyAlone);
  core.OnEnded(suspect.request_id, 1);
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeSubmit("r3", 3, false)));
}

TEST_CASE("the reservation expires when its suspect stops retrying") {
  AgentCore core = MakeCore();
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeSubmit("r1", 1, false)));
  CHECK(AdmitAndGetRefusal(core, MakeSubmit("r2", 2, true)) ==
        RefusalReason::kBusyAlone);
  const TimePoint later = kStart + std::chrono::seconds(5);
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeSubmit("r3", 3, false), later));
}

TEST_CASE("every attempt that a crash broke names the same suspects") {
  AgentCore core = MakeCore();
  const Submit first = MakeSubmit("r1", 1, false);
  CHECK_FALSE(AdmitAndGetRefusal(core, first));
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeSubmit("r2", 2, false)));
  CHECK(core.OnCrash({"a/b"}) == std::vector<uint64_t>{1, 2});
  core.OnEnded(first.request_id, 1);
  CHECK(core.OnCrash({"a/b"}) == std::vector<uint64_t>{1, 2});
  // The crashed incarnation is refused even before the next health check.
  CHECK(AdmitAndGetRefusal(core, MakeSubmit("r3", 3, false)) ==
        RefusalReason::kStaleIncarnation);
}

TEST_CASE("late, stale and duplicate attempts are not run") {
  AgentCore core = MakeCore();
  Submit submit = MakeSubmit("r1", 1, false);
  submit.time_left = Duration(0);
  CHECK(AdmitAndGetRefusal(core, submit) == RefusalReason::kOverloaded);
  submit = MakeSubmit("r1", 1, false);
  submit.weights_version = "v0";
  CHECK(AdmitAndGetRefusal(core, submit) == RefusalReason::kStaleWeights);
  submit = MakeSubmit("r1", 1, false);
  CHECK_FALSE(core.IsDuplicate(submit));
  CHECK_FALSE(AdmitAndGetRefusal(core, submit));
  CHECK(core.IsDuplicate(submit));
  core.StartDraining();
  CHECK(AdmitAndGetRefusal(core, MakeSubmit("r2", 2, false)) ==
        RefusalReason::kDraining);
}

}  // namespace dogwoodlatch
