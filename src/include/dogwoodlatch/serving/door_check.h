/// Whether a request may be served at all: its route, its key, and whether the
/// configuration is recent enough to say so.
#pragma once

#include <optional>
#include <string_view>

#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/serving/freshness.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

enum class AccessVerdict {
  kAllowed,
  kStarting,      ///< no configuration is known yet
  kStale,         ///< the configuration is too old to decide
  kBadRequest,    ///< the request has no id
  kUnknownRoute,  ///< proved by a recent configuration
  kUnknownKey     ///< proved by a recent configuration, or there is no key
};

struct AccessRequest {
  std::string_view id;
  std::string_view host;
  std::string_view path;
  std::string_view key;
};

struct AccessDecision {
  AccessVerdict verdict = AccessVerdict::kStarting;
  const Route* route = nullptr;          ///< set once it is known
  const Workspace* workspace = nullptr;  ///< null on public routes
};

/// `configuration` may be null. `max_age_to_deny` is the age up to which a
/// missing route or key proves that there is none; `now` is of the freshness's
/// clock.
AccessDecision CheckAccess(const Configuration* configuration,
                           const FreshnessGuard& freshness,
                           const AccessRequest& request,
                           Duration max_age_to_deny, TimePoint now);

}  // namespace dogwoodlatch::serving
