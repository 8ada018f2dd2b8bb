/// Outcomes of requests.
#pragma once

#include <string_view>

namespace dogwoodlatch::daemon {

/// The outcome of a request, as written to logs and metrics.
enum class Outcome {
  kServed,        ///< a complete, successful response of a target
  kTargetFailed,  ///< the target's error response was passed on
  kRefused,       ///< not run: no target could take the request
  kRefusedStale,  ///< not run: the configuration is older than the bound
  kDenied,        ///< invalid request, unknown route or unknown key
  kUnknown,       ///< may have run; the response is lost
  kTimedOut,      ///< the caller's deadline or the route's timeout has passed
  kStreamBroken,  ///< the stream ended early
  kCallerGone,    ///< the caller disconnected
  kOverQuota,     ///< not run: the workspace has used up its quota
  kPoisoned       ///< targets crashed while running it; not sent again
};

std::string_view ToString(Outcome outcome);

}  // namespace dogwoodlatch::daemon
