/// When a target takes the weights that were named last, as the agent beside it
/// decides.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Where a target stands in a change of weights.
enum class RolloutPhase {
  kServing,   ///< takes requests
  kDraining,  ///< gets no new requests; those in progress end
  kLoading    ///< runs nothing
};
inline constexpr int kRolloutPhases = 3;

/// What an agent knows of one target that serves the same model.
struct RolloutPeer {
  std::string target_id;
  uint64_t version = 0;  ///< weights that it has
  RolloutPhase phase = RolloutPhase::kServing;
  int waiting_requests = 0;  ///< queued, or without a first token
};

struct RolloutLimits {
  size_t min_concurrent_loads = 2;  ///< that may always run at once
  double max_load_share = 0.2;  ///< of all targets; beyond it loads take longer
  double busy_waiting_requests =
      4;                      ///< mean of waiting requests from which the
                              ///< targets in service can spare no other
  Duration batch_timeout{0};  ///< longest wait for the peers of one turn
};

/// True when the target `own_id` should stop taking requests, to be ready when
/// it may load `named`. Every agent comes to the same order of turns from the
/// list alone: the targets that lag behind go in the order of a hash over id
/// and version. Peers that neither load nor finish are passed after `turn`, so
/// a target that is gone holds up nobody. `since` is how long the version is
/// known here.
bool ShouldDrain(std::string_view own_id, uint64_t named,
                 std::span<const RolloutPeer> peers, Duration since,
                 const RolloutLimits& limits);

/// True when a target that has drained may be ordered to load: fewer peers load
/// than may at once.
bool MayLoad(std::string_view own_id, std::span<const RolloutPeer> peers,
             const RolloutLimits& limits);

}  // namespace dogwoodlatch::serving
