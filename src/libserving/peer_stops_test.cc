#include "dogwoodlatch/serving/peer_stops.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {

using std::chrono::milliseconds;

// Guards against a router that waits at its end though nobody comes back.
TEST_CASE("a router without others may end") {
  const PeerStops peers;
  CHECK(peers.MayEnd(At(0), At(2600)));
  CHECK_FALSE(peers.IsAnyServing(At(2600)));
}

// Guards against all routers being away at once: the last one to stop waits
// until another one is ready again.
TEST_CASE("the router that began to stop last waits for one that is back") {
  PeerStops peers;
  peers.OnPhase(1, RouterPhase::kStopping, milliseconds(1000), At(3000));
  CHECK(peers.MayEnd(At(1500), At(3000)));
  CHECK_FALSE(peers.MayEnd(At(2500), At(3000)));
  // It has ended and starts again.
  CHECK_FALSE(peers.MayEnd(At(2500), At(6000)));
  peers.OnPhase(1, RouterPhase::kStarting, {}, At(6500));
  CHECK_FALSE(peers.MayEnd(At(2500), At(6500)));
  peers.OnPhase(1, RouterPhase::kServing, {}, At(7000));
  CHECK(peers.IsAnyServing(At(7000)));
  // The balancer has not noticed yet.
  CHECK_FALSE(peers.MayEnd(At(2500), At(7900)));
  peers.OnPhase(1, RouterPhase::kServing, {}, At(8000));
  CHECK(peers.MayEnd(At(2500), At(8100)));
}

// Guards against trust in a router that has vanished: neither what serves nor
// what stops later counts once it is silent.
TEST_CASE("a router that is silent serves nobody") {
  PeerStops peers;
  peers.OnPhase(1, RouterPhase::kServing, {}, At(1000));
  CHECK(peers.IsAnyServing(At(3500)));
  CHECK_FALSE(peers.IsAnyServing(At(3501)));
  peers.OnPhase(2, RouterPhase::kStopping, milliseconds(0), At(4000));
  CHECK(peers.MayEnd(At(3000), At(6500)));
  CHECK_FALSE(peers.MayEnd(At(3000), At(6501)));
}

}  // namespace dogwoodlatch::serving
