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
#include "dogwoodlatch/quarantine.h"
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

/// What a caller is told of an agent's refusal.
OutcomeReason ToOutcomeReason(RefusalReason reason);

/// The one final outcome of a request.
struct Outcome {
  OutcomeKind kind = OutcomeKind::kNotRun;
  OutcomeReason reason = OutcomeReason::kNone;
  Duration retry_after{0};
  Finished answer;          ///< with kComplete
  bool may_resend = false;  ///< sending the same request again does no harm
};

/// Times and bounds of the retries of one idempotent request.
struct RetryPolicy {
  uint32_t max_attempts = 4;  ///< attempts that count as failed
  uint32_t max_pauses = 4;    ///< pauses after every target was tried
  Duration pause_base = std::chrono::milliseconds(50);
  Duration first_part_timeout = std::chrono::seconds(20);
  Duration part_timeout = std::chrono::seconds(5);
};

struct RequestPlan {
  RequestId request_id;
  bool idempotent = false;
  TimePoint deadline;
  bool can_continue = true;  ///< a broken answer is continued, not restarted
  SuspicionLevel suspicion = SuspicionLevel::kNone;
  uint64_t random_seed = 1;
  RetryPolicy retry;
};

// What happens to a request.
struct TargetChosen {
  TargetId target;
  Incarnation incarnation;
  std::string weights_version;
  SuspicionLevel suspicion = SuspicionLevel::kNone;  ///< as known at the choice
};
struct NoTargetFound {
  Duration retry_after{0};
  OutcomeReason reason = OutcomeReason::kNoTarget;
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
  TargetId preferred;          ///< alone to be asked, unless empty
  bool spends_budget = false;  ///< a retry: ask the retry budget first
};
struct SendAttempt {
  TargetId target;
  uint32_t attempt = 0;
  Incarnation incarnation;
  std::string weights_version;
  std::string delivered_text;
  TargetId take_over_from;  ///< owner of the claims that cannot be reached
  bool run_alone = false;
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

/// Decides for one request. Not thread-safe; the daemon feeds it from one
/// thread.
class RequestLifecycle {
 public:
  virtual ~RequestLifecycle() = default;

  /// The first commands.
  virtual std::vector<RequestCommand> Start() = 0;

  /// Takes one event; messages of superseded attempts and events after the
  /// outcome give no commands.
  virtual std::vector<RequestCommand> Handle(const RequestEvent& event) = 0;

  /// Tells the present time, ahead of Start, Handle and OnTimer.
  virtual void Advance(TimePoint) {}

  /// When OnTimer is due if nothing arrives before.
  virtual TimePoint WakeAt() const { return TimePoint::max(); }

  /// The time of WakeAt has come.
  virtual std::vector<RequestCommand> OnTimer() { return {}; }
};

/// The life that fits the plan: of an idempotent or of a non-idempotent
/// request.
std::unique_ptr<RequestLifecycle> MakeRequestLifecycle(RequestPlan plan);

}  // namespace dogwoodlatch
