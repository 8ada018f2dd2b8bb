// What this router knows of requests that crash targets, shared with its peers
// at once and kept in the platform; and the retry budget of its requests.
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

// Thread-safe.
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

// Thread-safe. Writes the platform and tells peers on threads of its own from
// Start to Stop; a request never waits for either.
class CrashGuard {
 public:
  // Follows the quarantine objects by `sync`, which starts later.
  CrashGuard(const RouterSettings& settings, PlatformSync& sync);
  ~CrashGuard() { Stop(); }
  CrashGuard(const CrashGuard&) = delete;
  CrashGuard& operator=(const CrashGuard&) = delete;

  void Start();
  // Ends the threads once their calls return; Stop waits for them.
  void BeginStop();
  void Stop();

  Suspicion Find(uint64_t digest) const;
  void OnCrash(const std::vector<uint64_t>& in_flight, bool ran_alone);
  void OnCompletedAlone(uint64_t digest);

  // A peer's entry; false when it is malformed.
  bool OnPeerMessage(const nlohmann::json& body);

  // The entries in force, for operators.
  nlohmann::json Status() const;

 private:
  void TellPeers();
  void WriteToPlatform();
  void AdoptObject(const PlatformObject& object);
  void LiftPath(const std::string& path);
  bool Write(const QuarantineEntry& entry);
  // Lifts the written quarantines whose objects were deleted unseen.
  void CheckWritten();
  void Lift(uint64_t digest);
  void Pause();

  const RouterSettings& settings_;
  PlatformClient platform_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  QuarantineTable table_;
  std::deque<std::string> for_peers_;
  std::deque<QuarantineEntry> for_platform_;
  std::set<uint64_t> written_;  // their objects are in the platform
  bool stopping_ = false;
  std::thread peer_thread_;
  std::thread write_thread_;
};

}  // namespace dogwoodlatch::router
