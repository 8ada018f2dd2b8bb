// Executes the commands of AtMostOnceCore: platform reads and writes, runs at
// the target, and replies to routers.
#pragma once

#include <asio/thread_pool.hpp>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "dogwoodlatch/agent_core.h"
#include "dogwoodlatch/at_most_once_core.h"
#include "dogwoodlatch/transport.h"
#include "dogwoodlatch/util/platform_client.h"

namespace dogwoodlatch::agent {

struct AtMostOnceRunnerOptions {
  TargetId target;
  Incarnation claimant;  // this incarnation of the agent
  PlatformClientOptions platform;
};

struct AtMostOnceHooks {
  std::function<void(ConnectionId, const Message&)> send;
  // Starts a run asynchronously; OnRunEnded must be called when it has ended.
  std::function<void(StartRun)> start;
};

// Thread-safe. `mutex` belongs to the agent and guards `admission`.
class AtMostOnceRunner {
 public:
  AtMostOnceRunner(const AtMostOnceRunnerOptions& options,
                   AtMostOnceHooks hooks, std::mutex& mutex,
                   AgentCore& admission);
  ~AtMostOnceRunner();
  AtMostOnceRunner(const AtMostOnceRunner&) = delete;
  AtMostOnceRunner& operator=(const AtMostOnceRunner&) = delete;

  void OnSubmit(ConnectionId connection, const Submit& submit);
  void OnRunEnded(const ClaimKey& key, RunOutcome outcome,
                  const RunAnswer& answer);

  // Ends the threads after the platform calls in progress have returned.
  void Stop();

  // Returns the logs that this agent owns. The caller must hold the mutex.
  std::vector<ClaimLogName> OwnedLogs() const;

 private:
  using Commands = AtMostOnceCore::Commands;

  // Calls `decide` under the lock, then executes the commands that it returns.
  template <typename F>
  void Decide(F&& decide);
  void Execute(const SendBack& command);
  void Execute(const StartRun& command);
  void Execute(const EnsureLayout& command);
  void Execute(const AccessLog& command);
  void Execute(const EndAdmission& command);
  // Nothing to do: the core processes decisions itself.
  void Access(const ClaimLogName&, const DecideClaim&) {}
  void Access(const ClaimLogName& name, const ReadClaims& command);
  void Access(const ClaimLogName& name, const WriteHead& command);
  void Access(const ClaimLogName& name, const WriteSegment& command);
  void Access(const ClaimLogName& name, const DropSegment& command);
  void TickUntilStopped();

  PlatformClient platform_;
  bool has_platform_;
  AtMostOnceHooks hooks_;
  std::mutex& mutex_;
  AgentCore& admission_;
  AtMostOnceCore core_;
  std::condition_variable work_;
  bool stopping_ = false;
  asio::thread_pool pool_;
  std::thread ticker_;
};

}  // namespace dogwoodlatch::agent
