/// Capacity-weighted rendezvous hashing: ranks targets for a key alike at every
/// router.
#pragma once

#include <cstdint>
#include <string_view>

namespace dogwoodlatch::serving {

/// The score of a target for a key; the highest one is the key's home. A target
/// is the home of a share of the keys in proportion to its weight. When a
/// weight changes, only keys that move to or from that target change their
/// home.
double RendezvousScore(std::string_view target, uint64_t key, double weight);

}  // namespace dogwoodlatch::serving
