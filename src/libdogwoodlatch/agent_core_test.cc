#include "dogwoodlatch/agent_core.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

Submit MakeOrder(const std::string& request, uint64_t digest, bool alone) {
  Submit order;
  order.request_id.value = request;
  order.attempt = 1;
  order.incarnation.value = "a/b";
  order.weights_version = "v1";
  order.time_left = std::chrono::seconds(1);
  order.digest = digest;
  order.run_alone = alone;
  return order;
}

AgentCore MakeCore() {
  AgentCore core(AgentLimits{8});
  core.SetTarget({{"a/b"}, "v1", true, 1000});
  return core;
}

std::optional<RefusalReason> AdmitAndGetRefusal(AgentCore& core,
                                                const Submit& order,
                                                TimePoint now = kStart) {
  const auto refused = core.Admit(order, now);
  if (!refused) return std::nullopt;
  return refused->reason;
}

}  // namespace

TEST_CASE("a suspect runs alone, after the attempts that run already") {
  AgentCore core = MakeCore();
  const Submit bystander = MakeOrder("r1", 1, false);
  const Submit suspect = MakeOrder("r2", 2, true);
  CHECK_FALSE(AdmitAndGetRefusal(core, bystander));
  CHECK(AdmitAndGetRefusal(core, suspect) == RefusalReason::kBusyAlone);
  // The reservation keeps other attempts out until the target is idle.
  CHECK(AdmitAndGetRefusal(core, MakeOrder("r3", 3, false)) ==
        RefusalReason::kBusyAlone);
  CHECK(AdmitAndGetRefusal(core, MakeOrder("r4", 4, true)) ==
        RefusalReason::kBusyAlone);
  core.OnEnded(bystander.request_id, 1);
  CHECK_FALSE(AdmitAndGetRefusal(core, suspect));
  CHECK(AdmitAndGetRefusal(core, MakeOrder("r3", 3, false)) ==
        RefusalReason::kBusyAlone);
  core.OnEnded(suspect.request_id, 1);
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeOrder("r3", 3, false)));
}

TEST_CASE("the reservation expires when its suspect stops retrying") {
  AgentCore core = MakeCore();
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeOrder("r1", 1, false)));
  CHECK(AdmitAndGetRefusal(core, MakeOrder("r2", 2, true)) ==
        RefusalReason::kBusyAlone);
  const TimePoint later = kStart + std::chrono::seconds(5);
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeOrder("r3", 3, false), later));
}

TEST_CASE("every attempt that a crash broke names the same suspects") {
  AgentCore core = MakeCore();
  const Submit first = MakeOrder("r1", 1, false);
  CHECK_FALSE(AdmitAndGetRefusal(core, first));
  CHECK_FALSE(AdmitAndGetRefusal(core, MakeOrder("r2", 2, false)));
  CHECK(core.OnCrash({"a/b"}) == std::vector<uint64_t>{1, 2});
  core.OnEnded(first.request_id, 1);
  CHECK(core.OnCrash({"a/b"}) == std::vector<uint64_t>{1, 2});
  // The crashed incarnation is refused even before the next health check.
  CHECK(AdmitAndGetRefusal(core, MakeOrder("r3", 3, false)) ==
        RefusalReason::kStaleIncarnation);
}

TEST_CASE("late, stale and duplicate attempts are not run") {
  AgentCore core = MakeCore();
  Submit order = MakeOrder("r1", 1, false);
  order.time_left = Duration(0);
  CHECK(AdmitAndGetRefusal(core, order) == RefusalReason::kOverloaded);
  order = MakeOrder("r1", 1, false);
  order.weights_version = "v0";
  CHECK(AdmitAndGetRefusal(core, order) == RefusalReason::kStaleWeights);
  order = MakeOrder("r1", 1, false);
  CHECK_FALSE(core.IsDuplicate(order));
  CHECK_FALSE(AdmitAndGetRefusal(core, order));
  CHECK(core.IsDuplicate(order));
  core.StartDraining();
  CHECK(AdmitAndGetRefusal(core, MakeOrder("r2", 2, false)) ==
        RefusalReason::kDraining);
}

}  // namespace dogwoodlatch
