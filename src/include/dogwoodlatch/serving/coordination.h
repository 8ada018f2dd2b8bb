/// Election of one router, the coordinator, for the duties of agents that do
/// not exist or do not respond: it orders weights for their targets and lets
/// routers find one another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "dogwoodlatch/serving/rollout.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// The lease as it lies in the platform's store.
struct CoordinatorLease {
  std::string holder;   ///< name of the holder's VM
  std::string address;  ///< "ip:port" for the holder's datagrams
  uint64_t revision = 0;

  bool operator==(const CoordinatorLease&) const = default;
};

/// Decides when a router reads, takes and renews the lease. The holder stops to
/// act half a lease after it sent its last successful renewal. Others take the
/// lease by a conditional write once its revision has not changed, or it has
/// been absent, for one and a half leases, so two holders act at least one
/// lease apart. All times come from a clock that also runs while the VM is
/// suspended.
class CoordinatorElection {
 public:
  enum class Step {
    kNone,
    kRead,    ///< a stale read suffices
    kCreate,  ///< write the lease if it does not exist
    kReplace  ///< write the lease if its revision is still known()->revision
  };

  CoordinatorElection(std::string own_name, Duration lease, uint64_t seed);

  /// The call to make now, while none is in progress. `is_needed`: some target
  /// has no agent.
  Step NextStep(bool is_needed, TimePoint now);

  /// The lease was read, or a conditional write has failed and returned it;
  /// none if it does not exist.
  void OnRead(const std::optional<CoordinatorLease>& lease, TimePoint now);

  /// A write that was sent at `sent` has succeeded.
  void OnWritten(const CoordinatorLease& lease, TimePoint sent);

  /// The holder has sent a sign of life, so there is nothing to read yet.
  void OnHolderHeard(TimePoint now);

  /// A call had no usable answer. A write may take effect later.
  void OnFailed(TimePoint now);

  /// The store was restored from an older copy, so the lease may be lost.
  void OnStoreRestored(TimePoint now);

  /// True while this router may act as the coordinator.
  bool Holds(TimePoint now) const;

  /// The lease as last seen.
  const std::optional<CoordinatorLease>& known() const { return known_; }

 private:
  Duration Spread(Duration longest);
  bool HasWaited(TimePoint now) const;

  std::string own_name_;
  Duration lease_;
  std::minstd_rand random_;
  std::optional<CoordinatorLease> known_;
  bool may_take_ =
      false;  ///< the last read found the same state after the wait
  bool is_own_write_ = false;  ///< `known_` was written by this process
  bool has_written_ = false;   ///< in the current era, with or without success
  bool was_needed_ = false;
  /// When the present state was first seen: `known_`, or its absence.
  std::optional<TimePoint> unchanged_since_;
  TimePoint renewal_sent_{};
  TimePoint next_call_{};
};

/// A target whose agent does not exist or does not respond.
struct UnattendedTarget {
  std::string id;
  uint64_t version = 0;         ///< of the weights it has loaded
  bool is_in_progress = false;  ///< an order was sent and has not taken effect
};

/// The targets to which the coordinator sends an order for `named` now: those
/// on the oldest weights first. `model_targets` is the number of all targets of
/// the model. Twice the number of concurrent loads may be in progress, as runs
/// end before a load begins.
std::vector<std::string> ChooseTargetsToOrder(
    std::span<const UnattendedTarget> targets, uint64_t named,
    size_t model_targets, const RolloutLimits& limits);

}  // namespace dogwoodlatch::serving
