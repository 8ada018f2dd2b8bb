// Quarantine of requests that crash targets, shared with the other routers and
// stored in the platform, and the retry budget of this router's requests.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "dogwoodlatch/quarantine.h"
#include "dogwoodlatch/retry_budget.h"
#include "dogwoodlatch/util/platform_client.h"
#include "dogwoodlatch/util/platform_sync.h"
#include "router_settings.h"

namespace dogwoodlatch::router {

// Retry budget shared by all requests of this router. Thread-safe.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetLimits limits) : budget_(limits) {}

  void OnFirstAttempt() {
    const std::lock_guard lock(mutex_);
    budget_.OnFirstAttempt(SteadyNow());
  }
  bool Withdraw() {
    const std::lock_guard lock(mutex_);
    return budget_.Withdraw(SteadyNow());
  }

 private:
  std::mutex mutex_;
  RetryBudget budget_;
};

// Tracks crash suspects and quarantined requests by digest. Writes to the
// platform and notifications of peers run on its own threads from Start to
// Stop, so that no request waits for them. Thread-safe.
class CrashGuard {
 public:
  // Registers for changes of quarantine objects; `sync` must be started later.
  CrashGuard(const RouterSettings& settings, PlatformSync& sync);
  ~CrashGuard() { Stop(); }
  CrashGuard(const CrashGuard&) = delete;
  CrashGuard& operator=(const CrashGuard&) = delete;

  void Start();
  // Asks the threads to end: the peer thread once its queue has been sent, the
  // write thread after its calls in progress. Stop also joins them.
  void BeginStop();
  void Stop();

  Suspicion Find(uint64_t digest) const;
  // Records a target crash with the digests of the requests in flight.
  void OnCrash(const std::vector<uint64_t>& in_flight, bool ran_alone);
  // Clears a suspect that has completed while it ran alone.
  void OnCompletedAlone(uint64_t digest);

  // Applies an entry sent by a peer. Returns false if it is malformed.
  bool OnPeerMessage(const nlohmann::json& body);

  // Returns the entries in force, for the status report.
  nlohmann::json Status() const;

 private:
  void NotifyPeers();
  void WriteToPlatform();
  void AdoptObject(const PlatformObject& object);
  void LiftByPath(const std::string& path);
  bool Write(const QuarantineEntry& entry);
  // Lifts quarantines written by this router whose objects have been deleted
  // without a change event having arrived.
  void CheckWrittenQuarantines();
  void Lift(uint64_t digest);
  void WaitBeforeRetry();

  const RouterSettings& settings_;
  PlatformClient platform_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  QuarantineTable table_;
  std::deque<std::string> peer_queue_;
  std::deque<QuarantineEntry> platform_queue_;
  std::set<uint64_t> written_quarantines_;  // digests stored in the platform
  bool stopping_ = false;
  std::thread peer_thread_;
  std::thread write_thread_;
};

}  // namespace dogwoodlatch::router
