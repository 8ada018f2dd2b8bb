#include "dogwoodlatch/serving/rollout.h"

#include <xxhash.h>

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

uint64_t TurnKey(std::string_view id, uint64_t version) {
  return XXH64(id.data(), id.size(), version);
}

}  // namespace

bool IsTurnToLoad(std::string_view own_id, uint64_t named,
                  std::span<const RolloutPeer> peers, Duration since,
                  const RolloutLimits& limits) {
  const uint64_t own_key = TurnKey(own_id, named);
  const auto is_ahead = [&](const RolloutPeer& peer) {
    return peer.target_id != own_id &&
           TurnKey(peer.target_id, named) < own_key;
  };
  const auto ahead = static_cast<size_t>(std::ranges::count_if(peers, is_ahead));
  const auto waiting_ahead = static_cast<size_t>(
      std::ranges::count_if(peers, [&](const RolloutPeer& peer) {
        return is_ahead(peer) && peer.version < named;
      }));
  const auto loading = static_cast<size_t>(
      std::ranges::count_if(peers, [&](const RolloutPeer& peer) {
        return peer.target_id != own_id && peer.is_loading;
      }));
  const size_t batch = std::max<size_t>(1, limits.concurrent_loads);
  if (loading < batch && waiting_ahead < batch) return true;
  const auto turns = static_cast<int64_t>(ahead / batch);
  return since >= limits.turn * (turns + 1);
}

}  // namespace dogwoodlatch::serving
