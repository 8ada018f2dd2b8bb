/// The router's state machine for one non-idempotent request.
#pragma once

#include <string>
#include <vector>

#include "dogwoodlatch/request_lifecycle.h"

namespace dogwoodlatch {

/// Handles a request that runs at most once: finds the agent that owns the
/// request's claim log, and reports "not run" only after every agent that was
/// sent the request has refused it, and the owner of the log or all agents have
/// told that no submission of the key has run there.
class AtMostOnceLifecycle : public RequestLifecycle {
 public:
  explicit AtMostOnceLifecycle(RequestPlan plan);

  std::vector<RequestCommand> Start() override;
  std::vector<RequestCommand> Handle(const RequestEvent& event) override;

 private:
  using Commands = std::vector<RequestCommand>;
  // An attempt that was sent and not answered by the addressed incarnation.
  struct UnansweredAttempt {
    TargetId target;
    Incarnation incarnation;
  };

  Commands On(const TargetChosen& event);
  Commands On(const NoTargetFound& event);
  Commands On(const Refused& event);
  Commands On(const Chunk& event);
  Commands On(const Finished& event);
  Commands On(const Broken& event);
  Commands On(const ConnectionLost& event);
  Commands On(const CallerGone& event);
  Commands On(const DeadlineReached& event);

  bool IsCurrent(const RequestId& request_id, uint32_t attempt) const;
  void CloseAttempt();
  Commands RedirectToOwner(const TargetId& owner);
  Commands AbandonTarget(const TargetId& target, OutcomeReason reason);
  Commands LookUpElsewhere(const Refused& event);
  Commands LookUp(OutcomeReason reason, Duration retry_after);
  Commands RequestNextTarget(OutcomeReason reason, Duration retry_after);
  Commands SendNextAttempt();
  Commands EndNotRun(OutcomeReason reason, Duration retry_after);
  Commands End(Outcome outcome);

  RequestPlan plan_;
  uint32_t attempt_ = 0;
  bool attempt_open_ = false;
  bool ended_ = false;
  bool resent_ = false;       // to the current target, after a lost connection
  bool lookup_only_ = false;  // the request is no longer to be run
  bool key_not_run_ = false;  // reported by the owner of the log, or by all
  bool some_unreached_ = false;  // an agent was given up without an answer
  // Reported if no lookup finds the outcome of the call.
  OutcomeReason lookup_reason_ = OutcomeReason::kNone;
  Duration lookup_retry_after_{0};
  uint32_t choice_count_ = 0;  // bounded by kMaxChoices
  TargetChosen current_;
  TargetId preferred_;
  TargetId take_over_from_;
  std::vector<TargetId> avoid_;
  std::vector<UnansweredAttempt> unanswered_;
  std::vector<std::string> chunks_;
};

}  // namespace dogwoodlatch
