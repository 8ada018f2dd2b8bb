#include "dogwoodlatch/serving/peer_stops.h"

#include <algorithm>
#include <chrono>

namespace dogwoodlatch::serving {
namespace {

// Routers that are ready, or stopping, say so at least once a second.
constexpr Duration kPresentTime = std::chrono::milliseconds(2500);

// Within this time after its last word, a router that has stopped is back.
constexpr Duration kReturnTime = std::chrono::seconds(10);

// The balancer probes once a second, so that a router that is ready gets
// connections this much later.
constexpr Duration kIntoRotationTime = std::chrono::milliseconds(1100);

// Bounds the memory; more routers tell this one nothing of use.
constexpr size_t kMaxPeers = 256;

}  // namespace

void PeerStops::OnPhase(uint64_t router, RouterPhase phase,
                        Duration stopping_for, TimePoint now) {
  std::erase_if(peers_, [now](const auto& entry) {
    return now - entry.second.heard > kReturnTime;
  });
  if (peers_.size() >= kMaxPeers && !peers_.contains(router)) return;
  Peer& peer = peers_[router];
  if (phase != RouterPhase::kServing) {
    peer.serving_since.reset();
  } else if (!peer.serving_since) {
    peer.serving_since = now;
  }
  peer.phase = phase;
  peer.stopping_since = now - stopping_for;
  peer.heard = now;
}

bool PeerStops::IsAnyServing(TimePoint now) const {
  return std::ranges::any_of(peers_, [now](const auto& entry) {
    return entry.second.phase == RouterPhase::kServing &&
           now - entry.second.heard <= kPresentTime;
  });
}

bool PeerStops::MayEnd(TimePoint since, TimePoint now) const {
  const auto any_peer = [this](auto predicate) {
    return std::ranges::any_of(
        peers_, [&](const auto& entry) { return predicate(entry.second); });
  };
  const auto is_in_rotation = [now](const Peer& peer) {
    return peer.serving_since &&
           now - *peer.serving_since >= kIntoRotationTime &&
           now - peer.heard <= kPresentTime;
  };
  if (any_peer(is_in_rotation)) return true;
  const auto stops_later = [since, now](const Peer& peer) {
    return peer.phase == RouterPhase::kStopping &&
           peer.stopping_since > since && now - peer.heard <= kPresentTime;
  };
  if (any_peer(stops_later)) return true;
  return !any_peer([now](const Peer& peer) {
    return peer.phase != RouterPhase::kServing
               ? now - peer.heard <= kReturnTime
               : now - peer.heard <= kPresentTime;
  });
}

}  // namespace dogwoodlatch::serving
