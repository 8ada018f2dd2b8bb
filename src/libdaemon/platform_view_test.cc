#include "dogwoodlatch/daemon/platform_view.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"
#include "platform/object_examples.h"

namespace dogwoodlatch::daemon {
namespace {

using platform::MakeModelTargetEntry;
using platform::MakeObject;
using platform::MakeTargetEntry;
using platform::ObjectKind;
using platform::RefusalCause;
using platform::StoredObject;
using std::chrono::milliseconds;

StoredObject Configuration(uint64_t version) {
  return MakeObject("main", version, {{"version", version}});
}

StoredObject Weights(uint64_t version, uint64_t revision) {
  return MakeObject("w", revision, {{"model", "w"}, {"version", version}});
}

PlatformView MakeView() {
  return PlatformView({.max_key_age = milliseconds(4750),
                       .weights = milliseconds(12000),
                       .target_heartbeat = milliseconds(1200)});
}

}  // namespace

TEST_CASE("a configuration is never replaced by an older one") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(0), At(5));
  view.OnChanges(ObjectKind::kConfiguration, {Configuration(9)}, At(10),
                 At(15));
  view.OnList(ObjectKind::kConfiguration, {Configuration(8)}, At(20), At(25));
  CHECK(view.configuration()->version() == 9);
  view.OnChanges(ObjectKind::kConfiguration, {MakeObject("main", 30, "torn")},
                 At(30), At(35));
  CHECK(view.configuration()->version() == 9);
}

TEST_CASE(
    "only the configuration feed confirms that the configuration is current") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(100), At(105));
  view.OnChanges(ObjectKind::kTargets, {}, At(4000), At(4005));
  CHECK_FALSE(view.freshness().IsFresh(At(5000)));
  view.OnChanges(ObjectKind::kConfiguration, {}, At(4000), At(4800));
  CHECK(view.freshness().IsFresh(At(8700)));
}

TEST_CASE(
    "targets that vanish while the store recovers are kept for a grace "
    "period") {
  PlatformView view = MakeView();
  std::vector<std::string> removed;
  view.SetRemovalListener(
      [&](const std::string& id) { removed.push_back(id); });
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1), MakeTargetEntry("b", 2)}, At(0), At(5));
  view.OnFailure(ObjectKind::kTargets, "refused", At(4000), At(5000));
  CHECK_FALSE(view.is_reachable());
  view.OnList(ObjectKind::kTargets, {MakeTargetEntry("a", 1)}, At(9000),
              At(9005));
  CHECK(view.fleet().Serving("m", At(9100)).size() == 2);
  view.Tick(At(11600));
  CHECK(view.fleet().Serving("m", At(11600)).size() == 1);
  CHECK(removed == std::vector<std::string>{"b"});
}

TEST_CASE("a target that is deleted from a settled store is removed at once") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kTargets, {MakeTargetEntry("a", 1)}, At(10000),
              At(10005));
  StoredObject gone = MakeTargetEntry("a", 5);
  gone.deleted = true;
  view.OnChanges(ObjectKind::kTargets, {gone}, At(11000), At(11005));
  CHECK(view.fleet().Serving("m", At(11005)).empty());
}

TEST_CASE(
    "an entry that cannot be decoded is skipped and the others are kept") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1), MakeObject("b", 2, {{"service", 5}})},
              At(0), At(5));
  CHECK(view.fleet().targets().size() == 1);
}

TEST_CASE("an incomplete list removes no target and proves no configuration") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1), MakeTargetEntry("b", 2)}, At(0), At(5));
  CHECK(view.OnIncompleteList(ObjectKind::kTargets, {MakeTargetEntry("c", 3)},
                              At(1000), At(1005)));
  CHECK(view.fleet().targets().size() == 3);
  CHECK_FALSE(view.OnIncompleteList(ObjectKind::kConfiguration,
                                    {Configuration(7)}, At(1000), At(1005)));
  CHECK_FALSE(view.freshness().IsFresh(At(1010)));
  CHECK(view.incomplete_lists() == 2);
}

