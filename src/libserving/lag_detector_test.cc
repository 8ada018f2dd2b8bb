#include "dogwoodlatch/serving/lag_detector.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {

// A rollout changes an entry every 200 ms, and this process learns of changes
// up to two seconds late.
TEST_CASE("a process that follows changes a little late has lost nothing") {
  LagDetector detector(std::chrono::milliseconds(2500));
  for (int64_t ms = 0; ms < 30000; ms += 900) {
    const auto peer = static_cast<uint64_t>(100 + ms / 200);
    const auto own = static_cast<uint64_t>(100 + ms / 2000 * 10);
    CHECK_FALSE(detector.OnPeerRevision(own, peer, At(ms)));
  }
}

TEST_CASE("a process that gets no changes any more notices it") {
  LagDetector detector(std::chrono::milliseconds(2500));
  CHECK_FALSE(detector.OnPeerRevision(100, 100, At(0)));
  CHECK_FALSE(detector.OnPeerRevision(100, 101, At(1000)));
  CHECK_FALSE(detector.OnPeerRevision(100, 104, At(3500)));
  CHECK(detector.OnPeerRevision(100, 105, At(3600)));
  // It lists again then, once for each further time without success.
  CHECK_FALSE(detector.OnPeerRevision(100, 105, At(4000)));
  CHECK(detector.OnPeerRevision(100, 105, At(6200)));
  CHECK_FALSE(detector.OnPeerRevision(105, 105, At(6300)));
}

}  // namespace dogwoodlatch::serving
