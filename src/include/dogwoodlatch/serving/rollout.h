/// When a target takes the weights that were named last, as the agent beside it
/// decides.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// What an agent knows of one target that serves the same model.
struct RolloutPeer {
  std::string target_id;
  uint64_t version = 0;     ///< weights that it has
  bool is_loading = false;  ///< it said so a moment ago
};

struct RolloutLimits {
  size_t concurrent_loads = 2;  ///< beyond it every load takes longer
  Duration turn{0};             ///< longest wait for the peers of one turn
};

/// True when the target `own_id` should be ordered to load `named`. Every agent
/// comes to the same order of turns from the list alone: the targets that lag
/// behind go in the order of a hash over id and version, `concurrent_loads` at
/// a time. Peers that neither load nor finish are passed after `turn`, so a
/// target that is gone holds up nobody. `since` is how long the version is
/// known here.
bool IsTurnToLoad(std::string_view own_id, uint64_t named,
                  std::span<const RolloutPeer> peers, Duration since,
                  const RolloutLimits& limits);

}  // namespace dogwoodlatch::serving
