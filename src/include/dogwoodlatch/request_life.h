/// The life of one request at the router, from its arrival to its one final
/// outcome: what can happen to it, what is to be done, and who decides.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

enum class OutcomeKind {
  kComplete,  ///< the caller has the whole answer
  kNotRun,    ///< proved not run; may be sent again
  kUnknown,   ///< non-idempotent only: may or may not have run
  kRejected,  ///< refused for what it is: bad input, quota, quarantine
};

enum class OutcomeReason {
  kNone,
  kNoTarget,
  kOverloaded,
  kDeadline,
  kTargetLost,
  kStreamBroken,
  kQuarantined,
  kKeyReused,
  kClaimFailed,
  kCallerGone,
  kRetryBudget,
  kNoSettings,
};

std::string_view ToString(OutcomeKind kind);
std::string_view ToString(OutcomeReason reason);

/// The one final outcome of a request.
struct Outcome {
  OutcomeKind kind = OutcomeKind::kNotRun;
  OutcomeReason reason = OutcomeReason::kNone;
  Duration retry_after{0};
  Finished answer;  ///< with kComplete
};

struct RequestPlan {
  RequestId request_id;
  bool idempotent = false;
  TimePoint deadline;
  uint32_t max_attempts = 4;
};

// What happens to a request.
struct TargetChosen {
  TargetId target;
  Incarnation incarnation;
  std::string weights_version;
};
struct NoTargetFound {
  Duration retry_after{0};
};
struct ConnectionLost {
  uint32_t attempt = 0;
};
struct CallerGone {};
struct DeadlineReached {};
using RequestEvent =
    std::variant<TargetChosen, NoTargetFound, Refused, Chunk, Finished, Broken,
                 ConnectionLost, CallerGone, DeadlineReached>;

// What the daemon does about it, in order.
struct ChooseTargetCommand {
  std::vector<TargetId> avoid;
};
struct SendAttempt {
  TargetId target;
  uint32_t attempt = 0;
  Incarnation incarnation;
  std::string weights_version;
  std::string delivered_text;
};
struct CancelAttempt {
  TargetId target;
  uint32_t attempt = 0;
};
struct Deliver {
  std::string data;
};
struct GiveOutcome {
  Outcome outcome;
};
using RequestCommand = std::variant<ChooseTargetCommand, SendAttempt,
                                    CancelAttempt, Deliver, GiveOutcome>;

/// Decides for one request. Not thread-safe; the daemon feeds it from one
/// thread.
class RequestLife {
 public:
  virtual ~RequestLife() = default;

  /// The first commands.
  virtual std::vector<RequestCommand> Start() = 0;

  /// Takes one event; messages of superseded attempts and events after the
  /// outcome give no commands.
  virtual std::vector<RequestCommand> Handle(const RequestEvent& event) = 0;
};

/// The life that fits the plan: of an idempotent or of a non-idempotent
/// request.
std::unique_ptr<RequestLife> MakeRequestLife(RequestPlan plan);

}  // namespace dogwoodlatch
