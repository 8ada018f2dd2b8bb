#include "dogwoodlatch/serving/attempt_rules.h"

#include <algorithm>
#include <array>

namespace dogwoodlatch::serving {
namespace {

// Sends that targets may refuse before the caller is told to come back.
constexpr int kMaxSends = 3;
constexpr int kMaxConnectFailures = 4;

// Crossing to a target in another failure domain and back takes 4 ms.
constexpr Duration kMinTimeToSend = std::chrono::milliseconds(6);

// A kept connection that was idle for longer may be closed at the other end,
// which a request that must not be repeated would not survive.
constexpr Duration kMaxIdleNonRepeatable = std::chrono::seconds(2);
constexpr Duration kMaxIdleRepeatable = std::chrono::seconds(60);

// Plain requests that may be repeated wait a multiple of their objective.
constexpr int kPlainTimeoutObjectives = 2;
constexpr std::chrono::milliseconds kMinPlainTimeout{150};

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that promise to callers that the request has not run.
bool StatusImpliesNotRun(int status) {
  static constexpr std::array kPromises = {408, 421, 429, 503};
  return std::ranges::find(kPromises, status) != kPromises.end();
}

}  // namespace

// A success that nobody vouches for may be another answer's bytes. A status
// that promises "not run" would be untrue from a target that does not say so
// itself.
AnswerVerdict ClassifyAnswer(const TargetAnswer& answer) {
  if (answer.not_run) return AnswerVerdict::kNotRun;
  if (!answer.is_sealed) return AnswerVerdict::kUnusable;
  if (IsSuccess(answer.status)) return AnswerVerdict::kGood;
  return StatusImpliesNotRun(answer.status) ? AnswerVerdict::kUnusable
                                            : AnswerVerdict::kFailure;
}

bool MayRunAgain(const Route& route, const RequestProgress& progress,
                 Duration left) {
  return route.MayRepeat() && progress.runs < route.max_attempts &&
         progress.sends < std::max(route.max_attempts, kMaxSends) &&
         left > kMinTimeToSend;
}

bool MayAbandonUnresponsive(const Route& route, RequestProgress progress,
                            Duration left) {
  ++progress.runs;
  return MayRunAgain(route, progress, left);
}

bool MaySendAgain(const RequestProgress& progress, Duration left) {
  return progress.sends < kMaxSends && left > kMinTimeToSend;
}

bool MayConnectAgain(const RequestProgress& progress) {
  return progress.connect_failures < kMaxConnectFailures;
}

FinalOutcome DetermineFinalOutcome(const RequestProgress& progress) {
  if (progress.stream_started) return FinalOutcome::kAbort;
  return progress.runs > 0 ? FinalOutcome::kFail : FinalOutcome::kRefuse;
}

Duration MinTimeToSend() { return kMinTimeToSend; }

Duration MaxIdleTime(const Route& route) {
  return route.MayRepeat() ? kMaxIdleRepeatable : kMaxIdleNonRepeatable;
}

// Streams wait the time in which callers would leave, less that of a second
// attempt.
std::chrono::milliseconds FirstByteTimeout(const Route& route) {
  if (!route.MayRepeat()) return std::chrono::milliseconds(0);
  return route.kind == RouteKind::kStream
             ? kMaxFirstByteTimeout
             : std::max(kMinPlainTimeout,
                        kPlainTimeoutObjectives * route.objective);
}

}  // namespace dogwoodlatch::serving
