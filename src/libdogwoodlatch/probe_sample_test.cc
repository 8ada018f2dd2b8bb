#include "dogwoodlatch/probe_sample.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>

namespace dogwoodlatch {
namespace {

std::vector<PieceKey> MakeChain(size_t pieces) {
  std::vector<PieceKey> chain(pieces);
  std::iota(chain.begin(), chain.end(), PieceKey{100});
  return chain;
}

}  // namespace

TEST_CASE(
    "a sample never overstates the cached depth and is off by less than its "
    "spacing") {
  rc::prop("sampled depth against the true depth", [] {
    const size_t pieces = *rc::gen::inRange<size_t>(0, 300);
    const auto cached = *rc::gen::inRange<size_t>(0, pieces + 1);
    const std::vector<PieceKey> chain = MakeChain(pieces);
    const ProbeSample sample(chain, kMaxProbeKeys);
    RC_ASSERT(sample.keys().size() <= kMaxProbeKeys);
    const auto leading = std::ranges::count_if(
        sample.keys(), [&](PieceKey key) { return key < 100 + cached; });
    const uint32_t depth = sample.CachedDepth(static_cast<uint32_t>(leading));
    const size_t spacing = pieces / kMaxProbeKeys + 1;
    RC_ASSERT(depth <= cached);
    RC_ASSERT(depth + spacing > cached);
  });
}

TEST_CASE(
    "a short chain is sampled completely and a long one up to its last key") {
  CHECK(ProbeSample(MakeChain(5), kMaxProbeKeys).keys() == MakeChain(5));
  CHECK(ProbeSample(MakeChain(50), kMaxProbeKeys).keys().back() == 149);
  CHECK(ProbeSample({}, kMaxProbeKeys).CachedDepth(3) == 0);
}

}  // namespace dogwoodlatch
