/// Synchronises a daemon's settings and VM list with the platform, and with its
/// peers during startup, and publishes them by read-copy-update.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/settings.h"
#include "dogwoodlatch/settings_sync.h"
#include "dogwoodlatch/util/platform_client.h"
#include "dogwoodlatch/util/rcu_cell.h"

namespace dogwoodlatch {

struct PlatformSyncOptions {
  PlatformClientOptions platform;
  WatchLoopOptions loop;
  std::vector<std::string> peers;  ///< operations addresses of other daemons
  std::chrono::milliseconds peer_timeout{0};
};

/// Watches the platform on its own threads between Start and Stop.
class PlatformSync {
 public:
  using ChangeListener = std::function<void(const ObjectChange&)>;

  explicit PlatformSync(PlatformSyncOptions options);
  ~PlatformSync();
  PlatformSync(const PlatformSync&) = delete;
  PlatformSync& operator=(const PlatformSync&) = delete;

  /// Also watches the objects under another prefix, in the same watch call: the
  /// listener is called once for each newer version or deletion, on a thread of
  /// this object. Call before Start.
  void Follow(const std::string& prefix, ChangeListener listener);

  void Start();
  void Stop();

  std::shared_ptr<const SettingsSnapshot> settings() const {
    return settings_.Read();
  }
  std::shared_ptr<const VmList> vms() const { return vms_.Read(); }

  /// Whether both settings and VM list were received from the platform or a
  /// peer.
  bool is_ready() const { return have_settings_ && have_vms_; }

  /// Status for operators: versions in force, faults, and whether the platform
  /// is available.
  nlohmann::json Status() const;

  /// Settings and VM list for a peer that is starting.
  nlohmann::json Snapshot() const;

 private:
  void RunObjectWatch();
  void RunVmListWatch();
  void RequestPeerSnapshots();
  void ExecuteObjectCall(const WatchCall& call);
  void ExecuteVmListCall(const WatchCall& call, WatchLoop& loop);
  void RequestPeerSnapshot(const std::string& peer);
  void AdoptVms(VmList list);
  void Publish(const SyncChanges& changes);
  void ReportAvailability(int failures);
  bool WaitUntil(TimePoint time);

  PlatformSyncOptions options_;
  PlatformClient platform_;
  std::vector<std::string> prefixes_;
  std::map<std::string, ChangeListener> listeners_;

  // Guards sync_, vm_list_json_, platform_down_ and the order of publication.
  mutable std::mutex mutex_;
  std::unique_ptr<SettingsSync> sync_;
  nlohmann::json vm_list_json_;
  bool platform_down_ = false;

  RcuCell<SettingsSnapshot> settings_;
  RcuCell<VmList> vms_;
  std::atomic<bool> have_settings_{false};
  std::atomic<bool> have_vms_{false};

  std::mutex stop_mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::atomic<int> running_{0};
  std::vector<std::thread> threads_;
};

}  // namespace dogwoodlatch
