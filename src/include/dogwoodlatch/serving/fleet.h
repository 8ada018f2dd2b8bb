/// The targets that the platform lists and what this process has learned of
/// each from its own traffic.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/serving/prompt.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// One incarnation of a target as the platform lists it.
struct TargetRecord {
  std::string id;  ///< names one incarnation, together with `started`
  std::string service;
  std::string address;  ///< "ip:port"; used again by later targets
  std::string failure_domain;
  WallTime started{};
  bool draining = false;
  int slots = 1;                            ///< requests that run at once
  std::map<std::string, uint64_t> weights;  ///< version loaded, by model

  bool operator==(const TargetRecord&) const = default;
};

/// What the agent beside a target says of its load.
struct LoadReport {
  bool is_draining = false;  ///< it makes ready to load weights
  bool is_loading = false;   ///< it runs nothing until weights are loaded
  int queued = 0;            ///< requests that wait to run
  int active = 0;            ///< requests that run
  int prefilling = 0;        ///< of these, without a first token yet
  int64_t memory_used = 0;   ///< tokens that cannot yield
  int64_t memory_total = 0;  ///< tokens; 0 when unknown
};

/// What the process has learned of a target from its own requests.
class TargetSignals {
 public:
  /// A request was written to the target; reading its prompt takes `prefill`.
  void OnSent(TimePoint now, Duration prefill);

  /// Bytes of any answer have arrived.
  void OnBytesReceived(TimePoint now) { last_received_ = now; }

  /// The prompt of a request has been read: its first event is here.
  void OnFirstEvent(Duration prefill);

  /// A request has left the target, for whatever reason.
  void OnEnded(TimePoint now);

  /// The outcome of a request that the target itself answered or broke off.
  void OnOutcome(bool failed);

  /// Another target answers at its address: it is gone, though still listed.
  void OnReplaced(TimePoint now);

  /// No connection could be made, or the target stays silent.
  void OnUnreachable(TimePoint now);

  /// A connection was made: the target is back.
  void OnReachable() {
    unreachable_streak_ = 0;
    avoid_until_ = {};
  }

  /// The target refused a request without running it.
  void OnRefused(TimePoint now);

  void OnReport(const LoadReport& report, TimePoint now);

  /// The last report; an empty one when it is outdated.
  LoadReport Report(TimePoint now) const;

  /// Another router's prompts still take so long to read there.
  void OnPeerBacklog(uint64_t router, Duration backlog, TimePoint now);

  /// The time to read the prompts that all routers have sent there.
  Duration TotalBacklog(TimePoint now) const;

  bool IsAvoided(TimePoint now) const { return now < avoid_until_; }
  bool IsRefusing(TimePoint now) const { return now < refusing_until_; }
  int in_flight() const { return in_flight_; }
  Duration own_backlog() const { return prefill_backlog_; }
  double failure_rate() const { return failure_rate_; }

  /// How long the target has answered nothing while requests waited there.
  Duration UnresponsiveTime(TimePoint now) const;

  /// Part ids of prompts sent there, with the time of the last use.
  void OnPartUsed(uint64_t part, TimePoint now);
  bool HoldsPart(uint64_t part, TimePoint now) const;

  /// When the part was last used there; none when that is too long ago.
  std::optional<TimePoint> LastUse(uint64_t part, TimePoint now) const;
  void ForgetParts() { parts_.clear(); }

 private:
  int in_flight_ = 0;
  Duration prefill_backlog_{0};
  double failure_rate_ = 0;
  int unreachable_streak_ = 0;
  TimePoint waiting_since_{};
  TimePoint last_received_{};
  TimePoint avoid_until_{};
  TimePoint refusing_until_{};
  TimePoint reported_at_{};
  LoadReport report_;
  struct PeerBacklog {
    Duration backlog{0};
    TimePoint heard{};
  };
  std::unordered_map<uint64_t, PeerBacklog> peer_backlogs_;  ///< by router
  std::unordered_map<uint64_t, TimePoint> parts_;
};

struct Target {
  TargetRecord record;
  TargetSignals signals;
  bool listed = true;  ///< false once the platform no longer lists it
  TimePoint unlisted_since{};

  /// The version of `model` that it has loaded; 0 when unknown.
  uint64_t LoadedVersion(std::string_view model) const;

  /// Takes over versions that are newer than the known ones.
  void UpdateWeights(const std::map<std::string, uint64_t>& weights);
};

/// The targets by id. A target lives as long as somebody uses it, so a request
/// in flight never loses it.
class Fleet {
 public:
  using TargetPtr = std::shared_ptr<Target>;

  /// A record of the platform's list has appeared or changed.
  void Upsert(const TargetRecord& record);

  /// The platform no longer lists the target. While the platform recovers from
  /// an outage the target stays usable for `kRelistGrace`, as its entry may
  /// have lapsed only because it could not be renewed.
  void Remove(std::string_view id, TimePoint now, bool platform_settled);

  /// The whole list: what is missing is removed.
  void Replace(const std::vector<TargetRecord>& records, TimePoint now,
               bool platform_settled);

  /// Drops the targets whose grace has passed. Returns their ids.
  std::vector<std::string> DropExpired(TimePoint now);

  TargetPtr Find(std::string_view id) const;

  /// The targets of a service that may get new work.
  std::vector<TargetPtr> Serving(std::string_view service, TimePoint now) const;

  const std::map<std::string, TargetPtr, std::less<>>& targets() const {
    return targets_;
  }

  /// The platform puts lapsed entries of live targets back within 2 s of its
  /// return; the rest is transmission.
  static constexpr Duration kRelistGrace = std::chrono::milliseconds(2500);

 private:
  std::map<std::string, TargetPtr, std::less<>> targets_;
};

}  // namespace dogwoodlatch::serving
