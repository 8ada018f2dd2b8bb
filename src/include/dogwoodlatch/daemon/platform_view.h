/// The process's view of the platform: configuration, targets and published
/// weights. Configurations and weights are only replaced by newer versions.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/serving/freshness.h"
#include "dogwoodlatch/serving/named_weights.h"
#include "dogwoodlatch/serving/startup_proof.h"
#include "dogwoodlatch/serving/store_era.h"
#include "dogwoodlatch/time.h"
#include "platform/node_settings.h"
#include "platform/objects.h"

namespace dogwoodlatch::daemon {

struct ViewBounds {
  /// Requests with keys are accepted while the configuration was confirmed as
  /// current at most this long ago.
  Duration max_key_age;
  /// Until all targets run newly published weights.
  Duration weights;
  /// Targets renew their entries this often. Entries lapse after three times
  /// without a renewal.
  Duration target_heartbeat;
  /// Keys that were revoked are refused in time also by processes that start.
  bool is_revocation_strict = false;
  /// Limit on the memory of all targets. Entries that would exceed it are
  /// refused.
  size_t target_bytes = 16UL * 1024 * 1024;
};

class PlatformView {
 public:
  using ConfigurationPtr = std::shared_ptr<const serving::Configuration>;

  explicit PlatformView(const ViewBounds& bounds);

  /// `changed` is called after a new configuration has come into force.
  void SetConfigurationListener(std::function<void()> changed) {
    configuration_changed_ = std::move(changed);
  }

  /// `removed` is called when a target must no longer be used.
  void SetRemovalListener(std::function<void(const std::string& id)> removed) {
    target_removed_ = std::move(removed);
  }

  /// Handles a complete list, or the changes of a watch. `sent` is when the
  /// call was sent.
  void OnList(platform::ObjectKind kind,
              const std::vector<platform::StoredObject>& objects,
              TimePoint sent, TimePoint now);
  void OnChanges(platform::ObjectKind kind,
                 const std::vector<platform::StoredObject>& objects,
                 TimePoint sent, TimePoint now);

  /// Handles the part of a list that could be read. Returns false if only a
  /// complete list is of use.
  bool OnIncompleteList(platform::ObjectKind kind,
                        const std::vector<platform::StoredObject>& objects,
                        TimePoint sent, TimePoint now);

  /// Records objects that are not used.
  void OnRefused(platform::ObjectKind kind,
                 const platform::ObjectRefusals& refusals);

  /// Judges an answer of the store by its era. When the store was restored from
  /// an older copy, revisions seen so far are void and the freshness of the
  /// configuration must be proved again; `boot_now` is the time on the clock of
  /// `sent`.
  serving::EraVerdict OnEra(uint64_t era, TimePoint now, TimePoint boot_now);

  /// Another router has proved that version `configuration` was current after
  /// `sent`, and thus that the store answers. Returns false if this view has a
  /// different one, so that the proof does not count.
  bool OnPeerProof(uint64_t configuration, TimePoint sent, TimePoint now);

  /// Another process has said what it knows of the store. Returns true if the
  /// configuration can be proved from now on.
  bool OnPeerState(const serving::KnownState& peer);

  /// True while this process has started a moment ago and others may know a
  /// newer configuration than the store returns.
  bool NeedsPeerState(TimePoint boot_now) const {
    return startup_.NeedsPeers(boot_now);
  }

  /// For a process that follows the configuration.
  serving::KnownState KnownState() const;

  /// For one that does not: settled once the era is older than the time in
  /// which lost writes are repeated.
  serving::KnownState KnownEra(TimePoint boot_now) const;

  /// Handles a failed call whose answer was due at `due`, on the clock of
  /// `now`. The failure says nothing if the store has answered since.
  void OnFailure(platform::ObjectKind kind, const std::string& reason,
                 TimePoint due, TimePoint now);

  /// Removes targets whose grace period has expired.
  void Tick(TimePoint now);

