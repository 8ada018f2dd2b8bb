/// Decisions about one non-idempotent request at the router.
#pragma once

#include <string>
#include <vector>

#include "dogwoodlatch/request_lifecycle.h"

namespace dogwoodlatch {

/// The life of a request that runs at most once: it looks for the agent that
/// owns the request's claim log, and says "not run" only when every agent that
/// was sent the request has refused it.
class AtMostOnceLife : public RequestLifecycle {
 public:
  explicit AtMostOnceLife(RequestPlan plan);

  std::vector<RequestCommand> Start() override;
  std::vector<RequestCommand> Handle(const RequestEvent& event) override;

 private:
  using Commands = std::vector<RequestCommand>;
  // An attempt that was sent and has no answer.
  struct OpenAttempt {
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
  Commands FollowOwner(const TargetId& owner);
  Commands LeaveTarget(const TargetId& target, OutcomeReason reason);
  Commands ChooseAgain(OutcomeReason reason, Duration retry_after);
  Commands SendAgain();
  Commands EndNotRun(OutcomeReason reason, Duration retry_after);
  Commands End(Outcome outcome);

  RequestPlan plan_;
  uint32_t attempt_ = 0;
  bool attempt_open_ = false;
  bool over_ = false;
  bool sent_again_ = false;
  uint32_t choices_ = 0;
  TargetChosen current_;
  TargetId preferred_;
  TargetId take_over_from_;
  std::vector<TargetId> avoid_;
  std::vector<OpenAttempt> open_;
  std::vector<std::string> parts_;
};

}  // namespace dogwoodlatch
