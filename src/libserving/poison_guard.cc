#include "dogwoodlatch/serving/poison_guard.h"

#include <xxhash.h>

namespace dogwoodlatch::serving {
namespace {

// Two broken targets may be chance, as targets crash on their own.
constexpr int kBrokenLimit = 2;

// Long enough to outlast a caller that repeats within its deadline of 15 s.
constexpr Duration kMemory = std::chrono::seconds(60);

constexpr size_t kMaxRecords = 4096;

}  // namespace

uint64_t RequestFingerprint(std::string_view path, std::string_view workspace,
                            std::string_view body) {
  uint64_t hash = XXH64(path.data(), path.size(), 0);
  hash = XXH64(workspace.data(), workspace.size(), hash);
  return XXH64(body.data(), body.size(), hash);
}

void PoisonGuard::OnBroken(uint64_t fingerprint, TimePoint now) {
  if (broken_.size() >= kMaxRecords) {
    std::erase_if(broken_, [&](const auto& entry) {
      return now - entry.second.last > kMemory;
    });
  }
  Record& record = broken_[fingerprint];
  if (now - record.last > kMemory) record.count = 0;
  ++record.count;
  record.last = now;
}

bool PoisonGuard::IsBlocked(uint64_t fingerprint, TimePoint now) const {
  const auto found = broken_.find(fingerprint);
  return found != broken_.end() && found->second.count >= kBrokenLimit &&
         now - found->second.last <= kMemory;
}

}  // namespace dogwoodlatch::serving
