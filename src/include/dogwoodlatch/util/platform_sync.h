/// Keeps a daemon's settings and VM list in step with the platform and
/// publishes them by read-copy-update.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/settings.h"
#include "dogwoodlatch/util/platform_client.h"
#include "dogwoodlatch/util/rcu_cell.h"

namespace dogwoodlatch {

struct PlatformSyncOptions {
  PlatformClientOptions platform;
  std::chrono::milliseconds watch_wait{0};   ///< longest time one watch waits
  std::chrono::milliseconds retry_pause{0};  ///< pause after a failed call
};

/// Follows the platform on threads of its own, from Start to Stop.
class PlatformSync {
 public:
  explicit PlatformSync(PlatformSyncOptions options);
  ~PlatformSync();
  PlatformSync(const PlatformSync&) = delete;
  PlatformSync& operator=(const PlatformSync&) = delete;

  void Start();
  void Stop();

  std::shared_ptr<const SettingsSnapshot> settings() const {
    return settings_.Read();
  }
  std::shared_ptr<const VmList> vms() const { return vms_.Read(); }

  /// Whether both settings and VM list were seen at least once.
  bool is_ready() const { return have_settings_ && have_vms_; }

 private:
  void FollowSettings();
  void FollowVms();
  Result<uint64_t> LoadSettings();
  void Adopt(const PlatformObject& object);
  void Pause();

  PlatformSyncOptions options_;
  PlatformClient platform_;
  RcuCell<SettingsSnapshot> settings_;
  RcuCell<VmList> vms_;
  std::atomic<bool> have_settings_{false};
  std::atomic<bool> have_vms_{false};
  std::atomic<bool> stopping_{false};
  std::thread settings_thread_;
  std::thread vms_thread_;
};

}  // namespace dogwoodlatch
