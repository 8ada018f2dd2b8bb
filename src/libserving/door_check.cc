#include "dogwoodlatch/serving/door_check.h"

namespace dogwoodlatch::serving {

DoorDecision CheckAtDoor(const Configuration* configuration,
                         const FreshnessGuard& freshness,
                         const DoorRequest& request, Duration certain_age,
                         TimePoint now) {
  if (configuration == nullptr) return {};
  if (request.id.empty()) return {.verdict = DoorVerdict::kBadRequest};
  // What an outdated configuration lacks may have been added since.
  const std::optional<Duration> age = freshness.Age(now);
  const bool is_certain = age && *age <= certain_age;
  const Route* route = configuration->FindRoute(request.host, request.path);
  if (route == nullptr) {
    return {.verdict =
                is_certain ? DoorVerdict::kUnknownRoute : DoorVerdict::kStale};
  }
  const bool needs_key = configuration->needs_keys() && !route->is_public;
  if (!needs_key) return {.verdict = DoorVerdict::kAllowed, .route = route};
  if (!freshness.Holds(now)) {
    return {.verdict = DoorVerdict::kStale, .route = route};
  }
  const Workspace* workspace = configuration->FindWorkspace(request.key);
  if (workspace != nullptr) {
    return {DoorVerdict::kAllowed, route, workspace};
  }
  const bool is_proved = is_certain || request.key.empty();
  return {.verdict = is_proved ? DoorVerdict::kUnknownKey : DoorVerdict::kStale,
          .route = route};
}

}  // namespace dogwoodlatch::serving
