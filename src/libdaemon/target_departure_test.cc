/// Targets that leave around an outage of the platform's store: an entry that
/// could not be renewed may return, one that its target removed does not.
#include <catch2/catch.hpp>

#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/testing/virtual_time.h"
#include "platform/object_examples.h"

namespace dogwoodlatch::daemon {
namespace {

using platform::MakeTargetEntry;
using platform::ObjectKind;
using platform::StoredObject;
using std::chrono::milliseconds;

StoredObject RemovedEntry(const std::string& id, uint64_t revision) {
  StoredObject object = MakeTargetEntry(id, revision);
  object.deleted = true;
  return object;
}

// A view of two targets whose store answered last at `last_answer_ms`, failed
// 300 ms later and answers again at `back_ms`.
PlatformView ViewAfterOutage(int64_t last_answer_ms, int64_t back_ms) {
  PlatformView view({.max_key_age = milliseconds(4750),
                     .weights = milliseconds(12000),
                     .target_heartbeat = milliseconds(1200)});
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1), MakeTargetEntry("b", 2)},
              At(last_answer_ms - 4), At(last_answer_ms));
  view.OnFailure(ObjectKind::kConfiguration, "no answer in time",
                 At(last_answer_ms + 100), At(last_answer_ms + 300));
  view.OnChanges(ObjectKind::kTargets, {}, At(back_ms - 4), At(back_ms));
  return view;
}

size_t CountServing(PlatformView& view, int64_t ms) {
  view.Tick(At(ms));
  return view.fleet().Serving("m", At(ms)).size();
}

}  // namespace

// Guards against requests to a target 2.3 s after it had left: the grace period
// of an entry that vanished 2.9 s after the store's return began only then.
TEST_CASE("a target that leaves well after the store's return is not kept") {
  PlatformView view = ViewAfterOutage(6000, 11400);
  view.OnChanges(ObjectKind::kTargets, {RemovedEntry("a", 5)}, At(14300),
                 At(14310));
  CHECK(CountServing(view, 14311) == 1);
}

TEST_CASE("the grace period of lapsed entries counts from the store's return") {
  PlatformView view = ViewAfterOutage(6000, 11400);
  view.OnChanges(ObjectKind::kTargets, {RemovedEntry("a", 5)}, At(12900),
                 At(12910));
  CHECK(CountServing(view, 13000) == 2);
  CHECK(CountServing(view, 13800) == 2);
  CHECK(CountServing(view, 14000) == 1);
}

// Guards against the same fault without an outage of the store: one lost call
// was taken for an outage in which entries may lapse.
TEST_CASE("a target that leaves after a short failure of a call is not kept") {
  PlatformView view = ViewAfterOutage(10000, 10700);
  view.OnChanges(ObjectKind::kTargets, {RemovedEntry("a", 5)}, At(11000),
                 At(11010));
  CHECK(CountServing(view, 11011) == 1);
}

TEST_CASE("a complete list after a short failure of a call removes at once") {
  PlatformView view = ViewAfterOutage(10000, 10700);
  view.OnList(ObjectKind::kTargets, {MakeTargetEntry("b", 2)}, At(11000),
              At(11010));
  CHECK(CountServing(view, 11011) == 1);
}

TEST_CASE("entries that lapsed in an outage may return within their time") {
  PlatformView view = ViewAfterOutage(6000, 11400);
  view.OnList(ObjectKind::kTargets, {MakeTargetEntry("b", 2)}, At(11400),
              At(11410));
  CHECK(CountServing(view, 13300) == 2);
  view.OnChanges(ObjectKind::kTargets, {MakeTargetEntry("a", 9)}, At(13400),
                 At(13410));
  CHECK(CountServing(view, 20000) == 2);
}

// Guards against a return that is noticed seconds late: a call that was sent
// during the outage failed after another one had been answered, and the watches
// that were open by then had nothing to report.
TEST_CASE("a call sent before the last answer does not begin an outage") {
  PlatformView view = ViewAfterOutage(6000, 10300);
  view.OnFailure(ObjectKind::kConfiguration, "no answer in time", At(10100),
                 At(10900));
  CHECK(view.is_reachable());
  view.OnChanges(ObjectKind::kTargets, {RemovedEntry("a", 5)}, At(10310),
                 At(14100));
  CHECK(CountServing(view, 14101) == 1);
}

// Guards against the same where only this router's own call failed: another
// router's proof shows that the store answers.
TEST_CASE("a proof by another router shows that the store is back") {
  PlatformView view = ViewAfterOutage(6000, 6004);
  view.OnFailure(ObjectKind::kConfiguration, "status 503", At(7000), At(7004));
  view.OnPeerProof(1, At(11300), At(11400));
  view.OnChanges(ObjectKind::kTargets, {RemovedEntry("a", 5)}, At(6010),
                 At(14300));
  CHECK(CountServing(view, 14301) == 1);
}

TEST_CASE("proofs by other routers show that there was no outage") {
  PlatformView view = ViewAfterOutage(6000, 6004);
  view.OnPeerProof(1, At(9900), At(10000));
  view.OnFailure(ObjectKind::kTargets, "the connection broke", At(6004),
                 At(11000));
  view.OnChanges(ObjectKind::kTargets, {}, At(11100), At(11104));
  view.OnChanges(ObjectKind::kTargets, {RemovedEntry("a", 5)}, At(11104),
                 At(11200));
  CHECK(CountServing(view, 11201) == 1);
}

}  // namespace dogwoodlatch::daemon
