/// Access check of incoming requests: route, API key, and whether the
/// configuration is recent enough to decide.
#pragma once

#include <optional>
#include <string_view>

#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/serving/freshness.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

enum class AccessVerdict {
  kAllowed,
  kStarting,      ///< no configuration has been received yet
  kStale,         ///< the configuration is too old to decide
  kBadRequest,    ///< the request has no id
  kUnknownRoute,  ///< missing in a recent configuration
  kUnknownKey     ///< missing in a recent configuration, or no key given
};

struct AccessRequest {
  std::string_view id;
  std::string_view host;
  std::string_view path;
  std::string_view key;
};

struct AccessDecision {
  AccessVerdict verdict = AccessVerdict::kStarting;
  const Route* route = nullptr;          ///< set if a route was found
  const Workspace* workspace = nullptr;  ///< set if a key was needed and known
};

/// `configuration` may be null. `max_age_to_deny` is the greatest age of the
/// configuration at which a missing route or key is final; when it is older,
/// the result is `kStale`. `now` is read from the clock that `freshness` uses.
AccessDecision CheckAccess(const Configuration* configuration,
                           const FreshnessGuard& freshness,
                           const AccessRequest& request,
                           Duration max_age_to_deny, TimePoint now);

}  // namespace dogwoodlatch::serving
