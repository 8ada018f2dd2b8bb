/// The orderly stop of a router: callers' connections are closed and the
/// process ends without cutting a request.
#pragma once

#include "dogwoodlatch/daemon/exchange.h"
#include "dogwoodlatch/daemon/listener.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

class RouterStop {
 public:
  /// Begins the stop; the process is killed `grace` later.
  RouterStop(ExchangeContext& context, Listener& frontend, Duration grace);

  /// Closes what may be closed now. Returns true if the process must end.
  bool Advance(TimePoint now);

 private:
  void ForEachExchange(void (Exchange::*act)());

  ExchangeContext& context_;
  Listener& frontend_;
};

}  // namespace dogwoodlatch::daemon
