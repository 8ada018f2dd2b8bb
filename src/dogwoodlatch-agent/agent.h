// The agent: receives orders from routers, admits them through AgentCore and
// PrefillScheduler, and runs the admitted ones at the target.
#pragma once

#include <asio/thread_pool.hpp>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "agent_settings.h"
#include "at_most_once_runner.h"
#include "dogwoodlatch/agent_core.h"
#include "dogwoodlatch/prefill_scheduler.h"
#include "dogwoodlatch/transport.h"
#include "event_follower.h"
#include "target_client.h"

namespace dogwoodlatch::agent {

class Agent {
 public:
  explicit Agent(const AgentSettings& settings);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Returns false if the address cannot be bound.
  bool Start();

  // Refuses new orders from now on; running ones continue.
  void StartDraining();

  // Refuses new orders and waits for running ones. Idempotent orders that are
  // still running after `handover_after` are handed over to another target.
  // Waits for at most the drain timeout; connections stay open until
  // destruction.
  void Drain();

  bool is_ready() const { return target_up_; }
  nlohmann::json Status() const;
  std::string Metrics() const;

 private:
  // One admitted attempt at an idempotent order.
  struct Run {
    Submit order;
    ConnectionId connection = 0;
    TimePoint deadline;
    Cancellation cancellation;
    uint64_t next_sequence = 0;
  };

  void OnReceived(ConnectionId connection, const std::string& bytes);
  void OnClosed(ConnectionId connection);
  void Handle(ConnectionId connection, const Hello& hello);
  void Handle(ConnectionId connection, const Probe& probe);
  void Handle(ConnectionId connection, Submit& submit);
  void Handle(ConnectionId connection, const Cancel& cancel);
  // Queues a chat run for prefill, or returns the refusal. Requires `mutex_`.
  std::optional<Refused> Queue(const std::shared_ptr<Run>& run);
  // Starts or refuses the runs that the scheduler releases.
  void Dispatch();
  void Refuse(const std::shared_ptr<Run>& run, RefusalReason reason,
              Duration retry_after);
  // Returns why the order does not match the target's current state, or none.
  std::optional<RefusalReason> FindStaleReason(const Submit& order) const;
  void OnPrefilled(const Run& run);
  // Removes an ended run. Requires `mutex_`.
  void RemoveRun(const std::shared_ptr<Run>& run);
  void Execute(const std::shared_ptr<Run>& run);
  void ExecuteAtMostOnce(const StartRun& start);
  void Report(const Run& run, const CallResult& result);
  void ReportCrash(const Run& run);
  bool HasTargetRestarted(const Run& run) const;
  bool WaitUntilIdle(TimePoint until) const;
  void HandOverRuns();
  void CancelExpiredRuns();
  void MonitorTarget();
  void SetTargetHealth(const std::optional<TargetHealth>& health);
  void Send(ConnectionId connection, const Message& message) {
    node_.Send(connection, Encode(message));
  }

  const AgentSettings& settings_;
  TargetClient target_;
  std::string boot_id_;
  mutable std::mutex mutex_;
  AgentCore core_;
  std::string target_boot_id_;
  std::map<RequestId, std::shared_ptr<Run>> runs_;
  PrefillScheduler scheduler_;
  std::map<RequestId, std::shared_ptr<Run>> queued_;  // keyed by run id
  std::atomic<bool> target_up_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> finished_{0};
  AtMostOnceRunner at_most_once_;
  asio::thread_pool pool_;
  TransportNode node_;
  std::thread monitor_;
  EventFollower follower_;
};

}  // namespace dogwoodlatch::agent
