#include "dogwoodlatch/quarantine.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace dogwoodlatch {
namespace {

constexpr size_t kDigestDigits = 16;
constexpr int kHexBase = 16;

bool IsMoreSevere(const QuarantineEntry& a, const QuarantineEntry& b) {
  if (a.suspicion != b.suspicion) return a.suspicion > b.suspicion;
  return a.expires > b.expires;
}

}  // namespace

std::string_view ToString(Suspicion suspicion) {
  static constexpr std::array<std::string_view, 3> kNames = {"none", "suspect",
                                                             "quarantined"};
  return kNames.at(static_cast<size_t>(suspicion));
}

Suspicion QuarantineTable::Find(uint64_t digest, TimePoint now) const {
  const auto found = entries_.find(digest);
  if (found == entries_.end() || found->second.expires <= now) {
    return Suspicion::kNone;
  }
  return found->second.suspicion;
}

// Only a request that ran alone is certain to have caused the crash. Any other
// request in flight may be unrelated.
std::vector<QuarantineEntry> QuarantineTable::OnCrash(
    std::span<const uint64_t> in_flight, bool ran_alone, TimePoint now) {
  const bool is_proof = ran_alone && in_flight.size() == 1;
  const Duration span =
      is_proof ? limits_.quarantine_duration : limits_.suspect_duration;
  std::vector<QuarantineEntry> changed;
  for (const uint64_t digest : in_flight) {
    const QuarantineEntry entry{
        digest, is_proof ? Suspicion::kQuarantined : Suspicion::kSuspect,
        now + span};
    if (Adopt(entry, now)) changed.push_back(entry);
  }
  return changed;
}

bool QuarantineTable::Clear(uint64_t digest) {
  const auto found = entries_.find(digest);
  if (found == entries_.end()) return false;
  if (found->second.suspicion != Suspicion::kSuspect) return false;
  entries_.erase(found);
  return true;
}

bool QuarantineTable::Adopt(const QuarantineEntry& entry, TimePoint now) {
  if (entry.expires <= now || entry.suspicion == Suspicion::kNone) return false;
  const auto found = entries_.find(entry.digest);
  if (found != entries_.end() && found->second.expires > now &&
      !IsMoreSevere(entry, found->second)) {
    return false;
  }
  EvictIfFull(now);
  entries_[entry.digest] = entry;
  return true;
}

void QuarantineTable::Lift(uint64_t digest) { entries_.erase(digest); }

std::vector<QuarantineEntry> QuarantineTable::Entries(TimePoint now) const {
  std::vector<QuarantineEntry> entries;
  for (const auto& [digest, entry] : entries_) {
    if (entry.expires > now) entries.push_back(entry);
  }
  std::ranges::sort(entries, {}, &QuarantineEntry::digest);
  return entries;
}

// Evicts the least severe entry, so that a flood of suspects cannot displace a
// quarantine.
void QuarantineTable::EvictIfFull(TimePoint now) {
  if (entries_.size() < limits_.max_entries) return;
  std::erase_if(entries_,
                [now](const auto& item) { return item.second.expires <= now; });
  if (entries_.size() < limits_.max_entries) return;
  const auto least =
      std::ranges::min_element(entries_, [](const auto& a, const auto& b) {
        return IsMoreSevere(b.second, a.second);
      });
  entries_.erase(least);
}

std::string FormatDigestHex(uint64_t digest) {
  std::array<char, kDigestDigits> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 digest, kHexBase);
  const std::string text(digits.data(), end.ptr);
  return std::string(kDigestDigits - text.size(), '0') + text;
}

std::optional<uint64_t> ParseDigestHex(std::string_view text) {
  uint64_t digest = 0;
  const char* const last = text.data() + text.size();
  const auto end = std::from_chars(text.data(), last, digest, kHexBase);
  if (text.size() != kDigestDigits || end.ptr != last) return std::nullopt;
  return digest;
}

}  // namespace dogwoodlatch
