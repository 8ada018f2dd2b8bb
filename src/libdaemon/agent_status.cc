// What an agent publishes: the status of its target, heartbeats, and the
// routers that subscribe.
#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <vector>

#include "dogwoodlatch/daemon/agent.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;

// Time after which an unrenewed subscription ends. Routers renew theirs every
// second.
constexpr Duration kSubscriptionLifetime = std::chrono::seconds(4);

// A router that has subscribed for less than this time is in every list, and
// the first list after its first subscription is sent with the next status.
constexpr Duration kNewRouterTime = milliseconds(2500);

constexpr Duration kTrafficLogPeriod = std::chrono::seconds(60);

bool IsNew(const serving::RelayPlan::Member& router, TimePoint now) {
  return now - router.since < kNewRouterTime;
}

serving::LoadReport LoadOf(const TargetStatus& status) {
  return {.queued = status.queued,
          .active = status.active,
          .prefilling = status.prefilling,
          .memory_used = status.memory_used,
          .memory_total = status.memory_total};
}

}  // namespace

std::vector<ListedRouter> Agent::NextRouters(TimePoint now) {
  const auto& routers = relay_.plan().members();
  const auto agents = static_cast<size_t>(std::ranges::count_if(
      view_.fleet().targets(),
      [](const auto& entry) { return !entry.second->record.weights.empty(); }));
  const serving::RouterListing plan =
      serving::PlanRouterListing(routers.size(), agents);
  next_router_list_ = now + plan.period;
  router_list_rotation_.SetMaxEntries(
      std::min(kMaxRoutersPerStatus, plan.routers));
  std::vector<ListedRouter> listed;
  for (const size_t index : router_list_rotation_.Next(routers.size())) {
    const auto& [key, router] =
        *std::next(routers.begin(), static_cast<std::ptrdiff_t>(index));
    listed.push_back({key, router.domain});
  }
  // Routers share the retry budget with a new one only once they know it.
  for (const auto& [key, router] : routers) {
    if (!IsNew(router, now) || listed.size() >= kMaxRoutersPerStatus) continue;
    listed.push_back({key, router.domain});
  }
  return listed;
}

bool Agent::IsRolloutInProgress(TimePoint now) const {
  return std::ranges::any_of(view_.weights(), [&](const auto& entry) {
    return now - entry.second.newest_since() < settings_.bounds.weights;
  });
}

void Agent::PublishStatus(TimePoint now) {
  const auto own = OwnTarget();
  if (!link_) return;
  if (!own || !report_) {
    PublishHeartbeat(now);
    return;
  }
  TargetStatus status{.target = serving::MakeTargetKey(own->record.id),
                      .weights = report_->weights,
                      .phase = phase_,
                      .queued = report_->queued,
                      .active = report_->active,
                      .prefilling = report_->prefilling,
                      .memory_used = report_->kv_used_tokens,
                      .memory_total = report_->kv_total_tokens,
                      .routers = {},
                      .is_leaving = report_->is_leaving};
  const bool is_urgent = status.target != last_published_.target ||
                         status.weights != last_published_.weights ||
                         status.is_leaving != last_published_.is_leaving ||
                         status.phase != last_published_.phase;
  const auto change =
      serving::CompareReports(LoadOf(last_published_), LoadOf(status));
  const Duration period =
      serving::AgentStatusPeriod(change, relay_.plan().members().size());
  if (!is_urgent && now - published_at_ < period) return;
  relay_.plan().DropOld(kSubscriptionLifetime, now);
  published_at_ = now;
  last_published_ = status;
  const bool is_rollout = IsRolloutInProgress(now);
  // A router takes forwarded messages only from routers that it knows. Lists
  // with new ones are therefore sent directly.
  bool is_direct = is_urgent;
  // Receivers keep the weights that they know. They are repeated, as datagrams
  // may be lost and routers start later.
  if (now >= next_router_list_) {
    status.routers = NextRouters(now);
    is_direct |= std::ranges::any_of(
        relay_.plan().members(),
        [&](const auto& entry) { return IsNew(entry.second, now); });
  } else if (!is_urgent && !is_rollout) {
    status.weights.clear();
  }
  const std::vector<uint8_t> datagram = Encode(status);
  if (is_direct) {
    relay_.SendDirect(relay_.plan().All(), datagram, ControlKind::kStatus);
  } else {
    relay_.SendRelayed(datagram, ControlKind::kStatus, now);
  }
  if (is_rollout || is_urgent) SendToPeers(*own, datagram);
}

// Routers take an agent that says nothing for one that does not exist, and the
// coordinator orders weights for its target.
void Agent::PublishHeartbeat(TimePoint now) {
  const Duration period = serving::AgentStatusPeriod(
      serving::ChangeSize::kNone, relay_.plan().members().size());
  if (now - published_at_ < period) return;
  relay_.plan().DropOld(kSubscriptionLifetime, now);
  published_at_ = now;
  last_published_ = {};
  relay_.SendRelayed(Encode(TargetStatus{}), ControlKind::kStatus, now);
}

// Agents of the same service need the status while a rollout is in progress.
void Agent::SendToPeers(const serving::Target& own,
                        std::span<const uint8_t> datagram) {
  for (const auto& [id, target] : view_.fleet().targets()) {
    const auto endpoint = dataplane::ParseEndpoint(target->record.address);
    const bool is_peer =
        target->record.service == own.record.service && id != own.record.id;
    if (!endpoint || !is_peer) continue;
    const bool is_own =
        target->record.failure_domain == settings_.failure_domain;
    link_->Send({endpoint->address(), settings_.first_internal_port}, datagram,
                {ControlKind::kStatus,
                 is_own ? DomainRelation::kOwn : DomainRelation::kOther});
  }
}

// An agent has no metrics endpoint.
void Agent::LogTraffic(TimePoint now) {
  if (now < next_traffic_log_ || !link_) return;
  if (next_traffic_log_ != TimePoint{}) {
    const auto own = link_->traffic().Total(DomainRelation::kOwn);
    const auto other = link_->traffic().Total(DomainRelation::kOther);
    const auto unknown = link_->traffic().Total(DomainRelation::kUnknown);
    LogEvent(EventId::kControlTraffic,
             {{"own_domain_bytes", std::to_string(own.bytes)},
              {"own_domain_datagrams", std::to_string(own.datagrams)},
              {"other_domain_bytes", std::to_string(other.bytes)},
              {"other_domain_datagrams", std::to_string(other.datagrams)},
              {"unknown_domain_bytes", std::to_string(unknown.bytes)},
              {"unknown_domain_datagrams", std::to_string(unknown.datagrams)}});
  }
  next_traffic_log_ = now + kTrafficLogPeriod;
}

}  // namespace dogwoodlatch::daemon
