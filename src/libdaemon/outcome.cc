#include "dogwoodlatch/daemon/outcome.h"

#include <array>

namespace dogwoodlatch::daemon {

std::string_view ToString(Outcome outcome) {
  static constexpr std::array<std::string_view, 11> kNames = {
      "served",      "target_failed", "refused",   "refused_stale",
      "denied",      "unknown",       "timed_out", "stream_broken",
      "caller_gone", "over_quota",    "poisoned"};
  return kNames.at(static_cast<size_t>(outcome));
}

}  // namespace dogwoodlatch::daemon
