#include "dogwoodlatch/cache_index.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <set>

// Catch must come first.
#include <rapidcheck/catch.h>

namespace dogwoodlatch {
namespace {

constexpr PieceKey kKeys = 6;
constexpr EngineBlockId kBlockOffset = 100;

// Models an engine's cache and the notices that it publishes.
struct FakeEngine {
  CacheEpoch epoch{"boot-0", "v0"};
  uint64_t sequence = 0;
  std::set<PieceKey> held;
  int epoch_count = 0;
  int runs = 0;

  CacheNotice Store(const std::vector<PieceKey>& keys) {
    CacheNotice notice{++sequence, CacheChange::kStored, {}, ""};
    notice.run_id = "run-" + std::to_string(++runs);
    for (const PieceKey key : keys) {
      held.insert(key);
      notice.blocks.push_back(key + kBlockOffset);
    }
    return notice;
  }

  CacheNotice Remove(PieceKey key) {
    held.erase(key);
    return {++sequence, CacheChange::kRemoved, {key + kBlockOffset}, ""};
  }

  CacheNotice LoadWeights() {
    held.clear();
    epoch.weights_version = "v" + std::to_string(++epoch_count);
    return {++sequence, CacheChange::kCleared, {}, ""};
  }

  void Reboot() {
    held.clear();
    sequence = 0;
    epoch.boot_id = "boot-" + std::to_string(++epoch_count);
  }
};

// Applies each notice with its own sequence number.
struct ExactFollower {
  void Apply(const CacheEpoch& epoch, CacheNotice notice) {
    index.Apply(epoch, std::span(&notice, 1));
  }
  CacheIndex index;
};

// Broken variant: renumbers the notices that arrive, so it never detects a gap.
struct GapIgnoringFollower {
  void Apply(const CacheEpoch& epoch, CacheNotice notice) {
    if (epoch.boot_id != boot_id) arrived = 0;
    boot_id = epoch.boot_id;
    notice.sequence = ++arrived;
    index.Apply(epoch, std::span(&notice, 1));
  }
  CacheIndex index;
  std::string boot_id;
  uint64_t arrived = 0;
};

// After every notice, each piece that the index reports as cached must be held
// by the engine.
template <typename Follower>
void CheckOnlyHeldPiecesReported() {
  FakeEngine engine;
  Follower follower;
  const auto steps =
      *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 100));
  const auto key = rc::gen::inRange<PieceKey>(0, 2 * kKeys);
  for (const int step : steps) {
    if (step < 2) {
      engine.Reboot();
      continue;
    }
    CacheNotice notice;
    if (step < 4) {
      notice = engine.LoadWeights();
    } else if (step < 45) {
      notice = engine.Remove(*key);
    } else {
      std::vector<PieceKey> keys(*rc::gen::inRange<size_t>(1, kKeys));
      std::iota(keys.begin(), keys.end(), *key);
      notice = engine.Store(keys);
      follower.index.OnQueued(notice.run_id, keys);
      follower.index.OnSubmitted(notice.run_id);
      follower.index.OnEnded(notice.run_id);
    }
    const bool is_lost = step % 7 == 0;
    if (is_lost) continue;
    follower.Apply(engine.epoch, notice);
    for (PieceKey k = 0; k < 2 * kKeys; ++k) {
      const bool is_reported =
          follower.index.CachedPieces(engine.epoch, std::span(&k, 1)) == 1;
      RC_ASSERT(!is_reported || engine.held.contains(k));
    }
  }
}

}  // namespace

TEST_CASE("the index never reports an evicted piece as cached") {
  rc::prop("reported pieces are held",
           CheckOnlyHeldPiecesReported<ExactFollower>);
}

TEST_CASE("the check fails for an index that ignores gaps") {
  CHECK_FALSE(rc::check("broken variant",
                        CheckOnlyHeldPiecesReported<GapIgnoringFollower>));
}

TEST_CASE(
    "entries are unconfirmed after a gap until later notices store them") {
  CacheIndex index;
  const CacheEpoch epoch{"boot", "v"};
  const std::vector<PieceKey> keys = {1, 2};
  index.OnQueued("r1", keys);
  index.OnSubmitted("r1");
  index.OnEnded("r1");
  index.Apply(epoch, std::vector<CacheNotice>{
                         {1, CacheChange::kStored, {11, 12}, "r1"}});
  CHECK(index.CachedPieces(epoch, keys) == 2);
  CHECK(index.CachedPieces({"other boot", "v"}, keys) == 0);
  CHECK(index.CachedPieces({"boot", "other weights"}, keys) == 0);
  index.Apply(epoch,
              std::vector<CacheNotice>{{3, CacheChange::kRemoved, {99}, ""}});
  CHECK(index.gaps() == 1);
  CHECK(index.CachedPieces(epoch, keys) == 0);
  CHECK(index.CachedOrPrefillingPieces(epoch, keys) == 2);
  CHECK(index.CachedOrPrefillingPieces({"other boot", "v"}, keys) == 0);
  index.Apply(epoch, std::vector<CacheNotice>{
                         {4, CacheChange::kStored, {11, 12}, "r1"}});
  CHECK(index.CachedPieces(epoch, keys) == 2);
}

TEST_CASE("unconfirmed entries last until the next gap") {
  CacheIndex index;
  const CacheEpoch epoch{"boot", "v"};
  const std::vector<PieceKey> keys = {1};
  index.OnQueued("r1", keys);
  index.OnSubmitted("r1");
  index.OnEnded("r1");
  index.Apply(epoch,
              std::vector<CacheNotice>{{1, CacheChange::kStored, {11}, "r1"},
                                       {3, CacheChange::kRemoved, {99}, ""}});
  CHECK(index.CachedOrPrefillingPieces(epoch, keys) == 1);
  index.Apply(epoch,
              std::vector<CacheNotice>{{5, CacheChange::kRemoved, {99}, ""}});
  CHECK(index.CachedOrPrefillingPieces(epoch, keys) == 0);
}

TEST_CASE("pieces being prefilled are pending until their run ends") {
  CacheIndex index;
  const CacheEpoch epoch{"boot", "v"};
  const std::vector<PieceKey> keys = {1, 2, 3};
  index.OnQueued("r1", {1, 2});
  CHECK(index.CachedOrPrefillingPieces(epoch, keys) == 0);
  CHECK(index.PendingPieces(epoch, keys) == 2);
  index.OnSubmitted("r1");
  CHECK(index.CachedPieces(epoch, keys) == 0);
  CHECK(index.CachedOrPrefillingPieces(epoch, keys) == 2);
  CHECK(index.PendingPieces(epoch, keys) == 2);
  index.OnEnded("r1");
  CHECK(index.PendingPieces(epoch, keys) == 0);
}

}  // namespace dogwoodlatch
