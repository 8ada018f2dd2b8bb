#include "dogwoodlatch/daemon/routed_request.h"

#include "dogwoodlatch/serving/admission.h"

namespace dogwoodlatch::daemon {
namespace {

// Targets on older weights are ranked lower from this long after a newer
// version was published, as their responses then earn less credit.
constexpr Duration kWeightsGrace = std::chrono::milliseconds(1500);

// Returns the address of the cache store that keeps the deepest shared part of
// the prompt; empty when there is none.
std::string_view CacheStoreAddress(const RoutedRequest& request) {
  const auto& parts = request.metadata.prompt.parts;
  if (parts.size() < 2) return {};
  const serving::Service* store =
      request.configuration->FindCacheStore(parts[parts.size() - 2].id);
  if (store == nullptr) return {};
  return store->cache_store_address;
}

// A request that has waited, or is sent again, may be of an earlier
// configuration. What it may share is decided by the one in force.
std::string CacheScope(const RoutedRequest& request, const PlatformView& view) {
  return view.configuration()->CacheScope(request.workspace);
}

}  // namespace

bool IsCacheGroupCurrent(const RoutedRequest& request, const PlatformView& view,
                         const serving::Placement& placement) {
  return placement.cache_group.empty() ||
         placement.cache_group ==
             serving::CacheGroupName(placement.weights,
                                     CacheScope(request, view));
}

std::optional<serving::Placement> PlaceRequest(
    const RoutedRequest& request, const PlacementContext& context,
    const serving::TargetHistory& history, TimePoint now) {
  const PlatformView& view = context.view;
  const serving::Prompt& prompt = request.metadata.prompt;
  serving::PlacementRequest placement_request;
  placement_request.tried = history.excluded();
  const std::string cache_scope = CacheScope(request, view);
  placement_request.cache_scope = cache_scope;
  if (request.route->carries_prompt && !prompt.model.empty()) {
    placement_request.prompt = &prompt;
    placement_request.answered_tokens = context.answered_tokens;
    placement_request.priority = RequestPriority(request);
    placement_request.mix = context.mix;
    placement_request.max_queue_wait =
        serving::MaxQueueWait(request.route->objective);
    const auto named = view.weights().find(prompt.model);
    if (named != view.weights().end()) {
      placement_request.newest_weights = named->second.newest();
      placement_request.weights_overdue =
          now - named->second.newest_since() > kWeightsGrace;
    }
    placement_request.oldest_weights =
        view.OldestUsableWeights(prompt.model, now);
    placement_request.cache_store = CacheStoreAddress(request);
    placement_request.saved_parts = &context.saved_parts;
  }
  std::vector<serving::Fleet::TargetPtr> allowed =
      view.fleet().Serving(request.service, now);
  if (history.runs() > 0 && history.runs() >= request.route->max_attempts) {
    std::erase_if(allowed, [&](const auto& target) {
      return !history.HasRunAt(target->record.id);
    });
  }
  return context.policy.Choose(allowed, placement_request, now);
}

int RequestPriority(const RoutedRequest& request) {
  const int priority = request.route->priority;
  return request.workspace != nullptr
             ? request.workspace->priority.value_or(priority)
             : priority;
}

std::optional<serving::OverloadRequest> MakeOverloadRequest(
    const RoutedRequest& request, const serving::Placement& placement,
    Duration left) {
  const bool runs_no_model = placement.weights == 0;
  if (runs_no_model) return std::nullopt;
  return serving::OverloadRequest{
      .service = request.service,
      .workspace = request.workspace != nullptr ? request.workspace->name
                                                : std::string_view(),
      .priority = RequestPriority(request),
      .objective = request.route->objective,
      .timeout = request.route->timeout,
      .time_left = left,
      .wait = placement.backlog,
      .prefill = placement.prefill,
      .max_backlog = placement.max_backlog,
      .is_stream = request.route->kind == serving::RouteKind::kStream};
}

void RecordInMix(const RoutedRequest& request,
                 const serving::Placement& placement, serving::RequestMix& mix,
                 TimePoint now) {
  const auto max_wait = serving::MaxQueueWait(request.route->objective);
  if (placement.weights == 0 || !max_wait) return;
  mix.OnRequest(placement.priority, *max_wait, placement.prefill, now);
}

platform::ForwardingMetadata MakeForwardingMetadata(
    const RoutedRequest& request, const serving::Placement& placement,
    bool saves) {
  platform::ForwardingMetadata forwarding;
  forwarding.target_id = placement.target->record.id;
  forwarding.cache_group = placement.cache_group;
  forwarding.weights = placement.weights;
  forwarding.fetch_from = placement.fetch_from;
  forwarding.priority = RequestPriority(request);
  if (request.workspace != nullptr) {
    forwarding.workspace = request.workspace->name;
  }
  if (saves) forwarding.save_to = CacheStoreAddress(request);
  return forwarding;
}

bool ShouldSave(const RoutedRequest& request,
                std::span<const uint64_t> shared_parts,
                serving::SavedParts& saved_parts, TimePoint now) {
  if (shared_parts.empty()) return false;
  const serving::Prompt& prompt = request.metadata.prompt;
  const uint32_t own_tokens = prompt.parts.back().tokens;
  return saved_parts.ShouldSave(
      shared_parts.back(), prompt.input_tokens - own_tokens, own_tokens, now);
}

}  // namespace dogwoodlatch::daemon
