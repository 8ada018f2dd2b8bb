#include "dogwoodlatch/dataplane/connection_end.h"

#include <array>

namespace dogwoodlatch::dataplane {

std::string_view ToString(CloseReason reason) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "by_caller", "idle",       "head_too_slow",       "body_too_slow",
      "stop",      "unreadable", "after_last_response", "aborted",
      "evicted",   "slow_reader"};
  return kNames.at(static_cast<size_t>(reason));
}

// A caller that leaves gives up its response. Requests that are unreadable or
// broken off have events of their own.
bool MayHaveLostRequest(const ConnectionEnd& end) {
  switch (end.reason) {
    case CloseReason::kByCaller:
      return end.unread_bytes > 0;
    case CloseReason::kUnreadable:
    case CloseReason::kAborted:
    case CloseReason::kSlowReader:
      return false;
    default:
      return end.unread_bytes + end.partial_bytes + end.unsent_bytes +
                 end.dropped_bytes >
             0;
  }
}

}  // namespace dogwoodlatch::dataplane
