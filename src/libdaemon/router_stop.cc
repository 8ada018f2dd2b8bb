#include "dogwoodlatch/daemon/router_stop.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {

RouterStop::RouterStop(ExchangeContext& context, Listener& frontend,
                       Duration grace)
    : context_(context), frontend_(frontend) {
  frontend_.server_state().is_closing = true;
  context_.stop.emplace(SteadyNow(), grace);
  LogEvent(
      EventId::kStopping,
      {{"in_progress", std::to_string(context_.exchanges.size())},
       {"connections", std::to_string(frontend_.server_state().sessions)}});
}

// New connections arrive until the balancer has taken the VM out of rotation,
// and later if no other VM is in rotation. The listening socket is therefore
// closed as late as possible. Keep-alive connections are closed after their
// next response, and idle ones once the VM is out of rotation. The process ends
// once no connection has a request or response on its way and another
// router can serve, or none is expected; idle ones do not delay the restart.
bool RouterStop::Advance(TimePoint now) {
  if (context_.stop->IsInRotation(now)) return false;
  frontend_.CloseIdle();
  if (!context_.stop->Listens(now)) {
    if (frontend_.is_open()) frontend_.Close();
  } else if (context_.exchanges.empty()) {
    frontend_.AcceptWaiting();
  }
  const bool is_done = context_.exchanges.empty() && !frontend_.IsBusy();
  const bool may_end =
      is_done && context_.peer_stops.MayEnd(context_.stop->began(), now);
  // Responses need some time to reach their callers.
  if (context_.stop->MustAnswer(now)) ForEachExchange(&Exchange::EndUnanswered);
  if (!may_end && !context_.stop->MustExit(now)) return false;
  const size_t in_progress = context_.exchanges.size();
  ForEachExchange(&Exchange::EndNow);
  LogEvent(
      EventId::kStopped,
      {{"in_progress", std::to_string(in_progress)},
       {"connections", std::to_string(frontend_.server_state().sessions)}});
  return true;
}

// Exchanges leave the set as they end.
void RouterStop::ForEachExchange(void (Exchange::*act)()) {
  std::vector<std::shared_ptr<Exchange>> exchanges;
  std::ranges::transform(
      context_.exchanges, std::back_inserter(exchanges),
      [](Exchange* exchange) { return exchange->shared_from_this(); });
  std::ranges::for_each(exchanges,
                        [&](const auto& exchange) { ((*exchange).*act)(); });
}

}  // namespace dogwoodlatch::daemon
