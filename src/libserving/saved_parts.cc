#include "dogwoodlatch/serving/saved_parts.h"

namespace dogwoodlatch::serving {
namespace {

// A store holds about 1.6 M tokens and takes in some 70,000 a second, so a part
// that nobody fetches stays for twenty seconds.
constexpr Duration kSaveAgain = std::chrono::seconds(10);
constexpr size_t kMaxRecords = 32768;

}  // namespace

bool SavedParts::ShouldSave(uint64_t deepest, TimePoint now) {
  if (saved_.size() >= kMaxRecords) {
    std::erase_if(saved_, [&](const auto& entry) {
      return now - entry.second > kSaveAgain;
    });
    if (saved_.size() >= kMaxRecords) saved_.clear();
  }
  const auto [entry, is_new] = saved_.try_emplace(deepest, now);
  if (is_new) return true;
  if (now - entry->second <= kSaveAgain) return false;
  entry->second = now;
  return true;
}

}  // namespace dogwoodlatch::serving
