/// The agent's queue before its engine: bounded in tokens, by priority class,
/// and fair between workspaces.
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
  /// Prefill work handed to the engine ahead of time. The engine runs it in
  /// order of arrival, so this much is beyond the reach of fair sharing.
  uint64_t max_engine_tokens = 16384;
};

/// One request that waits for prefill.
struct QueuedWork {
  RequestId id;
  WorkspaceId workspace;
  double share = 1;     ///< weight of the workspace
  int priority = 0;     ///< higher runs earlier
  uint64_t tokens = 0;  ///< prompt tokens expected to be computed
  TimePoint deadline;   ///< of the first token
};

/// The work was not queued and was not run.
struct Shed {
  Duration retry_after{0};
};

/// Work that leaves the queue: for the engine, or shed because it has become
/// too late for its deadline.
struct DequeuedWork {
  QueuedWork work;
  std::optional<Shed> shed;
};

/// Start-time fair queueing in each priority class. Not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionLimits limits) : limits_(limits) {}

  /// Queues the work, or sheds it when the queue is full or would start it too
  /// late.
  std::optional<Shed> Offer(QueuedWork work, TimePoint now,
                            uint64_t tokens_per_second);

  /// The next work for the engine, when the engine has room for it.
  std::optional<DequeuedWork> Take(TimePoint now, uint64_t tokens_per_second);

  /// Gives work at the engine another cost than was expected of it.
  void CorrectCost(const RequestId& id, uint64_t tokens);

  /// The engine has prefilled the work or ended it, or the caller has gone
  /// while it waited.
  void OnEnded(const RequestId& id);

  /// Prefill work ahead of new work of `workspace`, under fair sharing.
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
    std::map<WorkspaceId, WorkspaceQueue> workspace_queues;  // with work only
    uint64_t tokens = 0;
  };
  using Classes = std::map<int, PriorityClass, std::greater<>>;

  void Erase(
      const Classes::iterator& priority_class,
      const std::map<WorkspaceId, WorkspaceQueue>::iterator& workspace_queue,
      const std::deque<QueuedWork>::iterator& work);

  AdmissionLimits limits_;
  Classes classes_;
  // Tokens started per unit of share. A workspace that comes back from idle
  // starts at the present virtual time and claims nothing for the past.
  std::unordered_map<WorkspaceId, double> virtual_finish_;
  double virtual_time_ = 0;
  std::unordered_map<RequestId, QueuedWork> at_engine_;
  uint64_t queued_tokens_ = 0;
  uint64_t engine_tokens_ = 0;
};

}  // namespace dogwoodlatch