  /// Null until the first configuration has been received.
  const ConfigurationPtr& configuration() const { return configuration_; }
  /// How many versions of the configuration could not be used.
  uint64_t refused_configurations() const { return refused_configurations_; }
  /// How many objects were refused.
  uint64_t refused_objects(platform::RefusalCause cause) const {
    return refused_objects_.at(static_cast<size_t>(cause));
  }
  /// How many lists could not be continued.
  uint64_t incomplete_lists() const { return incomplete_lists_; }
  const serving::FreshnessGuard& freshness() const { return freshness_; }
  serving::Fleet& fleet() { return fleet_; }
  const serving::Fleet& fleet() const { return fleet_; }
  const std::map<std::string, serving::NamedVersions>& weights() const {
    return weights_;
  }
  /// The oldest version of a model's weights that may still run; 0 for any.
  uint64_t OldestUsableWeights(const std::string& model, TimePoint now) const;

  const serving::StoreEra& era() const { return era_; }

  /// Highest fence of all published weights.
  uint64_t newest_fence() const { return newest_fence_; }
  bool has_targets() const { return has_targets_; }

  /// Revision of the newest change of a target's entry in the current era.
  uint64_t newest_targets_revision() const { return newest_targets_revision_; }
  bool is_reachable() const { return consecutive_failures_ == 0; }

 private:
  void OnStoreResponse(TimePoint now);
  void OnStoreSeen(TimePoint now);
  void ConfirmConfiguration(TimePoint sent);
  void AdoptConfiguration(const platform::StoredObject& object);
  void AdoptTargets(const std::vector<platform::StoredObject>& objects,
                    TimePoint now, bool is_full_list);
  void ForgetRevisionsExcept(const std::vector<platform::StoredObject>& listed);
  /// Whether the targets stay within their limit if `record` replaces that of
  /// `known`, which may be null. If so, `used_bytes` is updated.
  bool HasRoomFor(const serving::TargetRecord& record,
                  const serving::Target* known, size_t& used_bytes) const;
  void Refuse(const platform::StoredObject& object,
              platform::RefusalCause cause, const std::string& fault);
  void ReportUnlisted(const std::string& id, TimePoint now);
  void AdoptWeights(const platform::StoredObject& object, TimePoint now);

  Duration weights_bound_;  ///< the promised time less a margin
  serving::FreshnessGuard freshness_;
  Duration target_heartbeat_;
  serving::StoreEra era_;
  serving::StartupProof startup_;
  bool has_era_ = false;
  bool was_restored_ = false;  ///< since this process started
  ConfigurationPtr configuration_;
  uint64_t refused_configurations_ = 0;
  uint64_t incomplete_lists_ = 0;
  std::array<uint64_t, platform::kRefusalCauses.size()> refused_objects_{};
  size_t max_target_bytes_;
  /// Newest version that the store has returned in the current era.
  uint64_t stored_configuration_ = 0;
  /// When this process first saw the current era; on the clock of `sent`.
  TimePoint restored_at_{};
  serving::Fleet fleet_;
  std::map<std::string, serving::NamedVersions> weights_;
  bool has_weights_ = false;  ///< the first list has been received
  std::map<std::string, uint64_t> target_revisions_;
  uint64_t newest_targets_revision_ = 0;
  uint64_t newest_fence_ = 0;
  bool has_targets_ = false;
  int consecutive_failures_ = 0;
  /// When the store last answered this process or, as far as it was told,
  /// another router.
  TimePoint store_seen_at_{};
  bool has_failed_since_seen_ = false;
  TimePoint unreachable_since_{};
  TimePoint reachable_since_{};
  /// Until when lapsed entries of live targets may return.
  TimePoint relist_deadline_{};
  std::function<void()> configuration_changed_;
  std::function<void(const std::string&)> target_removed_;
};

}  // namespace dogwoodlatch::daemon
