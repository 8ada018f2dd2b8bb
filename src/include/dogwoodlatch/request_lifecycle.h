/// Lifecycle of one request at the router, from its arrival to its single final
/// outcome: the events it handles, the commands it issues, and the interface of
/// its state machine.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/quarantine.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

enum class OutcomeKind {
  kComplete,  ///< the caller has the complete answer
  kNotRun,    ///< proven not to have run; may be sent again
  kUnknown,   ///< may or may not have run; see Outcome::may_resend
  kRejected,  ///< not served because of the request itself: bad input, quota,
              ///< quarantine, reused idempotency key
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

/// Maps an agent's refusal to the reason that the caller is given.
OutcomeReason ToOutcomeReason(RefusalReason reason);

/// The single final outcome of a request.
struct Outcome {
  OutcomeKind kind = OutcomeKind::kNotRun;
  OutcomeReason reason = OutcomeReason::kNone;
  Duration retry_after{0};
  Finished answer;          ///< with kComplete
  bool may_resend = false;  ///< the same request may safely be sent again
};

/// Timeouts and limits for the retries of one idempotent request.
struct RetryPolicy {
  uint32_t max_attempts = 4;  ///< failed attempts before giving up
  uint32_t max_pauses = 4;    ///< back-off pauses after all targets were tried
  Duration pause_base = std::chrono::milliseconds(50);
  Duration first_part_timeout = std::chrono::seconds(20);
  Duration part_timeout = std::chrono::seconds(5);
};

struct RequestPlan {
  RequestId request_id;
  bool idempotent = false;
  TimePoint deadline;
  /// A broken answer is continued instead of restarted.
  bool can_continue = true;
  Suspicion suspicion = Suspicion::kNone;
  uint64_t random_seed = 1;
  RetryPolicy retry;
};

// Events of a request.
struct TargetChosen {
  TargetId target;
  Incarnation incarnation;
  std::string weights_version;
  /// As known when the target was chosen.
  Suspicion suspicion = Suspicion::kNone;
};
struct NoTargetFound {
  Duration retry_after{0};
  OutcomeReason reason = OutcomeReason::kNoTarget;
  bool some_unreached = false;  ///< listed targets did not answer
};
struct ConnectionLost {
  uint32_t attempt = 0;
};
struct CallerGone {};
struct DeadlineReached {};
using RequestEvent =
    std::variant<TargetChosen, NoTargetFound, Refused, Chunk, Finished, Broken,
                 ConnectionLost, CallerGone, DeadlineReached>;

// Commands that the daemon carries out, in order.
struct ChooseTargetCommand {
  std::vector<TargetId> avoid;
  TargetId preferred;  ///< the only target to try, unless empty
  /// A retry: withdraw from the retry budget first.
  bool spends_budget = false;
  bool lookup_only = false;  ///< the target will not be asked to run anything
};
struct SendAttempt {
  TargetId target;
  uint32_t attempt = 0;
  Incarnation incarnation;
  std::string weights_version;
  std::string delivered_text;
  TargetId take_over_from;  ///< the claim log's unreachable owner, or empty
  bool run_alone = false;
  bool lookup_only = false;  ///< ask only what is known of the key
};
struct CancelAttempt {
  TargetId target;
  uint32_t attempt = 0;
};
struct Deliver {
  std::string data;
};
struct ReportOutcome {
  Outcome outcome;
};
using RequestCommand = std::variant<ChooseTargetCommand, SendAttempt,
                                    CancelAttempt, Deliver, ReportOutcome>;

/// State machine of one request: turns events into commands. Not thread-safe;
/// the daemon drives it from one thread.
class RequestLifecycle {
 public:
  virtual ~RequestLifecycle() = default;

  /// Returns the first commands.
  virtual std::vector<RequestCommand> Start() = 0;

  /// Handles one event. Messages of superseded attempts and events after the
  /// outcome yield no commands.
  virtual std::vector<RequestCommand> Handle(const RequestEvent& event) = 0;

  /// Sets the current time; called before Start, Handle and OnTimer.
  virtual void Advance(TimePoint) {}

  /// When OnTimer is due if no event arrives before.
  virtual TimePoint WakeAt() const { return TimePoint::max(); }

  /// Called when the time returned by WakeAt has come.
  virtual std::vector<RequestCommand> OnTimer() { return {}; }
};

/// Creates the state machine for an idempotent or a non-idempotent request,
/// according to the plan.
std::unique_ptr<RequestLifecycle> MakeRequestLifecycle(RequestPlan plan);

}  // namespace dogwoodlatch
