#include "dogwoodlatch/serving/admission.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

// Share of the objective that a request may wait before it starts. The rest is
// for its own prefill and the network round trip.
constexpr double kMaxQueueWaitShare = 0.6;

// Callers abandon a stream that has no event for two seconds, or for four times
// its objective if that is longer.
constexpr Duration kMinCallerWait = std::chrono::seconds(2);
constexpr int kCallerWaitObjectives = 4;

}  // namespace

std::optional<Duration> MaxQueueWait(Duration objective) {
  if (objective == Duration{0}) return std::nullopt;
  return std::chrono::duration_cast<Duration>(objective * kMaxQueueWaitShare);
}

Duration CallerWait(Duration objective) {
  return std::max(kMinCallerWait, objective * kCallerWaitObjectives);
}

bool MissesDeadline(const AdmissionRequest& request) {
  const Duration limit =
      request.is_stream
          ? std::min(CallerWait(request.objective), request.time_left)
          : request.time_left;
  return request.backlog + request.prefill > limit;
}

std::optional<Duration> RetryAfterIfTooLate(const AdmissionRequest& request) {
  std::optional<Duration> max_wait = MaxQueueWait(request.objective);
  if (!max_wait) return std::nullopt;
  if (request.max_backlog) max_wait = std::min(*max_wait, *request.max_backlog);
  const bool exceeds_queue_wait = request.backlog > *max_wait;
  if (!MissesDeadline(request) && !exceeds_queue_wait) return std::nullopt;
  return std::max<Duration>(kMinRetryAfter, request.backlog - *max_wait);
}

std::optional<Duration> RetryAfterPushback(
    std::span<const Fleet::TargetPtr> serving, TimePoint now) {
  if (serving.empty()) return std::nullopt;
  const auto left = [&](const Fleet::TargetPtr& target) {
    return target->signals.PushbackLeft(now);
  };
  const Duration shortest = left(*std::ranges::min_element(serving, {}, left));
  if (shortest == Duration{0}) return std::nullopt;
  return shortest;
}

}  // namespace dogwoodlatch::serving
