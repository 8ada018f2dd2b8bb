#include "dogwoodlatch/serving/rollout.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dogwoodlatch::serving {
namespace {

// Mean number of waiting requests per serving target.
double MeanWaiting(std::span<const RolloutPeer> peers) {
  int serving = 0;
  int waiting = 0;
  for (const RolloutPeer& peer : peers) {
    if (peer.phase != RolloutPhase::kServing) continue;
    ++serving;
    waiting += peer.waiting_requests;
  }
  return serving == 0 ? 0.0 : static_cast<double>(waiting) / serving;
}

}  // namespace

// Targets on the oldest versions go first, so that no target stays on an old
// version when versions are named faster than targets load them.
std::pair<uint64_t, uint64_t> ComputeRolloutOrder(std::string_view id,
                                                  uint64_t loaded,
                                                  uint64_t named) {
  return {loaded, XXH64(id.data(), id.size(), named)};
}

size_t MaxConcurrentLoads(size_t targets, const RolloutLimits& limits) {
  const auto share =
      static_cast<size_t>(static_cast<double>(targets) * limits.max_load_share);
  return std::max({size_t{1}, limits.min_concurrent_loads, share});
}

bool ShouldDrain(std::string_view own_id, uint64_t named,
                 std::span<const RolloutPeer> peers, Duration known_for,
                 const RolloutLimits& limits) {
  const auto own = std::ranges::find(peers, own_id, &RolloutPeer::target_id);
  const uint64_t own_version = own == peers.end() ? 0 : own->version;
  const auto own_order = ComputeRolloutOrder(own_id, own_version, named);
  const auto is_ahead = [&](const RolloutPeer& peer) {
    return peer.target_id != own_id &&
           ComputeRolloutOrder(peer.target_id, peer.version, named) < own_order;
  };
  const auto count = [&](auto&& predicate) {
    return static_cast<size_t>(std::ranges::count_if(peers, predicate));
  };
  const size_t waiting_ahead = count([&](const RolloutPeer& peer) {
    return is_ahead(peer) && peer.version < named;
  });
  const size_t out_of_service = count([&](const RolloutPeer& peer) {
    return peer.target_id != own_id && peer.phase != RolloutPhase::kServing;
  });
  const size_t loads = MaxConcurrentLoads(peers.size(), limits);
  const bool is_busy = MeanWaiting(peers) >= limits.busy_waiting_requests;
  const size_t batch = is_busy ? loads : 2 * loads;
  if (out_of_service < batch && waiting_ahead < batch) return true;
  const auto batches_ahead = static_cast<int64_t>(count(is_ahead) / loads);
  return known_for >= limits.batch_timeout * (batches_ahead + 1);
}

bool MayLoad(std::string_view own_id, std::span<const RolloutPeer> peers,
             const RolloutLimits& limits) {
  const auto loading = static_cast<size_t>(
      std::ranges::count_if(peers, [&](const RolloutPeer& peer) {
        return peer.target_id != own_id && peer.phase == RolloutPhase::kLoading;
      }));
  return loading < MaxConcurrentLoads(peers.size(), limits);
}

}  // namespace dogwoodlatch::serving
