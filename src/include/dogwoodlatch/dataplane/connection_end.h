/// The end of a caller's connection and its reason.
#pragma once

#include <cstddef>
#include <string_view>

namespace dogwoodlatch::dataplane {

/// Why the connection of a caller has ended.
enum class CloseReason {
  kByCaller,           ///< closed or reset by the caller, or lost
  kIdle,               ///< no request within the idle timeout
  kHeadTooSlow,        ///< the head of a request was not complete in time
  kBodyTooSlow,        ///< the body of a request was not complete in time
  kStop,               ///< idle while the process stops
  kUnreadable,         ///< after the response to a request that is not valid
  kAfterLastResponse,  ///< after a response with "Connection: close"
  kAborted,            ///< a response was broken off
  kEvicted,            ///< idle or stalled while connections run short
  kSlowReader,         ///< unsent answers exceed their limit
};

std::string_view ToString(CloseReason reason);

/// The end of a caller's connection, and what was not transferred by then.
struct ConnectionEnd {
  CloseReason reason = CloseReason::kByCaller;
  size_t unread_bytes = 0;   ///< received by the system, but not read
  size_t partial_bytes = 0;  ///< read of a request that was not complete
  size_t unsent_bytes = 0;   ///< of responses
  size_t dropped_bytes = 0;  ///< read after the last response
};

/// True if a request of the caller may have got neither an answer nor a
/// refusal, and nothing else shows it.
bool MayHaveLostRequest(const ConnectionEnd& end);

}  // namespace dogwoodlatch::dataplane
