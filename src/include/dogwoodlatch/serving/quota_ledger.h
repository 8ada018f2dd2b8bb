/// Enforces the quotas of workspaces over all routers together, although each
/// router decides alone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/quota_limit.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// By how much the promised bound exceeds the quotas: in every `window`, a
/// workspace may use (rate x window + burst) x (1 + over) + slack.
struct QuotaTolerance {
  Duration window = std::chrono::seconds(8);
  double over = 0;
  double slack = 0;
};

/// What a router reports of one workspace.
struct QuotaUse {
  uint64_t workspace = 0;  ///< hash of the name
  int64_t spent = 0;       ///< in all, since the router began to count
  /// What is left as far as the sender knows; only sent if that is little, or
  /// if the receivers have asked for it.
  std::optional<int64_t> left{};

  bool operator==(const QuotaUse&) const = default;
};

struct QuotaReport {
  Duration uptime{0};          ///< of the sending process
  bool asks_for_left = false;  ///< the sender has just started, or stood still
  std::vector<QuotaUse> uses{};

  bool operator==(const QuotaReport&) const = default;
};

/// One router's token bucket for each workspace in use. All routers report what
/// they spend, and each charges the spending of all to its own buckets. Buckets
/// are refilled by the share of the known routers that are heard, so that
/// groups of routers that have lost each other spend the quota once together.
/// Times are of a clock that also runs while the VM is suspended. Not
/// thread-safe.
class QuotaLedger {
 public:
  QuotaLedger(QuotaTolerance tolerance, TimePoint now)
      : tolerance_(tolerance), started_(now), ticked_(now), sight_since_(now) {}

  /// Replaces the limits of all workspaces.
  void SetLimits(const std::vector<std::pair<std::string, QuotaLimit>>& limits);

  void SetTolerance(const QuotaTolerance& tolerance) { tolerance_ = tolerance; }

  /// Must be called several times a second. `known` is the number of routers
  /// that may be running, this one included.
  void Tick(size_t known, TimePoint now);

  struct Decision {
    bool is_admitted = true;
    Duration retry_after{0};  ///< until a request of this cost fits
    /// The workspace has just begun or ceased to be limited at this router.
    bool has_changed = false;
  };

  /// Charges a request of this cost if it fits. Workspaces without a limit are
  /// always admitted.
  Decision Charge(std::string_view workspace, int64_t cost, TimePoint now);

  /// Returns the cost of an admitted request that certainly did not run.
  void Refund(std::string_view workspace, int64_t cost);

  /// What has changed enough since the last report; none if there is nothing to
  /// report.
  std::optional<QuotaReport> TakeReport(TimePoint now);

  /// Any message of another router has arrived.
  void OnHeard(uint64_t router, TimePoint now);

  /// A report of another router has arrived; after OnHeard.
  void OnReport(uint64_t router, const QuotaReport& report, TimePoint now);

  /// Number of workspaces that are limited at this router now.
  size_t limited() const;

  /// Share of the refill that this router counts on.
  double share() const { return share_; }

 private:
  struct Bucket {
    QuotaLimit limit;
    double left = 0;
    double refilled = 0;      ///< value of `share_time_`
    uint64_t sight = 0;       ///< value of `sight_`
    bool is_settled = false;  ///< `left` accounts for the spending of others
    bool is_limited = false;
    int64_t spent = 0;
    int64_t refund = 0;  ///< not yet used for later charges
    int64_t reported = 0;
    TimePoint reported_at{};
    TimePoint used_at{};
  };

  struct Peer {
    TimePoint heard{};
    TimePoint heard_since{};
    Duration unseen{0};  ///< time of long silences since its last report
    TimePoint started{};
    std::optional<Duration> uptime;  ///< stated in the last report
    bool is_heard = false;
    std::unordered_map<uint64_t, int64_t> spent;  ///< by workspace
  };

  Bucket* Find(uint64_t workspace, TimePoint now);
  void Refill(Bucket& bucket) const;
  void AddShareTime(Duration duration);
  size_t CountHeard(TimePoint now);
  double Capacity(const QuotaLimit& limit) const;
  double Rate(const QuotaLimit& limit) const;
  bool IsNearLimit(const Bucket& bucket) const;
  bool HasSight(TimePoint now) const;
  int64_t Unaccounted(Peer& peer, const QuotaUse& use, TimePoint now) const;

  QuotaTolerance tolerance_;
  TimePoint started_;
  TimePoint ticked_;
  /// Since when this router has followed the reports of others without a gap.
  TimePoint sight_since_;
  uint64_t sight_ = 0;     ///< counts the gaps
  double share_time_ = 0;  ///< time for which buckets were refilled, in seconds
  double share_ = 0;
  size_t known_ = 1;
  bool is_asked_for_left_ = false;
  std::unordered_map<uint64_t, QuotaLimit> limits_;
  std::unordered_map<uint64_t, Bucket> buckets_;
  std::unordered_map<uint64_t, Peer> peers_;
};

/// Key of a workspace in reports.
uint64_t QuotaKey(std::string_view workspace);

}  // namespace dogwoodlatch::serving
