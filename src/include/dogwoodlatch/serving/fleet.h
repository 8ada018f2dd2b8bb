/// The targets that the platform lists and what this process has learned about
/// each of them.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/serving/engine_estimator.h"
#include "dogwoodlatch/serving/prompt.h"
#include "dogwoodlatch/serving/vm_liveness.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// One incarnation of a target as the platform lists it.
struct TargetRecord {
  std::string id;  ///< identifies an incarnation together with `started`
  std::string service;
  std::string address;  ///< "ip:port"; may be reused by later targets
  std::string failure_domain;
  WallTime started{};
  bool draining = false;
  int slots = 1;  ///< requests that can run concurrently
  std::map<std::string, uint64_t> weights;  ///< loaded version, by model

  bool operator==(const TargetRecord&) const = default;
};

/// Load of a target as reported by the agent next to it.
struct LoadReport {
  bool is_draining = false;  ///< takes no new requests before loading weights
  bool is_loading = false;   ///< runs nothing until the weights are loaded
  int queued = 0;            ///< requests waiting to run
  int active = 0;            ///< requests running
  int prefilling = 0;        ///< running requests without a first token
  int64_t memory_used = 0;   ///< tokens that cannot be evicted
  int64_t memory_total = 0;  ///< tokens; 0 when unknown
};

/// Priorities of requests, 0 is the most urgent.
inline constexpr int kPriorities = 10;
inline constexpr int kLastPriority = kPriorities - 1;

/// Prefill work by the priority of its requests.
using PriorityBacklog = std::array<Duration, kPriorities>;

/// State of a target as observed by this process or reported by agents and
/// other routers. Prefill backlogs are amounts of work, see EngineProfile.
class TargetSignals {
 public:
  /// A request that waits for its connection will be sent to the target. It
  /// counts as load at once, so that requests which are placed in the same
  /// instant do not all go to the target that looks idle.
  void OnPlaced(Duration prefill, int priority = kLastPriority);

  /// The request that was placed is sent, or will not be.
  void OnPlacementEnded(Duration prefill, int priority = kLastPriority);

  /// A request was written to the target; its prefill is the work `prefill`.
  void OnSent(TimePoint now, Duration prefill, int priority = kLastPriority);

  /// The request that was just sent takes so many tokens of memory.
  void OnMemoryTaken(int64_t tokens, TimePoint now);

  /// Memory of this router's requests that the last report may lack.
  int64_t UnreportedMemory(TimePoint now) const;

  /// Bytes of any answer have arrived.
  void OnBytesReceived(TimePoint now) {
    last_received_ = now;
    unreachable_streak_ = 0;
    vm_.OnHeard(now);
  }

  /// What is known of the target's speed.
  EngineEstimator& engine() { return engine_; }
  const EngineEstimator& engine() const { return engine_; }

  /// The VM on which the target runs.
  VmLiveness& vm() { return vm_; }
  const VmLiveness& vm() const { return vm_; }

  /// The first event of a request has arrived, so its prefill is complete.
  void OnFirstEvent(Duration prefill, int priority = kLastPriority);

  /// A request has ended at the target, for whatever reason. That alone is no
  /// sign of life: it may have been moved to another target.
  void OnEnded();

  /// The outcome of a request that the target itself answered or aborted.
  void OnOutcome(bool failed);

  /// Another target answers at this address: the target is gone, though the
  /// platform still lists it.
  void OnReplaced(TimePoint now);

  /// No connection could be made, or the target is unresponsive.
  void OnUnreachable(TimePoint now);

  /// `count` connections broke off, idle ones included. Several at once show
  /// that the target has crashed. Returns true if it is avoided from now on.
  bool OnConnectionsBroken(int count, TimePoint now);

  /// Breaks of connections that are at most this far apart count as one crash.
  static constexpr std::chrono::milliseconds kCrashWindow{20};

  /// A connection was made: the target may be available again. A kernel makes
  /// connections for a process that hangs, so only bytes prove it.
  void OnReachable() { avoid_until_ = {}; }

  /// The target refused a request without running it.
  void OnRefused(TimePoint now);

  /// The target wants no requests from this VM for the time `pushback`.
  void OnPushback(Duration pushback, TimePoint now);

  /// How much longer the target wants no requests from this VM.
  Duration PushbackLeft(TimePoint now) const;

  void OnReport(const LoadReport& report, TimePoint now);

  /// The last report; an empty one if it is outdated.
  LoadReport Report(TimePoint now) const;

  /// Another router's requests at the target still need `backlog` of prefill.
  void OnPeerBacklog(uint64_t router, Duration backlog, TimePoint now);
  void OnPeerBacklog(uint64_t router, const PriorityBacklog& backlog,
                     TimePoint now);

  /// Prefill work of the requests that all routers have sent to the target.
  Duration TotalBacklog(TimePoint now) const;

  struct Backlog {
    Duration ahead{0};  ///< prefilled before a new request
    Duration total{0};
  };
  /// The backlog as seen by a new request of this priority: engines prefill
  /// more urgent requests first, but complete a chunk that they have begun.
  Backlog BacklogFor(int priority, TimePoint now) const;

  bool IsAvoided(TimePoint now) const { return now < avoid_until_; }
  bool IsRefusing(TimePoint now) const { return now < refusing_until_; }
  /// The target has refused again after it had been avoided for refusing.
  bool KeepsRefusing(TimePoint now) const {
    return IsRefusing(now) && refusal_streak_ > 1;
  }
  /// Requests at the target and those that are about to be sent.
  int load() const { return in_flight_ + placed_; }
  Duration own_backlog() const;
  const PriorityBacklog& own_backlog_by_priority() const {
    return prefill_backlog_;
  }
  double failure_rate() const { return failure_rate_; }

