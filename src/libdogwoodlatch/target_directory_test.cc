#include "dogwoodlatch/target_directory.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace dogwoodlatch {
namespace {

VmList MakeVmList(uint64_t revision, const std::string& vm_id, bool leaving) {
  TargetEntry entry;
  entry.id = {"t"};
  entry.vm_id = vm_id;
  entry.serves = "assistant";
  entry.agent_address = "127.0.0.1:1";
  entry.leaving = leaving;
  return {revision, {entry}};
}

ProbeReply MakeReply(const std::string& incarnation, bool draining) {
  ProbeReply reply;
  reply.incarnation = {incarnation};
  reply.draining = draining;
  return reply;
}

bool IsServing(const TargetDirectory& directory) {
  return !directory.Serving(RequestKind::kChat, "assistant").empty();
}

}  // namespace

TEST_CASE("a draining agent gets no new requests although its VM is listed") {
  TargetDirectory directory;
  REQUIRE(directory.OnVmList(MakeVmList(1, "vm-1", false)));
  directory.OnAgentReport({"t"}, "vm-1", MakeReply("i1", true));
  CHECK_FALSE(IsServing(directory));
  SECTION("an older reply that arrives late does not undo the draining") {
    directory.OnAgentReport({"t"}, "vm-1", MakeReply("i1", false));
    CHECK_FALSE(IsServing(directory));
  }
  SECTION("a new incarnation serves") {
    directory.OnAgentReport({"t"}, "vm-1", MakeReply("i2", false));
    CHECK(IsServing(directory));
  }
  SECTION("another VM under the same target id and address starts afresh") {
    directory.OnVmList(MakeVmList(2, "vm-2", false));
    CHECK(IsServing(directory));
    CHECK(directory.LastIncarnation({"t"}).empty());
    directory.OnAgentReport({"t"}, "vm-1", MakeReply("i1", true));
    CHECK(IsServing(directory));
  }
}

TEST_CASE("the directory agrees with a reference model") {
  rc::prop("only newer lists are adopted, draining is final",
           [](const std::vector<uint8_t>& events) {
             TargetDirectory directory;
             uint64_t revision = 0;
             std::string vm;
             bool leaving = false;
             std::string last;
             std::set<std::string> drained;
             for (const uint8_t event : events) {
               const std::string name = std::to_string(event / 4 % 3);
               const bool flag = event / 16 % 2 == 1;
               if (event % 4 == 0) {
                 const uint64_t next = event / 32;
                 directory.OnVmList(MakeVmList(next, "vm-" + name, flag));
                 if (next <= revision) continue;
                 if (vm != name) {
                   drained.clear();
                   last.clear();
                 }
                 revision = next;
                 vm = name;
                 leaving = flag;
               } else {
                 directory.OnAgentReport({"t"}, "vm-" + vm,
                                         MakeReply(name, flag));
                 if (revision == 0) continue;
                 if (last != name) drained.clear();
                 last = name;
                 if (flag) drained.insert(name);
               }
               RC_ASSERT(directory.vms().revision == revision);
               const bool expected =
                   revision > 0 && !leaving && drained.count(last) == 0;
               RC_ASSERT(IsServing(directory) == expected);
             }
           });
}

}  // namespace dogwoodlatch
