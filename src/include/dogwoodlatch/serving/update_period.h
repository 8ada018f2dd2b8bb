/// How often and to whom a process sends status updates, so that their cost
/// stays bounded when there are many receivers.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// How much of what others know is outdated.
enum class ChangeSize {
  kNone,   ///< nothing
  kSmall,  ///< nothing that would change a decision soon
  kLarge   ///< enough to change a decision
};

/// Shortest time between two updates of a router to `receivers` other routers.
Duration RouterUpdatePeriod(size_t receivers);

/// A backlog that is worked off before `receivers` other routers learn of it
/// counts as none.
Duration BacklogToPublish(Duration backlog, size_t receivers);

/// How much a router's backlog at a target differs from what `receivers` other
/// routers know of it.
ChangeSize CompareBacklogs(Duration published, Duration present,
                           size_t receivers);

/// Decides when a router sends an update. Receivers take a router that has sent
/// nothing for long for one that they cannot hear.
class UpdateSchedule {
 public:
  bool IsDue(ChangeSize change, size_t receivers, TimePoint now) const;
  void OnSent(TimePoint now) { sent_at_ = now; }

 private:
  TimePoint sent_at_{};
};

/// Time between two updates of an agent to `receivers` routers. Urgent updates
/// are sent at once.
Duration AgentStatusPeriod(ChangeSize change, size_t receivers);

/// How much a target's load differs from the report that routers have.
ChangeSize CompareReports(const LoadReport& published,
                          const LoadReport& present);

/// How many of `routers` each of `agents` lists at a time, and how often.
struct RouterListing {
  size_t routers = 0;
  Duration period{0};
};
RouterListing PlanRouterListing(size_t routers, size_t agents);

/// A part that is used at a target again, by any of `routers`, is announced
/// again after this time.
Duration PartRepeatTime(size_t routers);

/// Time between two subscriptions of a router to `targets` agents.
Duration SubscriptionPeriod(size_t targets);

/// Selects a bounded number of entries per call, in round-robin order.
class RoundRobinSelector {
 public:
  explicit RoundRobinSelector(size_t max_entries) : max_entries_(max_entries) {}

  /// Changes the maximum from the next call on.
  void SetMaxEntries(size_t max_entries) { max_entries_ = max_entries; }

  /// At most `max_entries` indexes below `count`. Successive calls cover all
  /// entries.
  std::vector<size_t> Next(size_t count);

 private:
  size_t max_entries_;
  size_t next_ = 0;
};

}  // namespace dogwoodlatch::serving
