/// What the other routers have said of their stops: a router that stops goes on
/// while none of them could serve in its place.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

enum class RouterPhase { kStarting, kServing, kStopping };

class PeerStops {
 public:
  /// The router, which has been stopping for `stopping_for` if it is, said so.
  void OnPhase(uint64_t router, RouterPhase phase, Duration stopping_for,
               TimePoint now);

  /// True if another router says that it is ready.
  bool IsAnyServing(TimePoint now) const;

  /// True if a router that has been stopping since `since` need not wait for
  /// another one: one is in rotation, one began to stop later and is still
  /// there, or none is expected back.
  bool MayEnd(TimePoint since, TimePoint now) const;

 private:
  struct Peer {
    RouterPhase phase = RouterPhase::kStarting;
    TimePoint stopping_since{};
    std::optional<TimePoint> serving_since{};
    TimePoint heard{};
  };

  std::map<uint64_t, Peer> peers_;
};

}  // namespace dogwoodlatch::serving
