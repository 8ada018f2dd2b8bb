// Uses the decision library on its own: feeds events to the lifecycle of one
// request and prints the commands it returns, without sockets, threads or
// clocks.

#include <iostream>

#include "dogwoodlatch/request_lifecycle.h"

namespace {

using namespace dogwoodlatch;  // NOLINT(google-build-using-namespace)

void Print(const std::vector<RequestCommand>& commands) {
  for (const RequestCommand& command : commands) {
    if (const auto* send = std::get_if<SendAttempt>(&command)) {
      std::cout << "send attempt " << send->attempt << " to "
                << send->target.value << " after \"" << send->delivered_text
                << "\"\n";
    } else if (const auto* deliver = std::get_if<Deliver>(&command)) {
      std::cout << "deliver \"" << deliver->data << "\"\n";
    } else if (const auto* report = std::get_if<ReportOutcome>(&command)) {
      std::cout << "outcome " << ToString(report->outcome.kind) << "\n";
    }
  }
}

}  // namespace

int main() {
  const RequestId id{"request-1"};
  RequestPlan plan;
  plan.request_id = id;
  plan.idempotent = true;
  plan.deadline = TimePoint(std::chrono::seconds(60));
  const auto lifecycle = MakeRequestLifecycle(plan);
  Print(lifecycle->Start());
  Print(lifecycle->Handle(TargetChosen{{"engine-1"}, {"incarnation-1"}, "v1"}));
  Print(lifecycle->Handle(Chunk{id, 1, 0, "It "}));
  Print(lifecycle->Handle(ConnectionLost{1}));
  Print(lifecycle->Handle(TargetChosen{{"engine-2"}, {"incarnation-2"}, "v1"}));
  Print(lifecycle->Handle(Chunk{id, 2, 0, "works."}));
  Print(lifecycle->Handle(Finished{id, 2, 1, 200, "", 0, 0, 0}));
  return 0;
}
