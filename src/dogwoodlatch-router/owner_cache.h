// Cache of the target that last completed a request of each claim log, keyed by
// the routing key of the log. An entry is a hint that saves a refused attempt
// at another target; it may be out of date.
#pragma once

#include <map>
#include <mutex>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"

namespace dogwoodlatch::router {

// Thread-safe.
class OwnerCache {
 public:
  // Returns the last known owner, or an empty id.
  TargetId Find(PieceKey log) const {
    const std::lock_guard lock(mutex_);
    const auto found = owners_.find(log);
    return found == owners_.end() ? TargetId() : found->second;
  }

  void Set(PieceKey log, const TargetId& owner) {
    const std::lock_guard lock(mutex_);
    owners_[log] = owner;
  }

 private:
  mutable std::mutex mutex_;
  std::map<PieceKey, TargetId> owners_;
};

}  // namespace dogwoodlatch::router