  /// How long the target has sent nothing while requests were waiting there.
  Duration UnresponsiveTime(TimePoint now) const;

  /// Records that a prompt with this part was sent to the target.
  void OnPartUsed(uint64_t part, TimePoint now);

  /// True if the target probably still has the part in its cache.
  bool HoldsPart(uint64_t part, TimePoint now) const;

  /// When the part was last used at the target; none if that was too long ago.
  std::optional<TimePoint> LastUse(uint64_t part, TimePoint now) const;
  void ForgetParts() { parts_.clear(); }

 private:
  int in_flight_ = 0;
  int placed_ = 0;
  PriorityBacklog prefill_backlog_{};
  double failure_rate_ = 0;
  int unreachable_streak_ = 0;
  int refusal_streak_ = 0;
  int broken_connections_ = 0;  ///< since `broken_since_`
  TimePoint broken_since_{};
  TimePoint waiting_since_{};
  TimePoint last_received_{};
  TimePoint avoid_until_{};
  TimePoint refusing_until_{};
  TimePoint pushback_until_{};
  TimePoint reported_at_{};
  LoadReport report_;
  struct PeerBacklog {
    uint64_t router = 0;
    PriorityBacklog up_to{};  ///< of each priority and all more urgent ones
    TimePoint heard{};
  };
  std::vector<PeerBacklog> peer_backlogs_;  ///< those that are not zero
  struct MemoryTaken {
    TimePoint at{};
    int64_t tokens = 0;
  };
  std::deque<MemoryTaken> memory_taken_;  ///< by recent sends
  std::unordered_map<uint64_t, TimePoint> parts_;
  VmLiveness vm_;
  EngineEstimator engine_;
};

struct Target {
  TargetRecord record;
  TargetSignals signals;
  bool listed = true;           ///< false if the platform no longer lists it
  TimePoint relist_deadline{};  ///< until when an unlisted target is usable
  bool leaving = false;         ///< said so itself, in an answer or to a peer
  /// An entry that was gone before the store was restored may be that of a dead
  /// target, and lapses by then if so.
  TimePoint usable_from{};

  /// True if the platform has not listed the target again in time.
  bool IsExpired(TimePoint now) const {
    return !listed && now >= relist_deadline;
  }

  /// True if the target must get no new requests, ever again.
  bool IsLeaving() const { return record.draining || leaving; }

  /// The version of `model` that the target has loaded; 0 if unknown.
  uint64_t LoadedVersion(std::string_view model) const;

  /// Applies the versions that are newer than the known ones.
  void UpdateWeights(const std::map<std::string, uint64_t>& weights);
};

/// Memory that a target with this record occupies, roughly.
size_t HeldBytes(const TargetRecord& record);

/// The targets by id. Targets are reference-counted, so a request in flight can
/// still use a target that has been removed.
class Fleet {
 public:
  using TargetPtr = std::shared_ptr<Target>;

  /// Adds or updates a target that the platform lists. An incarnation that was
  /// draining or leaving stays so, also if an older entry of it is listed
  /// again.
  void Upsert(const TargetRecord& record, TimePoint now);

  /// The store was restored from an older copy. Targets that were removed
  /// shortly before and are listed again are not used for `entry_lifetime`,
  /// within which the entries of dead targets lapse.
  void OnStoreRestored(Duration entry_lifetime, TimePoint now);

  /// The incarnation of `id` that started at `started` is about to exit.
  /// Returns false if it is unknown or known to be leaving.
  bool OnLeaving(std::string_view id, WallTime started);

  /// The platform no longer lists the target. One that was not draining stays
  /// usable until `relist_deadline`, as its entry may have lapsed only because
  /// it could not be renewed. A deadline in the past removes it at once.
  void Remove(std::string_view id, TimePoint relist_deadline, TimePoint now);

  /// Applies a complete list; targets that it lacks are removed. Returns the
  /// ids of those that were listed before.
  std::vector<std::string> Replace(const std::vector<TargetRecord>& records,
                                   TimePoint relist_deadline, TimePoint now);

  /// Drops unlisted targets whose deadline has passed. Returns their ids.
  std::vector<std::string> DropExpired(TimePoint now);

  TargetPtr Find(std::string_view id) const;

  /// The targets of a service that may get new requests.
  std::vector<TargetPtr> Serving(std::string_view service, TimePoint now) const;

  /// Memory that all targets occupy, roughly.
  size_t HeldBytes() const;

  const std::map<std::string, TargetPtr, std::less<>>& targets() const {
    return targets_;
  }

  using EngineMap =
      std::map<std::string, std::shared_ptr<ServiceEngineEstimator>,
               std::less<>>;
  /// The estimates of the services' engines, by service.
  const EngineMap& engines() const { return engines_; }

 private:
  // A target that was removed. Kept for a while, as its entry may return.
  struct Departure {
    WallTime started{};
    std::string address;
    bool was_leaving = false;
    TimePoint at{};
  };

  void Erase(std::string_view id, TimePoint now);

  std::map<std::string, Departure, std::less<>> departures_;  ///< by id
  TimePoint hold_returned_until_{};
  EngineMap engines_;
  std::map<std::string, TargetPtr, std::less<>> targets_;
};

}  // namespace dogwoodlatch::serving
