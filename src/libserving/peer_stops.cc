#include "dogwoodlatch/serving/peer_stops.h"

#include <algorithm>
#include <chrono>

namespace dogwoodlatch::serving {
namespace {

// Routers that are ready, or stopping, say so at least once a second.
constexpr Duration kPresentTime = std::chrono::milliseconds(2500);

// Within this time after its last word, a router that has stopped is back.
constexpr Duration kReturnTime = std::chrono::seconds(10);

// Bounds the memory; more routers tell this one nothing of use.
constexpr size_t kMaxPeers = 256;

}  // namespace

void PeerStops::OnPhase(uint64_t router, RouterPhase phase,
                        Duration stopping_for, TimePoint now) {
  std::erase_if(peers_, [now](const auto& entry) {
    return now - entry.second.heard > kReturnTime;
  });
  if (peers_.size() >= kMaxPeers && !peers_.contains(router)) return;
  peers_[router] = {phase, now - stopping_for, now};
}

bool PeerStops::IsAnyServing(TimePoint now) const {
  return std::ranges::any_of(peers_, [now](const auto& entry) {
    return entry.second.phase == RouterPhase::kServing &&
           now - entry.second.heard <= kPresentTime;
  });
}

bool PeerStops::MayEnd(TimePoint since, TimePoint now) const {
  const bool is_any_expected =
      std::ranges::any_of(peers_, [now](const auto& entry) {
        return entry.second.phase != RouterPhase::kServing &&
               now - entry.second.heard <= kReturnTime;
      });
  const bool is_later_one_present =
      std::ranges::any_of(peers_, [since, now](const auto& entry) {
        return entry.second.phase == RouterPhase::kStopping &&
               entry.second.stopping_since > since &&
               now - entry.second.heard <= kPresentTime;
      });
  return !is_any_expected || is_later_one_present || IsAnyServing(now);
}

}  // namespace dogwoodlatch::serving
