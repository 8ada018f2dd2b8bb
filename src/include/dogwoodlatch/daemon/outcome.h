/// How requests end.
#pragma once

#include <string_view>

namespace dogwoodlatch::daemon {

/// How a request ended, for logs and metrics.
enum class Outcome {
  kServed,        ///< a target's good answer, complete
  kTargetFailed,  ///< a target's own failure, passed on
  kRefused,       ///< not run: no target could take it
  kRefusedStale,  ///< not run: the configuration's age is over the bound
  kDenied,        ///< no such route or key
  kUnknown,       ///< it may have run; its answer is lost
  kTimedOut,      ///< its deadline or the route's time-out has passed
  kStreamBroken,  ///< its stream ended early
  kCallerGone,    ///< the caller has left
  kPoisoned       ///< it broke targets and is not sent again
};

std::string_view ToString(Outcome outcome);

}  // namespace dogwoodlatch::daemon
