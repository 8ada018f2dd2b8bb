#include "dogwoodlatch/serving/saved_parts.h"

namespace dogwoodlatch::serving {
namespace {

// A store holds about 1.6 M tokens and takes in some 70,000 a second, so a part
// that nobody fetches stays for twenty seconds.
constexpr Duration kSaveAgain = std::chrono::seconds(10);
// Parts are saved once they are read, which takes some hundred milliseconds
// under load.
constexpr Duration kSaveTime = std::chrono::milliseconds(400);
constexpr Duration kKeptFor = std::chrono::seconds(20);
constexpr size_t kMaxRecords = 32768;

// Own tokens that a saving request may have for each shared one.
constexpr double kLargestOwnShare = 1.0;

}  // namespace

bool SavedParts::ShouldSave(uint64_t deepest, uint32_t shared_tokens,
                            uint32_t own_tokens, TimePoint now) {
  if (own_tokens > shared_tokens * kLargestOwnShare) return false;
  if (saved_.size() >= kMaxRecords) {
    std::erase_if(saved_, [&](const auto& entry) {
      return now - entry.second > kSaveAgain;
    });
    if (saved_.size() >= kMaxRecords) saved_.clear();
  }
  const auto [entry, is_new] = saved_.try_emplace(deepest, now);
  if (!is_new && now - entry->second <= kSaveAgain) return false;
  entry->second = now;
  granted_.push_back(deepest);
  return true;
}

bool SavedParts::IsSaved(uint64_t deepest, TimePoint now) const {
  const auto found = saved_.find(deepest);
  if (found == saved_.end()) return false;
  const Duration age = now - found->second;
  return age >= kSaveTime && age <= kKeptFor;
}

}  // namespace dogwoodlatch::serving
