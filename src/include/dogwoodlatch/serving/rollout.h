/// Rolling update of model weights: when an agent lets its target drain and
/// load the newest named version.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Phase of a target within a change of weights.
enum class RolloutPhase {
  kServing,   ///< takes requests
  kDraining,  ///< gets no new requests and finishes the running ones
  kLoading    ///< runs no requests
};
inline constexpr int kRolloutPhases = 3;

/// What an agent knows about one target that serves the same model.
struct RolloutPeer {
  std::string target_id;
  uint64_t version = 0;  ///< version of the weights it has loaded
  RolloutPhase phase = RolloutPhase::kServing;
  int waiting_requests = 0;  ///< queued or without a first token
};

struct RolloutLimits {
  size_t min_concurrent_loads = 2;  ///< loads always allowed concurrently
  /// Largest share of all targets that load concurrently; beyond it, each load
  /// takes longer.
  double max_load_share = 0.2;
  /// If at least this many requests wait per serving target on average, the
  /// serving targets have no spare capacity, and no target drains before it may
  /// load.
  double busy_waiting_requests = 4;
  Duration batch_timeout{0};  ///< longest wait for one batch of peers
};

// A load takes about 1.1 s and starts after the runs in progress, which take
// about as long. According to the descriptions of the deployments, loads take
// longer when more than 2 of 9 or 9 of 48 targets load at once.
inline constexpr RolloutLimits kDefaultRolloutLimits{
    .min_concurrent_loads = 2,
    .max_load_share = 0.19,
    .batch_timeout = std::chrono::milliseconds(2500)};

/// Number of targets that may load at the same time.
size_t MaxConcurrentLoads(size_t targets, const RolloutLimits& limits);

/// Order in which targets load `named`, lowest first: those on the oldest
/// weights, then by a hash that all processes compute alike.
std::pair<uint64_t, uint64_t> ComputeRolloutOrder(std::string_view id,
                                                  uint64_t loaded,
                                                  uint64_t named);

/// True if the target `own_id` should drain, to be ready when it may load the
/// version `named`. Agents need no coordination, as all derive the same order
/// from the list of peers: targets on older versions come first, ties are
/// broken by a hash of id and named version. A batch of peers that makes no
/// progress is skipped after `batch_timeout`, so a lost target blocks no
/// others. `known_for` is how long this agent has known the version.
bool ShouldDrain(std::string_view own_id, uint64_t named,
                 std::span<const RolloutPeer> peers, Duration known_for,
                 const RolloutLimits& limits);

/// True if a drained target may be ordered to load, that is, if fewer peers
/// are loading than may load concurrently.
bool MayLoad(std::string_view own_id, std::span<const RolloutPeer> peers,
             const RolloutLimits& limits);

}  // namespace dogwoodlatch::serving
