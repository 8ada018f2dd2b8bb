/// Which process may order weights for the targets of a VM: the agent there, or
/// the coordinator while the agent is silent. Two of them never act within one
/// lease. See docs/design/0019-order-ownership.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// The part of "ip:port" that names the VM.
std::string_view VmOfAddress(std::string_view address);

/// An agent whose last message that reached a router is older than this gives
/// no orders.
inline constexpr Duration kContactLimit = std::chrono::milliseconds(3000);

/// The coordinator gives orders to targets of a VM whose agent is silent for
/// longer than this.
Duration SilenceLimit(Duration lease);

/// The agent's side. It owns its target one lease after its messages began to
/// reach the routers, and until they no longer do. All times come from a clock
/// that also runs while the VM is suspended.
class AgentOwnership {
 public:
  explicit AgentOwnership(Duration lease) : lease_(lease) {}

  void SetLease(Duration lease) { lease_ = lease; }

  /// Must be called before other events and often, so that a suspension of the
  /// process is noticed.
  void OnRunning(TimePoint now);

  /// A router says that it has heard this agent `age` ago.
  void OnConfirmed(Duration age, TimePoint now);

  /// True while this agent owns its target.
  bool MayOrder(TimePoint now) const;

  /// Number of the present time of ownership, or of the last one. Others may
  /// have given orders between two of them.
  uint64_t term() const { return term_; }

 private:
  Duration lease_;
  TimePoint ran_at_{};
  uint64_t term_ = 0;
  std::optional<TimePoint> since_;  ///< messages arrive since then
  TimePoint confirmed_{};           ///< newest message known to have arrived
};

/// The routers' side: when each VM's agent was last heard.
class VmAttendance {
 public:
  explicit VmAttendance(Duration lease) : silence_limit_(SilenceLimit(lease)) {}

  void SetLease(Duration lease) { silence_limit_ = SilenceLimit(lease); }

  /// The VMs that have model targets now. Others are forgotten.
  void OnListed(const std::set<std::string, std::less<>>& vms, TimePoint now);

  /// A message of the agent at `vm` has arrived, on whatever way. Returns false
  /// if the VM has no model target.
  bool OnHeard(std::string_view vm, TimePoint now);

  /// Time since the agent was heard; none if it never was.
  std::optional<Duration> HeardAgo(std::string_view vm, TimePoint now) const;

  /// The agent does not exist or does not respond, and a coordinator may soon
  /// be needed.
  bool IsSilent(std::string_view vm, TimePoint now) const;

  /// The coordinator owns the targets of the VM.
  bool IsUnattended(std::string_view vm, TimePoint now) const;

 private:
  struct Vm {
    TimePoint listed{};
    std::optional<TimePoint> heard;
  };

  std::optional<Duration> Silence(std::string_view vm, TimePoint now) const;

  Duration silence_limit_;
  std::map<std::string, Vm, std::less<>> vms_;
};

}  // namespace dogwoodlatch::serving
