/// Routing: selects the targets to probe for a prompt, and one of those that
/// replied.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/messages.h"

namespace dogwoodlatch {

struct RoutingPolicy {
  size_t max_candidates = 4;  ///< targets probed for one request
  /// Added cost in seconds per second of recomputed prefill.
  double recompute_weight = 1.0;
  std::string failure_domain;  ///< the router's own
};

/// A probed target and its reply.
struct ProbedTarget {
  TargetId target;
  ProbeReply reply;
  Duration round_trip{0};  ///< of the probe
};

/// Length and piece keys of a prompt.
struct PromptShape {
  std::vector<PieceKey> piece_keys;
  uint32_t prompt_tokens = 0;
  size_t piece_tokens = 0;
};

/// The targets to probe, best first, by rendezvous hashing on the keys of the
/// chain. Depends only on its arguments, so every router picks the same
/// targets, also after a restart.
std::vector<TargetId> PickCandidates(
    std::span<const TargetEntry* const> serving, const PromptShape& prompt,
    const RoutingPolicy& policy);

/// The index of the probed target with the lowest cost; none if all are
/// draining or unhealthy.
std::optional<size_t> ChooseTarget(std::span<const ProbedTarget> probed,
                                   const PromptShape& prompt,
                                   const RoutingPolicy& policy);

}  // namespace dogwoodlatch
