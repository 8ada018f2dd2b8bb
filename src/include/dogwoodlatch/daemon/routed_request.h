/// A request that has passed the door, and what goes with it to a target.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>

#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/serving/placement.h"
#include "dogwoodlatch/serving/saved_parts.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {

struct RoutedRequest {
  platform::RequestMetadata metadata;
  PlatformView::ConfigurationPtr configuration{};
  const serving::Route* route = nullptr;          ///< of the configuration
  const serving::Workspace* workspace = nullptr;  ///< null on public routes
  std::string service{};
};

/// What a router knows when it places a request.
struct PlacementContext {
  const PlatformView& view;
  const serving::PlacementPolicy& policy;
  const serving::SavedParts& saved_parts;
};

/// The best target that is not among `tried`, or none.
std::optional<serving::Placement> PlaceRequest(
    const RoutedRequest& request, const PlacementContext& knowledge,
    std::span<const std::string> tried, TimePoint now);

/// When the caller should come back, if the placed request would be too late.
std::optional<Duration> RefuseAsTooLate(const RoutedRequest& request,
                                        const serving::Placement& placement,
                                        Duration left);

/// What the router adds to the request for its target. `saves` says whether its
/// parts go into their cache store.
platform::ForwardingMetadata MakeForwardingMetadata(
    const RoutedRequest& request, const serving::Placement& placement,
    bool saves);

/// True when this request is to save its prompt's shared parts.
bool ShouldSave(const RoutedRequest& request,
                std::span<const uint64_t> shared_parts,
                serving::SavedParts& saved_parts, TimePoint now);

}  // namespace dogwoodlatch::daemon