// Load: another writer's entries that could be targets, without end.
TEST_CASE("targets beyond the memory for them are refused") {
  const size_t bytes = serving::HeldBytes(
      platform::DecodeTarget(MakeTargetEntry("a", 1)).value());
  PlatformView view({.max_key_age = milliseconds(4750),
                     .weights = milliseconds(12000),
                     .target_heartbeat = milliseconds(1200),
                     .target_bytes = 3 * bytes});
  const auto names = [&] {
    std::string text;
    for (const auto& [id, target] : view.fleet().targets()) text += id;
    return text;
  };
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1), MakeTargetEntry("b", 2)}, At(0), At(5));
  view.OnChanges(ObjectKind::kTargets,
                 {MakeTargetEntry("c", 3), MakeTargetEntry("d", 4)}, At(10),
                 At(15));
  CHECK(names() == "abc");
  CHECK(view.refused_objects(RefusalCause::kSize) == 1);
  CHECK(view.newest_targets_revision() == 4);
  // A target in use stays, also if its entry has grown too large.
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1),
               MakeModelTargetEntry("b", 5, std::string(1000, 'm'), 2),
               MakeTargetEntry("c", 3)},
              At(20), At(25));
  CHECK(names() == "abc");
  CHECK(view.fleet().Find("b")->record.weights.empty());
  CHECK(view.refused_objects(RefusalCause::kSize) == 2);
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1), MakeTargetEntry("c", 3)}, At(5000),
              At(5005));
  view.OnChanges(ObjectKind::kTargets, {MakeTargetEntry("e", 7)}, At(5010),
                 At(5015));
  CHECK(names() == "ace");
}

TEST_CASE("refused objects are counted, and their revisions are known") {
  PlatformView view = MakeView();
  platform::ObjectRefusals refusals;
  refusals.Add(RefusalCause::kForm, MakeObject("x", 12, nullptr), "addr");
  view.OnRefused(ObjectKind::kTargets, refusals);
  view.OnRefused(ObjectKind::kWeights, refusals);
  CHECK(view.refused_objects(RefusalCause::kForm) == 2);
  CHECK(view.newest_targets_revision() == 12);
}

TEST_CASE("old weights are excluded after the promised time") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kWeights, {}, At(0), At(5));
  view.OnChanges(ObjectKind::kWeights, {Weights(2, 16)}, At(1000), At(1000));
  CHECK(view.OldestUsableWeights("w", At(11400)) == 0);
  CHECK(view.OldestUsableWeights("w", At(11500)) == 2);
  CHECK(view.newest_fence() == 16);
  view.OnChanges(ObjectKind::kWeights, {Weights(1, 20)}, At(2000), At(2000));
  CHECK(view.weights().at("w").newest() == 2);
  CHECK(view.newest_fence() == 20);
}

TEST_CASE("versions in the first list get a grace period after a start") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kWeights, {Weights(5, 40)}, At(100000), At(100000));
  CHECK(view.OldestUsableWeights("w", At(102000)) == 0);
  // A restarted router once used weights that were 15.5 s old.
  CHECK(view.OldestUsableWeights("w", At(102500)) == 5);
}

TEST_CASE("a restored store proves nothing before the lost writes are back") {
  PlatformView view = MakeView();
  view.OnEra(1, At(0), At(0));
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(1000),
              At(1005));
  view.OnChanges(ObjectKind::kConfiguration, {Configuration(9)}, At(2000),
                 At(2005));
  CHECK(view.OnEra(2, At(3000), At(3000)) == serving::EraVerdict::kRestored);
  // The copy lacks version 9, which took a key away: it stays in force, and
  // version 7 does not confirm it.
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(3100),
              At(3105));
  CHECK(view.configuration()->version() == 9);
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(6000),
              At(6005));
  CHECK(view.freshness().confirmed_at() == At(2000));
  CHECK_FALSE(view.OnPeerProof(10, At(6050), At(6060)));
  // A configuration that was never seen here may have been lost too, so nothing
  // counts in the first two seconds.
  view.OnChanges(ObjectKind::kConfiguration, {Configuration(9)}, At(4900),
                 At(6100));
  CHECK(view.freshness().confirmed_at() == At(2000));
  view.OnChanges(ObjectKind::kConfiguration, {}, At(6200), At(6205));
  CHECK(view.freshness().confirmed_at() == At(6200));
  CHECK(view.OnEra(1, At(6300), At(6300)) == serving::EraVerdict::kOutdated);
  CHECK(view.OnPeerProof(9, At(6400), At(6410)));
  CHECK(view.freshness().confirmed_at() == At(6400));
}

