#include "dogwoodlatch/serving/admission.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

// Share of the objective that a request may wait before it is begun. The rest
// is for its own prompt and the way there and back.
constexpr double kWaitShare = 0.6;

// Callers leave a stream that has no event for two seconds, or four times its
// objective if that is longer.
constexpr Duration kLeastPatience = std::chrono::seconds(2);
constexpr int kPatienceObjectives = 4;

// Time after which a caller comes back at the earliest: backlogs change within
// some hundred milliseconds.
constexpr Duration kLeastReturn = std::chrono::milliseconds(300);

}  // namespace

std::optional<Duration> LongestWait(Duration objective) {
  if (objective == Duration{0}) return std::nullopt;
  return std::chrono::duration_cast<Duration>(objective * kWaitShare);
}

std::optional<Duration> RefuseAsTooLate(const AdmissionRequest& request) {
  const std::optional<Duration> allowed = LongestWait(request.objective);
  if (!allowed) return std::nullopt;
  const Duration patience =
      std::max(kLeastPatience, request.objective * kPatienceObjectives);
  const Duration limit = request.is_stream
                             ? std::min(patience, request.time_left)
                             : request.time_left;
  const bool is_hopeless = request.backlog + request.prefill > limit;
  const bool is_late = request.backlog > *allowed;
  if (!is_hopeless && !is_late) return std::nullopt;
  return std::max(kLeastReturn, request.backlog - *allowed);
}

}  // namespace dogwoodlatch::serving
