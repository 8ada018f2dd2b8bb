/// Short numbers that stand for targets in control messages. Each receiver
/// resolves them in its own list of targets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

using TargetKey = uint32_t;

/// The same in all processes.
TargetKey MakeTargetKey(std::string_view target_id);

class TargetIndex {
 public:
  /// The target of the fleet with this key; null if there is none, and also if
  /// several share the key, as a status must not be taken for another target's.
  Fleet::TargetPtr Find(const Fleet& fleet, TargetKey key, TimePoint now);

 private:
  void Rebuild(const Fleet& fleet);

  std::unordered_map<TargetKey, std::string> ids_;  ///< empty: several targets
  TimePoint rebuilt_at_{};
};

}  // namespace dogwoodlatch::serving
