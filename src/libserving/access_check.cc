#include "dogwoodlatch/serving/access_check.h"

namespace dogwoodlatch::serving {

AccessDecision CheckAccess(const Configuration* configuration,
                           const FreshnessGuard& freshness,
                           const AccessRequest& request,
                           Duration max_age_to_deny, TimePoint now) {
  if (configuration == nullptr) return {};
  if (request.id.empty()) return {.verdict = AccessVerdict::kBadRequest};
  // What an outdated configuration lacks may have been added since.
  const std::optional<Duration> age = freshness.Age(now);
  const bool is_certain = age && *age <= max_age_to_deny;
  const Route* route = configuration->FindRoute(request.host, request.path);
  if (route == nullptr) {
    return {.verdict = is_certain ? AccessVerdict::kUnknownRoute
                                  : AccessVerdict::kStale};
  }
  const bool needs_key = configuration->requires_keys() && !route->is_public;
  if (!needs_key) return {.verdict = AccessVerdict::kAllowed, .route = route};
  if (!freshness.IsFresh(now)) {
    return {.verdict = AccessVerdict::kStale, .route = route};
  }
  const Workspace* workspace = configuration->FindWorkspace(request.key);
  if (workspace != nullptr) {
    return {AccessVerdict::kAllowed, route, workspace};
  }
  const bool is_certain_denial = is_certain || request.key.empty();
  return {.verdict = is_certain_denial ? AccessVerdict::kUnknownKey
                                       : AccessVerdict::kStale,
          .route = route};
}

}  // namespace dogwoodlatch::serving
