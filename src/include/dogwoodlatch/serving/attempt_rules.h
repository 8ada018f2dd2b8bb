/// Rules for retries: how a target's answer is classified and whether the
/// request may be sent to another target.
#pragma once

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/serving/vm_liveness.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Attempts made so far for a request.
struct RequestProgress {
  int sends = 0;                ///< to targets, including refused ones
  int runs = 0;                 ///< targets at which the request may have run
  int connect_failures = 0;     ///< targets that could not be connected to
  bool stream_started = false;  ///< the caller has received part of the answer
};

/// The targets to which a request has been sent.
class TargetHistory {
 public:
  /// The target gets the request no more.
  void Exclude(const std::string& id);

  /// The target was left although it did not fail, so it may get the request
  /// again.
  void Readmit(const std::string& id);

  /// The request may have run at the target.
  void RecordRun(const std::string& id);

  /// Number of different targets at which the request may have run.
  int runs() const { return static_cast<int>(ran_at_.size()); }

  /// Ids of the targets that get the request no more.
  std::span<const std::string> excluded() const { return excluded_; }

  /// True if the request may have run at the target.
  bool HasRunAt(std::string_view id) const;

  /// True if some target at which the request may have run, other than the one
  /// that has it at `present`, can get it again.
  bool CanReturn(std::string_view present) const;

 private:
  std::vector<std::string> excluded_;
  std::vector<std::string> ran_at_;
};

/// A complete answer of a target.
struct TargetAnswer {
  int status = 0;
  bool is_sealed = false;  ///< the target confirmed it with a response seal
  bool not_run = false;    ///< the target states that it did not run
};

enum class AnswerVerdict {
  kGood,      ///< delivered unchanged
  kNotRun,    ///< the request did not run at this target
  kFailure,   ///< an error of the target, delivered unchanged
  kUnusable,  ///< the request may have run; the answer must not be delivered
};

AnswerVerdict ClassifyAnswer(const TargetAnswer& answer);

/// True if a request that may have run may run at one more target.
bool MayRunAgain(const Route& route, const RequestProgress& progress,
                 Duration left);

/// True if a request that may have run may run again at one of the targets that
/// it was sent to before. A route limits the targets of a request, so it may
/// return also if it may go to no further one.
bool MayReturn(const Route& route, const RequestProgress& progress,
               Duration left);

/// True if a request may move from an unresponsive target to another one. The
/// run at the unresponsive target counts, and one more must be allowed after
/// it.
bool MayAbandonUnresponsive(const Route& route, RequestProgress progress,
                            Duration left);

/// A request whose target has fallen silent.
struct SilentRequest {
  Duration silence{0};             ///< so far
  Duration estimate_elsewhere{0};  ///< until another target's first byte
  Duration caller_left{0};         ///< until the caller leaves
  Duration backlog_elsewhere{0};   ///< of the other target
  /// Backlog with which a target is given new requests.
  Duration max_backlog = Duration::max();
  bool is_vm_silent = false;  ///< the target's VM does not answer
};

/// True if the answer is expected sooner from another target, and the move can
/// wait no longer or takes no place from new requests. A VM that does not
/// answer is left as soon as the other target would be given a new request.
bool IsMovePromising(const SilentRequest& request);

/// How long a request that has left a silent target waits for the next one
/// before it may return, if its caller leaves in `caller_left`.
std::chrono::milliseconds SilenceBeforeReturn(Duration caller_left);

/// A request at a target whose VM does not answer.
struct StrandedRequest {
  Duration vm_silence{0};   ///< so far
  Duration rest{0};         ///< that its answer needs once the VM goes on
  Duration caller_left{0};  ///< until the caller leaves
};

/// True if the caller will probably leave before the answer, so that it is told
/// at once that there will be none.
bool IsAnswerUnlikely(const StrandedRequest& request);

/// True if a request that did not run at its last target may be sent to
/// another one.
bool MaySendAgain(const RequestProgress& progress, Duration left);

/// True if another target may be tried after a failed connection.
bool MayConnectAgain(const RequestProgress& progress);

/// How a request ends when no further attempt is possible.
enum class FinalOutcome {
  kRefuse,  ///< it has not run: the caller may retry
  kFail,    ///< it may have run: the caller gets an error
  kAbort    ///< the caller has part of the answer: nothing may follow
};

FinalOutcome DetermineFinalOutcome(const RequestProgress& progress);

/// No request is sent with less time left, as that is too short for a target to
/// answer.
Duration MinTimeToSend();

/// Longest idle time of a pooled connection that may carry the request.
Duration MaxIdleTime(const Route& route);

/// A target that sends nothing for this time while it has requests gets no new
/// ones.
inline constexpr std::chrono::milliseconds kUnresponsiveTime{900};

/// Silence of a target after which it gets no new requests, as seen by a
/// request of this route: the target is left by then and has no request that
/// shows its silence.
std::chrono::milliseconds UnresponsiveLimit(const Route& route);

/// A request may move away from a VM that has not answered for this time, which
/// is also when the VM gets no new requests.
inline constexpr std::chrono::milliseconds kVmSilenceBeforeMove =
    VmLiveness::kSilenceLimit;

/// Silence of its target after which a request may move to another one; 0 if it
/// must not be repeated.
std::chrono::milliseconds FirstByteTimeout(const Route& route);

}  // namespace dogwoodlatch::serving
