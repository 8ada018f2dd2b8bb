#include "dogwoodlatch/serving/attempt_rules.h"

#include <algorithm>
#include <array>

namespace dogwoodlatch::serving {
namespace {

// Sends that targets may refuse before the caller is told to come back.
constexpr int kMaxSends = 3;
constexpr int kMaxConnectFailures = 4;

// Crossing to a target in another failure domain and back takes 4 ms.
constexpr Duration kLeastTimeToSend = std::chrono::milliseconds(6);

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that promise to callers that the request has not run.
bool PromisesNotRun(int status) {
  static constexpr std::array kPromises = {408, 421, 429, 503};
  return std::ranges::find(kPromises, status) != kPromises.end();
}

}  // namespace

// A success that nobody vouches for may be another answer's bytes. A status
// that promises "not run" would be untrue from a target that does not say so
// itself.
AnswerVerdict Judge(const TargetAnswer& answer) {
  if (answer.not_run) return AnswerVerdict::kNotRun;
  if (!answer.is_sealed) return AnswerVerdict::kUnusable;
  if (IsSuccess(answer.status)) return AnswerVerdict::kGood;
  return PromisesNotRun(answer.status) ? AnswerVerdict::kUnusable
                                       : AnswerVerdict::kFailure;
}

bool MayRunAgain(const Route& route, const RequestProgress& progress,
                 Duration left) {
  return route.MayRepeat() && progress.runs < route.max_attempts &&
         progress.sends < std::max(route.max_attempts, kMaxSends) &&
         left > kLeastTimeToSend;
}

bool MaySendAgain(const RequestProgress& progress, Duration left) {
  return progress.sends < kMaxSends && left > kLeastTimeToSend;
}

bool MayConnectAgain(const RequestProgress& progress) {
  return progress.connect_failures < kMaxConnectFailures;
}

LastWord LastWordFor(const RequestProgress& progress) {
  if (progress.stream_started) return LastWord::kBreakOff;
  return progress.runs > 0 ? LastWord::kFail : LastWord::kRefuse;
}

Duration LeastTimeToSend() { return kLeastTimeToSend; }

}  // namespace dogwoodlatch::serving
