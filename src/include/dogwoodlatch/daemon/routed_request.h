/// A request whose route and key have been checked, and the metadata that is
/// forwarded with it to a target.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>

#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/serving/attempt_rules.h"
#include "dogwoodlatch/serving/overload_policy.h"
#include "dogwoodlatch/serving/placement.h"
#include "dogwoodlatch/serving/saved_parts.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {

struct RoutedRequest {
  platform::RequestMetadata metadata;
  PlatformView::ConfigurationPtr configuration{};
  const serving::Route* route = nullptr;  ///< points into `configuration`
  const serving::Workspace* workspace = nullptr;  ///< null on public routes
  std::string service{};
};

/// The state of a router on which the placement of a request depends.
struct PlacementContext {
  const PlatformView& view;
  const serving::PlacementPolicy& policy;
  const serving::SavedParts& saved_parts;
  uint32_t answered_tokens = 0;  ///< that the caller already has
  const serving::RequestMix* mix = nullptr;
};

/// Returns the best target that the request's route and its earlier sends
/// allow, or nothing when none can take the request.
std::optional<serving::Placement> PlaceRequest(
    const RoutedRequest& request, const PlacementContext& context,
    const serving::TargetHistory& history, TimePoint now);

/// Records an arriving request that was placed in its service's mix.
void RecordInMix(const RoutedRequest& request,
                 const serving::Placement& placement, serving::RequestMix& mix,
                 TimePoint now);

/// False if the configuration has changed since the placement so that the
/// request must not share the parts of its cache group any more.
bool IsCacheGroupCurrent(const RoutedRequest& request, const PlatformView& view,
                         const serving::Placement& placement);

/// The workspace's priority, or that of the route if it has none.
int RequestPriority(const RoutedRequest& request);

/// Returns what the overload policy decides on; nothing if the service runs no
/// model, as no wait is known then. It refers to strings of the request.
std::optional<serving::OverloadRequest> MakeOverloadRequest(
    const RoutedRequest& request, const serving::Placement& placement,
    Duration left);

/// Returns the metadata that the router adds to the request for its target. If
/// `saves` is true, the target saves the prompt's parts in their cache store.
platform::ForwardingMetadata MakeForwardingMetadata(
    const RoutedRequest& request, const serving::Placement& placement,
    bool saves);

/// True when this request should save the shared parts of its prompt in the
/// cache store.
bool ShouldSave(const RoutedRequest& request,
                std::span<const uint64_t> shared_parts,
                serving::SavedParts& saved_parts, TimePoint now);

}  // namespace dogwoodlatch::daemon
