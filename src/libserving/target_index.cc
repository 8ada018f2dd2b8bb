#include "dogwoodlatch/serving/target_index.h"

#include <xxhash.h>

#include <chrono>

namespace dogwoodlatch::serving {
namespace {

// An unknown key may be that of a new target. Keys of targets that the list
// never has must not cost a pass over all targets for each message.
constexpr std::chrono::milliseconds kMinRebuildPeriod{100};

// Drops targets that have left, and notices keys that became ambiguous.
constexpr std::chrono::milliseconds kMaxAge{1000};

}  // namespace

TargetKey MakeTargetKey(std::string_view target_id) {
  return XXH32(target_id.data(), target_id.size(), 0);
}

Fleet::TargetPtr TargetIndex::Find(const Fleet& fleet, TargetKey key,
                                   TimePoint now) {
  if (now - rebuilt_at_ >= kMaxAge) {
    Rebuild(fleet);
    rebuilt_at_ = now;
  }
  const auto find = [&]() -> Fleet::TargetPtr {
    const auto found = ids_.find(key);
    const bool is_unique = found != ids_.end() && !found->second.empty();
    return is_unique ? fleet.Find(found->second) : nullptr;
  };
  if (ids_.contains(key) || now - rebuilt_at_ < kMinRebuildPeriod) {
    return find();
  }
  Rebuild(fleet);
  rebuilt_at_ = now;
  return find();
}

void TargetIndex::Rebuild(const Fleet& fleet) {
  ids_.clear();
  for (const auto& [id, target] : fleet.targets()) {
    const auto [entry, is_new] = ids_.try_emplace(MakeTargetKey(id), id);
    if (!is_new) entry->second.clear();
  }
}

}  // namespace dogwoodlatch::serving
