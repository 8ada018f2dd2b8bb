/// Leases and permits stored as platform objects. Each acquisition gets a
/// higher fencing number than all before it.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/platform_objects.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// The stored object of a lease.
struct LeaseRecord {
  std::string holder;           ///< empty if the lease is free
  uint64_t fencing_number = 0;  ///< of the current or last holder
  uint64_t renewal = 0;         ///< counts the holder's renewals
  Duration duration{0};         ///< validity of one write

  bool operator==(const LeaseRecord&) const = default;
};

nlohmann::json ToJson(const LeaseRecord& record);
Result<LeaseRecord> ParseLeaseRecord(const nlohmann::json& json);

struct LeaseOptions {
  std::string path;
  std::string holder;  ///< unique to this run of the process
  Duration duration = std::chrono::seconds(10);
  /// A holder stops acting this long before others may take over; covers the
  /// difference between the rates of two clocks.
  Duration margin = std::chrono::seconds(1);
  Duration retry_pause = std::chrono::milliseconds(500);
};

struct LeaseRead {};
struct LeaseWrite {
  LeaseRecord record;
  uint64_t expected_version = 0;
};
using LeaseCommand = std::variant<LeaseRead, LeaseWrite>;

/// Acquires, renews and releases one lease. One call is outstanding at a time:
/// TakeCommand returns it, and OnRead or OnWrite ends it. Clocks of different
/// processes are never compared: a contender takes over once it has seen the
/// same version for the lease's whole duration on its own clock.
class LeaseKeeper {
 public:
  explicit LeaseKeeper(LeaseOptions options) : options_(std::move(options)) {}

  /// Sets whether to hold the lease; if not, a held lease is released.
  void SetWanted(bool wanted) { wanted_ = wanted; }

  std::optional<LeaseCommand> TakeCommand(TimePoint now);

  /// Takes the object as read; an absent one (kNotFound) counts as a free lease
  /// with version 0.
  void OnRead(const Result<PlatformObject>& answer, TimePoint now);
  void OnWrite(const Result<uint64_t>& answer, TimePoint now);

  /// The fencing number to act under; nullopt unless the lease is held now.
  std::optional<uint64_t> FencingNumber(TimePoint now) const;

  /// Whether another holder is known to hold the lease.
  bool IsHeldByOther(TimePoint now) const;

  const std::string& path() const { return options_.path; }

 private:
  enum class CallState { kNone, kReading, kWriting };

  std::optional<LeaseRecord> NextRecord(TimePoint now) const;
  LeaseRecord Acquisition() const;
  bool OwnsRecord() const { return record_.holder == options_.holder; }
  bool IsRenewalDue(TimePoint now) const;
  LeaseCommand StartRead(TimePoint now);
  LeaseCommand StartWrite(LeaseRecord record, TimePoint now);
  void ObserveRecord(uint64_t version, const LeaseRecord& record,
                     TimePoint now);
  void ConfirmPending();

  LeaseOptions options_;
  bool wanted_ = true;
  bool record_known_ = false;
  CallState call_ = CallState::kNone;
  TimePoint call_sent_at_{};
  TimePoint next_call_at_{};
  uint64_t version_ = 0;
  LeaseRecord record_;
  TimePoint version_seen_at_{};  ///< when `version_` was first seen
  std::optional<LeaseRecord> pending_;
  TimePoint pending_sent_at_{};
  std::optional<TimePoint> held_until_;
};

struct PermitOptions {
  std::string prefix;  ///< the permits are objects "<prefix><index>"
  size_t permits = 2;
  LeaseOptions lease;  ///< `path` is not used
};

/// A call to the object of one permit.
struct PermitCommand {
  std::string path;
  LeaseCommand command;
};

/// Acquires one of a fixed number of permits, each of which is a lease.
/// Commands and events are those of LeaseKeeper.
class PermitKeeper {
 public:
  /// Tries the permit with index `first_permit` first.
  PermitKeeper(const PermitOptions& options, size_t first_permit);

  void SetWanted(bool wanted);
  std::optional<PermitCommand> TakeCommand(TimePoint now);
  void OnRead(const Result<PlatformObject>& answer, TimePoint now);
  void OnWrite(const Result<uint64_t>& answer, TimePoint now);

  /// The fencing number of the permit held now; nullopt if none is held.
  std::optional<uint64_t> FencingNumber(TimePoint now) const;
  bool IsHeld(TimePoint now) const { return FencingNumber(now).has_value(); }

 private:
  std::vector<LeaseKeeper> keepers_;
  size_t current_;
};

/// Checks fencing numbers at the protected resource: refuses a number below the
/// highest seen, and a number already used by another holder.
class FencingGate {
 public:
  bool Admit(uint64_t fencing_number, const std::string& holder);

 private:
  uint64_t highest_ = 0;
  std::string holder_;
};

}  // namespace dogwoodlatch
