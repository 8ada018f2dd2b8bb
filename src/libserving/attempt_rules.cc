#include "dogwoodlatch/serving/attempt_rules.h"

#include <algorithm>
#include <array>

namespace dogwoodlatch::serving {
namespace {

// After this many sends, refused ones included, a request that was refused is
// not sent again. If it has not run, its caller is told to retry later. Sends
// after which it may have run do not count.
constexpr int kMaxSends = 3;
constexpr int kMaxConnectFailures = 4;

// With less time left no attempt is started: the round trip to a target in
// another failure domain alone takes 4 ms.
constexpr Duration kMinTimeToSend = std::chrono::milliseconds(6);

// The target may have closed a pooled connection that was idle for longer. A
// request that must not be repeated would fail on such a connection.
constexpr Duration kMaxIdleNonRepeatable = std::chrono::seconds(2);
constexpr Duration kMaxIdleRepeatable = std::chrono::seconds(60);

// First-byte timeout of plain requests that may be repeated, as a multiple of
// their objective.
constexpr int kPlainTimeoutObjectives = 2;
constexpr std::chrono::milliseconds kMinPlainTimeout{150};

// A sound target may pause for about a second. Callers leave a stream after two
// seconds without an event.
constexpr std::chrono::milliseconds kMaxStreamSilence{1250};

// A move that takes place from new requests waits until the caller's time is
// this many times what the other target needs.
constexpr int kMoveReserve = 2;

// Until then the other target's backlog must be below this part of the silence.
constexpr int kMoveRoomShare = 4;

// A caller is told that there will be no answer once it is less probable.
constexpr double kMinAnswerProbability = 1.0 / 8;

// No target is expected to answer sooner while it loads weights or reads a long
// prompt.
constexpr std::chrono::milliseconds kMinSilenceBeforeReturn{350};

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses by which callers conclude that the request has not run.
bool StatusImpliesNotRun(int status) {
  static constexpr std::array kNotRunStatuses = {408, 421, 429, 503};
  return std::ranges::find(kNotRunStatuses, status) != kNotRunStatuses.end();
}

}  // namespace

// A success without a seal may consist of the bytes of another answer. A status
// that implies "not run" must not reach the caller unless the target itself
// confirms that the request did not run, as it may be false.
AnswerVerdict ClassifyAnswer(const TargetAnswer& answer) {
  if (answer.not_run) return AnswerVerdict::kNotRun;
  if (!answer.is_sealed) return AnswerVerdict::kUnusable;
  if (IsSuccess(answer.status)) return AnswerVerdict::kGood;
  return StatusImpliesNotRun(answer.status) ? AnswerVerdict::kUnusable
                                            : AnswerVerdict::kFailure;
}

void TargetHistory::Exclude(const std::string& id) { excluded_.push_back(id); }

void TargetHistory::Readmit(const std::string& id) {
  std::erase(excluded_, id);
}

void TargetHistory::RecordRun(const std::string& id) {
  if (!HasRunAt(id)) ran_at_.push_back(id);
}

bool TargetHistory::HasRunAt(std::string_view id) const {
  return std::ranges::find(ran_at_, id) != ran_at_.end();
}

bool TargetHistory::CanReturn(std::string_view present) const {
  return std::ranges::any_of(ran_at_, [&](const std::string& id) {
    return id != present && std::ranges::find(excluded_, id) == excluded_.end();
  });
}

bool MayRunAgain(const Route& route, const RequestProgress& progress,
                 Duration left) {
  return route.MayRepeat() && progress.runs < route.max_attempts &&
         progress.sends < std::max(route.max_attempts, kMaxSends) &&
         left > kMinTimeToSend;
}

bool MayReturn(const Route& route, const RequestProgress& progress,
               Duration left) {
  return route.MayRepeat() && MaySendAgain(progress, left);
}

bool MayAbandonUnresponsive(const Route& route, RequestProgress progress,
                            Duration left) {
  ++progress.runs;
  return MayRunAgain(route, progress, left);
}

// Nothing is known about how long the silence lasts, so it is expected to last
// as long again as it has lasted. A caller that would leave before the other
// target's first byte can only be served by the first target.
//
// All requests of a VM that stands still would move at once, and their prompts
// are read again, so that new requests would be late or refused for want of
// time. The longer the silence, the more room a move may take.
//
// A VM that does not answer is no such pause: waiting there for room to become
// idle elsewhere kept callers until they left.
bool IsMovePromising(const SilentRequest& request) {
  const bool can_wait =
      request.caller_left > kMoveReserve * request.estimate_elsewhere;
  if (request.is_vm_silent) {
    return request.estimate_elsewhere < request.caller_left &&
           (!can_wait || request.backlog_elsewhere <= request.max_backlog);
  }
  const bool is_sooner = request.estimate_elsewhere <
                         std::min(request.silence, request.caller_left);
  return is_sooner &&
         (!can_wait ||
          request.backlog_elsewhere <=
              std::min(request.max_backlog, request.silence / kMoveRoomShare));
}

// If nothing is known about how long a silence lasts, one of length s ends
// within x more with a probability of x / (s + x). A silence that a sound
// target may have as well is waited for, unless the answer would come too late
// even if the VM went on at once.
bool IsAnswerUnlikely(const StrandedRequest& request) {
  if (request.vm_silence < kVmSilenceBeforeMove) return false;
  const Duration usable = request.caller_left - request.rest;
  if (usable < Duration{0}) return true;
  const double probability =
      static_cast<double>(usable.count()) /
      static_cast<double>((request.vm_silence + usable).count());
  return request.vm_silence >= kMaxStreamSilence &&
         probability < kMinAnswerProbability;
}

// Half of the time is left for the return.
std::chrono::milliseconds SilenceBeforeReturn(Duration caller_left) {
  return std::max(
      kMinSilenceBeforeReturn,
      std::chrono::ceil<std::chrono::milliseconds>(caller_left / 2));
}

bool MaySendAgain(const RequestProgress& progress, Duration left) {
  return progress.sends < kMaxSends + progress.runs && left > kMinTimeToSend;
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

std::chrono::milliseconds UnresponsiveLimit(const Route& route) {
  const std::chrono::milliseconds timeout = FirstByteTimeout(route);
  return timeout.count() == 0 ? kUnresponsiveTime
                              : std::min(timeout, kUnresponsiveTime);
}

std::chrono::milliseconds FirstByteTimeout(const Route& route) {
  if (!route.MayRepeat()) return std::chrono::milliseconds(0);
  return route.kind == RouteKind::kStream
             ? kMaxStreamSilence
             : std::max(kMinPlainTimeout,
                        kPlainTimeoutObjectives * route.objective);
}

}  // namespace dogwoodlatch::serving
