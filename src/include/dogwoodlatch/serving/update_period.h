/// How often and to whom a process sends status updates, so that their cost
/// stays bounded when there are many receivers.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Time between two updates of a router to `receivers` other routers.
Duration RouterUpdatePeriod(size_t receivers);

/// Time between two updates of an agent to `receivers` routers. Urgent updates
/// are sent at once.
Duration AgentStatusPeriod(size_t receivers);

/// Selects a bounded number of entries per call, in round-robin order.
class RoundRobinSelector {
 public:
  explicit RoundRobinSelector(size_t max_entries) : max_entries_(max_entries) {}

  /// At most `max_entries` indexes below `count`. Successive calls cover all
  /// entries.
  std::vector<size_t> Next(size_t count);

 private:
  size_t max_entries_;
  size_t next_ = 0;
};

}  // namespace dogwoodlatch::serving
