/// Decisions about one idempotent request.
#pragma once

#include <string>
#include <vector>

#include "dogwoodlatch/request_life.h"

namespace dogwoodlatch {

/// The life of a request that may be sent again: a lost attempt is continued
/// elsewhere from the text already delivered.
class IdempotentLife : public RequestLife {
 public:
  explicit IdempotentLife(RequestPlan plan);

  std::vector<RequestCommand> Start() override;

  std::vector<RequestCommand> Handle(const RequestEvent& event) override;

 private:
  using Commands = std::vector<RequestCommand>;

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
  Commands RetryElsewhere(Outcome otherwise);
  Commands AfterLoss(OutcomeReason reason);
  Commands End(Outcome outcome);

  RequestPlan plan_;
  uint32_t attempt_ = 0;
  bool attempt_open_ = false;
  bool over_ = false;
  uint64_t next_sequence_ = 0;
  TargetId target_;
  std::vector<TargetId> avoid_;
  std::string delivered_text_;
};

}  // namespace dogwoodlatch