// A process that starts in a drill of the store would take the copy for the
// newest state and accept a key that was taken away.
TEST_CASE("a strict process that starts does not trust a copy") {
  PlatformView view({.max_key_age = milliseconds(4750),
                     .weights = milliseconds(12000),
                     .target_heartbeat = milliseconds(1200),
                     .is_revocation_strict = true});
  view.OnEra(2, At(10), At(10));
  CHECK_FALSE(view.OnPeerState({1, 9, true}));
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(100), At(105));
  CHECK_FALSE(view.freshness().confirmed_at());
  CHECK(view.OnPeerState({2, 9, true}));
  view.OnChanges(ObjectKind::kConfiguration, {}, At(300), At(305));
  CHECK_FALSE(view.freshness().confirmed_at());
  CHECK_FALSE(view.KnownState().is_settled);
  view.OnChanges(ObjectKind::kConfiguration, {Configuration(9)}, At(400),
                 At(405));
  CHECK(view.freshness().confirmed_at() == At(400));
  CHECK(view.KnownState() == serving::KnownState{2, 9, true});
  CHECK_FALSE(view.KnownEra(At(2009)).is_settled);
  CHECK(view.KnownEra(At(2010)).is_settled);
  // What a peer said of an earlier era is void.
  view.OnEra(3, At(5000), At(5000));
  CHECK_FALSE(view.OnPeerState({2, 9, true}));
}

TEST_CASE(
    "an operator whose writes do not come back does not end the service") {
  PlatformView view = MakeView();
  view.OnEra(1, At(0), At(0));
  view.OnList(ObjectKind::kConfiguration, {Configuration(9)}, At(1000),
              At(1005));
  view.OnEra(2, At(3000), At(3000));
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(17900),
              At(17905));
  CHECK(view.freshness().confirmed_at() == At(1000));
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(18100),
              At(18105));
  CHECK(view.freshness().confirmed_at() == At(18100));
  CHECK(view.configuration()->version() == 9);
}

TEST_CASE("revisions of an earlier era do not hide entries of the new one") {
  PlatformView view = MakeView();
  view.OnEra(1, At(0), At(0));
  view.OnList(ObjectKind::kTargets, {MakeTargetEntry("a", 500)}, At(5000),
              At(5005));
  view.OnList(ObjectKind::kWeights, {Weights(4, 490)}, At(5000), At(5005));
  const uint64_t fence = view.newest_fence();
  view.OnEra(2, At(9000), At(9000));
  view.OnList(ObjectKind::kTargets, {MakeTargetEntry("a", 300)}, At(9100),
              At(9105));
  StoredObject draining = MakeTargetEntry("a", 310);
  draining.content["state"] = "draining";
  view.OnChanges(ObjectKind::kTargets, {draining}, At(9200), At(9205));
  CHECK(view.fleet().Serving("m", At(9300)).empty());
  view.OnList(ObjectKind::kWeights, {Weights(3, 280)}, At(9200), At(9205));
  CHECK(view.weights().at("w").newest() == 4);
  CHECK(view.newest_fence() > fence);
}

TEST_CASE("targets that the copy lacks are kept until they are written again") {
  PlatformView view = MakeView();
  view.OnEra(1, At(0), At(0));
  view.OnList(ObjectKind::kTargets,
              {MakeTargetEntry("a", 1), MakeTargetEntry("b", 2)}, At(10000),
              At(10005));
  view.OnEra(2, At(20000), At(20000));
  view.OnList(ObjectKind::kTargets, {MakeTargetEntry("a", 1)}, At(20100),
              At(20105));
  CHECK(view.fleet().Serving("m", At(20200)).size() == 2);
  view.OnChanges(ObjectKind::kTargets, {MakeTargetEntry("b", 3)}, At(21000),
                 At(21005));
  view.Tick(At(24000));
  CHECK(view.fleet().Serving("m", At(24000)).size() == 2);
}

}  // namespace dogwoodlatch::daemon
