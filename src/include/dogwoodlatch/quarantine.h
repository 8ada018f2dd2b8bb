/// Requests that were in flight when a target crashed: suspects, and those that
/// are quarantined because they crashed a target while running alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// What is held against the digest of a request.
enum class SuspicionLevel : uint8_t {
  kNone,
  kSuspect,      ///< in flight at a crash: runs alone
  kQuarantined,  ///< crashed a target while running alone: refused
};

std::string_view ToString(SuspicionLevel suspicion);

struct QuarantineLimits {
  Duration suspect_duration = std::chrono::minutes(5);
  Duration quarantine_duration = std::chrono::minutes(30);
  size_t max_entries = 4096;
};

/// One digest and what is held against it until `expires`.
struct QuarantineEntry {
  uint64_t digest = 0;
  SuspicionLevel suspicion = SuspicionLevel::kNone;
  TimePoint expires;

  bool operator==(const QuarantineEntry&) const = default;
};

/// Not thread-safe; the daemon guards it.
class QuarantineTable {
 public:
  explicit QuarantineTable(QuarantineLimits limits) : limits_(limits) {}

  SuspicionLevel Find(uint64_t digest, TimePoint now) const;

  /// A target crashed. Returns the entries that are new or worse than before,
  /// to be told to the other routers.
  std::vector<QuarantineEntry> OnCrash(std::span<const uint64_t> in_flight,
                                       bool ran_alone, TimePoint now);

  /// A suspect ran alone to its end. Returns whether it was one.
  bool Clear(uint64_t digest);

  /// Takes an entry from another router or from the platform; the worse and
  /// later of two entries stays. Returns whether anything changed.
  bool Adopt(const QuarantineEntry& entry, TimePoint now);

  /// An operator lifts a quarantine.
  void Lift(uint64_t digest);

  /// What holds now, by rising digest.
  std::vector<QuarantineEntry> Entries(TimePoint now) const;

 private:
  void EvictIfFull(TimePoint now);

  QuarantineLimits limits_;
  std::unordered_map<uint64_t, QuarantineEntry> entries_;
};

/// A digest as 16 hexadecimal digits, and back.
std::string FormatDigestHex(uint64_t digest);
std::optional<uint64_t> ParseDigestHex(std::string_view text);

}  // namespace dogwoodlatch
