/// Admission control: rejects a request at once if its answer would be late.
#pragma once

#include <chrono>
#include <optional>
#include <span>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Input of the admission decision.
struct AdmissionRequest {
  Duration objective{0};  ///< latency objective for the first event
  Duration time_left{0};  ///< until the caller's deadline or the timeout
  Duration backlog{0};    ///< expected wait before the request starts
  Duration prefill{0};    ///< expected prefill time of its own prompt
  std::optional<Duration> max_backlog{};  ///< see Placement
  bool is_stream = true;  ///< callers abandon streams without events
};

/// Shortest retry delay; backlogs change within some hundred milliseconds.
inline constexpr std::chrono::milliseconds kMinRetryAfter{300};

/// Longest queue wait with which a request of this objective is still sent;
/// none if the wait is not limited.
std::optional<Duration> MaxQueueWait(Duration objective);

/// How long callers wait for an event of a stream before they leave.
Duration CallerWait(Duration objective);

/// True if the caller is expected to leave before the answer.
bool MissesDeadline(const AdmissionRequest& request);

/// Returns nothing if the request should be sent, otherwise the delay after
/// which the caller should retry. Under overload an unbounded queue makes every
/// answer late; a short queue keeps the admitted requests on time.
std::optional<Duration> RetryAfterIfTooLate(const AdmissionRequest& request);

/// How long a caller should wait when every target that may serve it pushes
/// back: until the first of them takes requests again. None if one takes
/// requests now, or if there are no targets.
std::optional<Duration> RetryAfterPushback(
    std::span<const Fleet::TargetPtr> serving, TimePoint now);

}  // namespace dogwoodlatch::serving
