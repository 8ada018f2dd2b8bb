#include "dogwoodlatch/serving/poison_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dogwoodlatch::serving {
namespace {

// Two broken targets may be a coincidence, as targets also crash for other
// reasons.
constexpr size_t kBrokenTargetsToBlock = 3;

// Longer than a caller keeps repeating within its deadline of 15 s.
constexpr Duration kRetention = std::chrono::seconds(20);

// With this many records, expired ones are dropped before a run is added.
constexpr size_t kMaxRecords = 4096;

// Limits the broken runs to one datagram when a whole fleet loses power.
constexpr size_t kMaxUnsent = 64;

}  // namespace

uint64_t RequestFingerprint(std::string_view path, std::string_view workspace,
                            std::string_view body) {
  uint64_t hash = XXH64(path.data(), path.size(), 0);
  hash = XXH64(workspace.data(), workspace.size(), hash);
  return XXH64(body.data(), body.size(), hash);
}

uint64_t IncarnationKey(const TargetRecord& target) {
  const auto started = target.started.time_since_epoch().count();
  return XXH64(target.id.data(), target.id.size(),
               static_cast<uint64_t>(started));
}

void PoisonGuard::OnBroken(const BrokenRun& run, TimePoint now) {
  if (Add(run, now) && unsent_.size() < kMaxUnsent) unsent_.push_back(run);
}

void PoisonGuard::OnBrokenAtPeer(const BrokenRun& run, TimePoint now) {
  Add(run, now);
}

std::vector<BrokenRun> PoisonGuard::TakeUnsent() {
  return std::exchange(unsent_, {});
}

// Returns true if the run was not known before.
bool PoisonGuard::Add(const BrokenRun& run, TimePoint now) {
  if (broken_.size() >= kMaxRecords) {
    std::erase_if(broken_, [&](const auto& entry) {
      return now - entry.second.last > kRetention;
    });
  }
  Record& record = broken_[run.request];
  if (now - record.last > kRetention) record.targets.clear();
  record.last = now;
  if (std::ranges::find(record.targets, run.target) != record.targets.end()) {
    return false;
  }
  record.targets.push_back(run.target);
  return true;
}

size_t PoisonGuard::BrokenTargets(uint64_t fingerprint) const {
  const auto found = broken_.find(fingerprint);
  return found == broken_.end() ? 0 : found->second.targets.size();
}

bool PoisonGuard::IsBlocked(uint64_t fingerprint, TimePoint now) const {
  const auto found = broken_.find(fingerprint);
  return found != broken_.end() &&
         found->second.targets.size() >= kBrokenTargetsToBlock &&
         now - found->second.last <= kRetention;
}

}  // namespace dogwoodlatch::serving
