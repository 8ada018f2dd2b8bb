#include "dogwoodlatch/daemon/platform_view.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::daemon {
namespace {

using platform::ObjectKind;
using platform::StoredObject;
using std::chrono::milliseconds;

StoredObject Object(std::string name, uint64_t revision,
                    nlohmann::json content) {
  StoredObject object;
  object.name = std::move(name);
  object.revision = revision;
  object.content = std::move(content);
  return object;
}

StoredObject Configuration(uint64_t version) {
  return Object("main", version, {{"version", version}});
}

StoredObject TargetEntry(const std::string& id, uint64_t revision) {
  return Object(id, revision,
                {{"service", "m"},
                 {"addr", "10.0.0.1:80"},
                 {"state", "ready"},
                 {"born", 1}});
}

StoredObject Weights(uint64_t version, uint64_t revision) {
  return Object("w", revision, {{"model", "w"}, {"version", version}});
}

PlatformView MakeView() {
  return {milliseconds(4750), milliseconds(3000), milliseconds(12000)};
}

}  // namespace

TEST_CASE("a configuration is never replaced by an older one") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kConfiguration, {Configuration(7)}, At(0), At(5));
  view.OnChanges(ObjectKind::kConfiguration, {Configuration(9)}, At(10),
                 At(15));
  view.OnList(ObjectKind::kConfiguration, {Configuration(8)}, At(20), At(25));
  CHECK(view.configuration()->version() == 9);
  view.OnChanges(ObjectKind::kConfiguration, {Object("main", 30, "torn")},
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
  view.OnList(ObjectKind::kTargets, {TargetEntry("a", 1), TargetEntry("b", 2)},
              At(0), At(5));
  view.OnFailure(ObjectKind::kTargets, "refused", At(5000));
  CHECK_FALSE(view.is_reachable());
  view.OnList(ObjectKind::kTargets, {TargetEntry("a", 1)}, At(9000), At(9005));
  CHECK(view.fleet().Serving("m", At(9100)).size() == 2);
  view.Tick(At(11600));
  CHECK(view.fleet().Serving("m", At(11600)).size() == 1);
  CHECK(removed == std::vector<std::string>{"b"});
  CHECK_FALSE(view.IsSettled(At(11000)));
  CHECK(view.IsSettled(At(12100)));
}

TEST_CASE("a target that is deleted from a settled store is removed at once") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kTargets, {TargetEntry("a", 1)}, At(10000),
              At(10005));
  StoredObject gone = TargetEntry("a", 5);
  gone.deleted = true;
  view.OnChanges(ObjectKind::kTargets, {gone}, At(11000), At(11005));
  CHECK(view.fleet().Serving("m", At(11005)).empty());
}

TEST_CASE(
    "an entry that cannot be decoded is skipped and the others are kept") {
  PlatformView view = MakeView();
  view.OnList(ObjectKind::kTargets,
              {TargetEntry("a", 1), Object("b", 2, {{"service", 5}})}, At(0),
              At(5));
  CHECK(view.fleet().targets().size() == 1);
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

}  // namespace dogwoodlatch::daemon
