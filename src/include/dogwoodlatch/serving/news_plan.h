/// How often and to whom a process tells its news, so that its own cost stays
/// bounded where there are many to tell.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Time between two news of a router to `receivers` others.
Duration RouterUpdatePeriod(size_t receivers);

/// Time between two news of an agent to `receivers` routers, unless they are
/// urgent.
Duration AgentUpdatePeriod(size_t receivers);

/// Chooses a bounded number of entries, each in its turn.
class RoundRobinSelector {
 public:
  explicit RoundRobinSelector(size_t max_entries) : max_entries_(max_entries) {}

  /// Indexes into `count` entries, at most `most` of them. Successive calls go
  /// through all entries.
  std::vector<size_t> Next(size_t count);

 private:
  size_t max_entries_;
  size_t next_ = 0;
};

}  // namespace dogwoodlatch::serving
