#include "dogwoodlatch/serving/store_era.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {

TEST_CASE("answers of an earlier era are outdated and a rise voids revisions") {
  StoreEra era;
  CHECK(era.OnAnswer(3, At(0)) == EraVerdict::kCurrent);
  CHECK_FALSE(era.WasRestoredWithin(kRewriteTime, At(0)));
  CHECK(era.OnAnswer(3, At(10)) == EraVerdict::kCurrent);
  CHECK(era.OnAnswer(4, At(1000)) == EraVerdict::kRestored);
  CHECK(era.OnAnswer(3, At(1100)) == EraVerdict::kOutdated);
  CHECK(era.OnAnswer(4, At(1200)) == EraVerdict::kCurrent);
  CHECK(era.WasRestoredWithin(kRewriteTime, At(2900)));
  CHECK_FALSE(era.WasRestoredWithin(kRewriteTime, At(3100)));
}

TEST_CASE("fences grow with eras although revisions fall") {
  CHECK(MakeFence(0, 41) == 41);
  rc::prop("a later era always gives a higher fence", [] {
    const auto era = *rc::gen::inRange<uint64_t>(0, 8000);
    const auto earlier = *rc::gen::inRange<uint64_t>(0, uint64_t{1} << 40);
    const auto later = *rc::gen::inRange<uint64_t>(0, uint64_t{1} << 40);
    RC_ASSERT(MakeFence(era, earlier) < MakeFence(era + 1, later));
    RC_ASSERT(MakeFence(era, earlier) < uint64_t{1} << 53);
  });
}

}  // namespace dogwoodlatch::serving
