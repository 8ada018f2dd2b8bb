/// What a target's answer means for a request, and what may follow.
#pragma once

#include <chrono>

#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// What a request has been through.
struct RequestProgress {
  int sends = 0;                ///< to targets, refused ones too
  int runs = 0;                 ///< sends that may have run
  int connect_failures = 0;     ///< targets to which nothing was sent
  bool stream_started = false;  ///< the caller has a part of the answer
};

/// A whole answer of a target.
struct TargetAnswer {
  int status = 0;
  bool is_sealed = false;  ///< the target vouches for it
  bool not_run = false;    ///< the target proves that it did not run
};

enum class AnswerVerdict {
  kGood,      ///< delivered as it is
  kNotRun,    ///< proof that the request did not run at this target
  kFailure,   ///< the target's failure, delivered as it is
  kUnusable,  ///< it may have run, and the answer must not be delivered
};

AnswerVerdict ClassifyAnswer(const TargetAnswer& answer);

/// True when a request that may have run may be sent once more.
bool MayRunAgain(const Route& route, const RequestProgress& progress,
                 Duration left);

/// True when a request may leave a target that answers nothing for another one:
/// the run there counts, and one more must be allowed after it.
bool MayAbandonUnresponsive(const Route& route, RequestProgress progress,
                            Duration left);

/// True when a request that did not run at its last target may be sent to
/// another one.
bool MaySendAgain(const RequestProgress& progress, Duration left);

/// True while another target may be tried after connections that failed.
bool MayConnectAgain(const RequestProgress& progress);

/// How a request ends for which no target is left.
enum class FinalOutcome {
  kRefuse,  ///< it has not run: the caller may come back
  kFail,    ///< it may have run
  kAbort    ///< nothing may follow what the caller has
};

FinalOutcome DetermineFinalOutcome(const RequestProgress& progress);

/// The least time in which a target can answer.
Duration MinTimeToSend();

/// The longest idle time of a kept connection that may take the request.
Duration MaxIdleTime(const Route& route);

/// A target that answers nothing for so long is silent for every request.
inline constexpr std::chrono::milliseconds kMaxFirstByteTimeout{900};

/// How long a request waits for the first byte of an answer before it goes to
/// another target; 0 when it must not.
std::chrono::milliseconds FirstByteTimeout(const Route& route);

}  // namespace dogwoodlatch::serving
