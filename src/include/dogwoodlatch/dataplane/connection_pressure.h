/// Decides which connections give way when memory or descriptors run short.
///
/// Load: clients that are not controlled, with requests of legal size that are
/// costly to hold, stop short of their end, or read no answers.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::dataplane {

/// Time without progress from which on a connection may give way to one of the
/// same standing. A sound caller's packets are retransmitted within it.
inline constexpr std::chrono::milliseconds kMinStall{300};

/// What a connection holds and how it progresses.
struct ConnectionLoad {
  bool has_key = false;  ///< a request on it has had a valid key
  size_t held_bytes = 0;
  Duration stalled{};  ///< time since its last progress
};

class ConnectionPressure {
 public:
  explicit ConnectionPressure(std::vector<ConnectionLoad> loads)
      : loads_(std::move(loads)) {}

  /// Returns the connections that give way to one that needs `needed` bytes,
  /// until `wanted` bytes are free; none if they hold less than `needed`.
  /// Those without a key come first, then those that hold most and progress
  /// least. A connection gives way to one of the same standing only if it is
  /// stalled, and never to one of a lower standing.
  std::vector<size_t> MakeRoom(bool claimant_has_key, size_t needed,
                               size_t wanted) const;

  /// Returns the connections that end, slowest first, until `bytes` are free.
  std::vector<size_t> Slowest(size_t bytes) const;

  /// Returns the connection whose descriptor is taken: the one that has been
  /// stalled longest, one without a key before any with one. None if no
  /// connection is stalled.
  std::optional<size_t> LeastActive() const;

 private:
  bool GivesWayBefore(size_t a, size_t b) const;

  std::vector<ConnectionLoad> loads_;
};

}  // namespace dogwoodlatch::dataplane
