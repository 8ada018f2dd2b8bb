/// Tracks requests that were in flight when a target crashed: suspects, and
/// those that are quarantined because they crashed a target while running
/// alone.
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

/// How strongly a request digest is suspected of crashing targets.
enum class Suspicion : uint8_t {
  kNone,
  kSuspect,      ///< in flight at a crash; must run alone
  kQuarantined,  ///< crashed a target while running alone; refused
};

std::string_view ToString(Suspicion suspicion);

struct QuarantineLimits {
  Duration suspect_duration = std::chrono::minutes(5);
  Duration quarantine_duration = std::chrono::minutes(30);
  size_t max_entries = 4096;
};

/// The suspicion level of one digest, valid until `expires`.
struct QuarantineEntry {
  uint64_t digest = 0;
  Suspicion suspicion = Suspicion::kNone;
  TimePoint expires;

  bool operator==(const QuarantineEntry&) const = default;
};

/// Not thread-safe; the daemon serializes access.
class QuarantineTable {
 public:
  explicit QuarantineTable(QuarantineLimits limits) : limits_(limits) {}

  Suspicion Find(uint64_t digest, TimePoint now) const;

  /// Records a target crash. Returns the entries that are new or more severe
  /// than before, to be sent to the other routers.
  std::vector<QuarantineEntry> OnCrash(std::span<const uint64_t> in_flight,
                                       bool ran_alone, TimePoint now);

  /// Clears a suspect that ran alone to its end. Returns whether it was one.
  bool Clear(uint64_t digest);

  /// Merges an entry from another router or from the platform; of two entries
  /// the more severe one is kept, and at equal severity the one that expires
  /// later. Returns whether anything changed.
  bool Adopt(const QuarantineEntry& entry, TimePoint now);

  /// Removes an entry on an operator's request.
  void Lift(uint64_t digest);

  /// The entries that have not expired, sorted by digest.
  std::vector<QuarantineEntry> Entries(TimePoint now) const;

 private:
  void EvictIfFull(TimePoint now);

  QuarantineLimits limits_;
  std::unordered_map<uint64_t, QuarantineEntry> entries_;
};

/// Formats a digest as 16 hexadecimal digits, and parses that form.
std::string FormatDigestHex(uint64_t digest);
std::optional<uint64_t> ParseDigestHex(std::string_view text);

}  // namespace dogwoodlatch
