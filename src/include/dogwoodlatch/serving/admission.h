/// Whether a request is sent, or refused at once because it would come too
/// late.
#pragma once

#include <chrono>
#include <optional>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// What the decision depends on.
struct AdmissionRequest {
  Duration objective{0};  ///< when the first event is due
  Duration time_left{0};  ///< until the caller's deadline or the time-out
  Duration backlog{0};    ///< expected wait before the request is begun
  Duration prefill{0};    ///< expected time to read its own prompt
  bool is_stream = true;  ///< callers leave streams that stay silent
};

/// The longest wait with which a request of this objective is still sent; none
/// when any wait will do.
std::optional<Duration> MaxQueueWait(Duration objective);

/// Nothing when the request should be sent, otherwise when its caller should
/// come back. Under overload a queue that takes everything makes every answer
/// late; a short one keeps those that are taken on time.
std::optional<Duration> RetryAfterIfTooLate(const AdmissionRequest& request);

}  // namespace dogwoodlatch::serving
