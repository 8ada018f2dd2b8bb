/// The agent's admission queue in front of its engine: bounded in tokens,
/// ordered by priority class, fair between workspaces.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

struct AdmissionLimits {
  uint64_t max_queued_tokens = 2000000;
  /// Dispatching pauses while this many prefill tokens are outstanding at the
  /// engine. The engine runs them in order of arrival, so fair sharing does not
  /// apply to them.
  uint64_t max_engine_tokens = 16384;
};

/// One request that waits for prefill.
struct QueuedWork {
  RequestId id;
  WorkspaceId workspace;
  double share = 1;     ///< weight of the workspace in fair sharing
  int priority = 0;     ///< higher runs earlier
  uint64_t tokens = 0;  ///< prompt tokens expected to be uncached
  TimePoint deadline;   ///< for the first token
};

/// The request was shed under load: neither queued nor run.
struct Shed {
  Duration retry_after{0};
};

/// A request removed from the queue, either to be dispatched to the engine or
/// shed because it can no longer meet its deadline.
struct DequeuedWork {
  QueuedWork work;
  std::optional<Shed> shed;
};

/// Start-time fair queueing within each priority class. Not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionLimits limits) : limits_(limits) {}

  /// Queues the request, or sheds it if the queue is full or the first token
  /// would miss the deadline.
  std::optional<Shed> Offer(QueuedWork work, TimePoint now,
                            uint64_t tokens_per_second);

  /// Removes the next request from the queue; none while the queue is empty or
  /// the engine is full.
  std::optional<DequeuedWork> Take(TimePoint now, uint64_t tokens_per_second);

  /// Replaces the expected cost of a request at the engine by `tokens`.
  void CorrectCost(const RequestId& id, uint64_t tokens);

  /// Releases a request that was prefilled, ended at the engine, or abandoned
  /// by its caller while it was queued.
  void OnEnded(const RequestId& id);

  /// Prefill tokens that fair sharing runs before a new request of `workspace`.
  uint64_t TokensAhead(const WorkspaceId& workspace, double share,
                       int priority) const;

  uint64_t queued_tokens() const { return queued_tokens_; }
  uint64_t engine_tokens() const { return engine_tokens_; }
  bool empty() const { return classes_.empty(); }

 private:
  struct WorkspaceQueue {
    std::deque<QueuedWork> waiting;
    double share = 1;
    uint64_t tokens = 0;
  };
  struct PriorityClass {
    std::map<WorkspaceId, WorkspaceQueue> queues;  // non-empty ones only
    uint64_t tokens = 0;
  };
  using Classes = std::map<int, PriorityClass, std::greater<>>;

  void Erase(const Classes::iterator& priority_class,
             const std::map<WorkspaceId, WorkspaceQueue>::iterator& queue,
             const std::deque<QueuedWork>::iterator& work);

  AdmissionLimits limits_;
  Classes classes_;
  // Virtual finish time of the last request dispatched for each workspace, in
  // tokens per unit of share. A workspace that was idle resumes at the current
  // virtual time and gets no credit for the past.
  std::unordered_map<WorkspaceId, double> virtual_finish_;
  double virtual_time_ = 0;
  std::unordered_map<RequestId, QueuedWork> at_engine_;
  uint64_t queued_tokens_ = 0;
  uint64_t engine_tokens_ = 0;
};

}  // namespace dogwoodlatch
