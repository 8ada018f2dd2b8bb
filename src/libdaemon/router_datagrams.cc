// The datagrams that a router sends to agents and as the coordinator, and those
// that it receives.
#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/daemon/router.h"
#include "dogwoodlatch/daemon/router_key.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;

// An update counts as older than the last one if it is at most this many
// behind. A router that has restarted begins at 0 again.
constexpr int kMaxSequencesBehind = 16;
constexpr Duration kSequenceLifetime = std::chrono::seconds(3);
constexpr size_t kMaxLastUpdates = 4096;

// A router that subscribes to the coordinator renews its subscription every
// second.
constexpr Duration kSubscriptionLifetime = std::chrono::seconds(4);
constexpr milliseconds kDirectoryPeriod{1000};

// A router that starts waits at most two seconds, so lost questions are
// repeated soon.
constexpr milliseconds kStateQuestionPeriod{200};

bool IsModelTarget(const serving::Target& target) {
  return !target.record.weights.empty();
}

}  // namespace

void Router::Subscribe(TimePoint now) {
  if (!link_ || now < next_subscription_) return;
  const bool has_models = std::ranges::any_of(
      view_.fleet().targets(),
      [](const auto& entry) { return IsModelTarget(*entry.second); });
  const std::string other = coordinator_.OtherAddress();
  // The first subscription follows the first list of targets at once.
  if (!has_models && other.empty()) return;
  next_subscription_ =
      now + serving::SubscriptionPeriod(view_.fleet().targets().size());
  const Subscription plain{.newest_fence = view_.newest_fence(),
                           .domain = relay_.plan().own_domain()};
  for (const auto& [id, target] : view_.fleet().targets()) {
    const auto endpoint = dataplane::ParseEndpoint(target->record.address);
    if (!endpoint || !IsModelTarget(*target)) continue;
    const bool is_own =
        target->record.failure_domain == settings_.failure_domain;
    Subscription subscription = plain;
    subscription.heard_ago = coordinator_.AgentHeardAgo(
        serving::VmOfAddress(target->record.address), now);
    subscription.order_fence = coordinator_.LastFence(id);
    if (subscription.order_fence > 0) {
      subscription.ordered_target = serving::MakeTargetKey(id);
    }
    link_->Send({endpoint->address(), settings_.first_internal_port},
                Encode(subscription),
                {ControlKind::kSubscription,
                 is_own ? DomainRelation::kOwn : DomainRelation::kOther});
  }
  const auto coordinator = dataplane::ParseEndpoint(other);
  if (!coordinator) return;
  const asio::ip::udp::endpoint to(coordinator->address(), coordinator->port());
  link_->Send(to, Encode(plain),
              {ControlKind::kSubscription, relay_.Relation(RouterKey(to))});
}

void Router::RecordFault(const Error& fault,
                         const asio::ip::udp::endpoint& from, TimePoint now) {
  metrics_.Count("dogwoodlatch_bad_datagrams_total",
                 "kind=\"" + std::string(ToString(fault.code)) + "\"");
  datagram_faults_.Record(fault, from, now);
}

void Router::OnDatagram(const asio::ip::udp::endpoint& from,
                        std::span<const uint8_t> bytes) {
  const TimePoint now = SteadyNow();
  const Result<Datagram> datagram = DecodeDatagram(bytes);
  if (!datagram) {
    RecordFault(datagram.error(), from, now);
    return;
  }
  const Datagram& message = datagram.value();
  if (const auto* subscription = std::get_if<Subscription>(&message)) {
    OnSubscription(from, *subscription, now);
  } else if (const auto* question = std::get_if<FreshnessQuestion>(&message)) {
    freshness_keeper_.OnQuestion(from, *question);
  } else if (const auto* answer = std::get_if<FreshnessAnswer>(&message)) {
    freshness_keeper_.OnAnswer(*answer);
  } else if (const auto* directory = std::get_if<RouterDirectory>(&message)) {
    coordinator_.OnCoordinatorHeard();
    OnRoutersListed(directory->routers, now);
  } else if (const auto* request = std::get_if<RelayRequest>(&message)) {
    OnRelayRequest(from, *request, now);
  } else if (const auto* batch = std::get_if<ForwardedBatch>(&message)) {
    OnForwarded(from, *batch, now);
  } else if (std::holds_alternative<StateQuestion>(message)) {
    SendFreshness(from, Encode(view_.KnownState()));
  } else if (const auto* state = std::get_if<serving::KnownState>(&message)) {
    OnStateAnswer(*state);
  } else {
    const bool is_update = std::holds_alternative<RouterUpdate>(message);
    // While the store is away, a router that starts knows the others only by
    // what they still send to it.
    if (is_update && view_.NeedsPeerState(BootNow())) {
      SendFreshness(from, Encode(StateQuestion{}));
    }
    OnRelayed(RouterKey(from), message, true, now);
  }
}

void Router::SendFreshness(const asio::ip::udp::endpoint& to,
                           std::span<const uint8_t> bytes) {
  if (!link_) return;
  link_->Send(to, bytes,
              {ControlKind::kFreshness, relay_.Relation(RouterKey(to))});
}

void Router::AskForState(TimePoint now) {
  if (now < next_state_question_ || !view_.NeedsPeerState(BootNow())) return;
  std::vector<asio::ip::udp::endpoint> known;
  std::ranges::transform(relay_.plan().All(), std::back_inserter(known),
                         RouterEndpoint);
  for (const auto& [id, target] : view_.fleet().targets()) {
    const auto endpoint = dataplane::ParseEndpoint(target->record.address);
    if (!endpoint || !IsModelTarget(*target)) continue;
    known.emplace_back(endpoint->address(), settings_.first_internal_port);
  }
  if (known.empty()) return;
  next_state_question_ = now + kStateQuestionPeriod;
  const std::vector<uint8_t> question = Encode(StateQuestion{});
  for (const size_t index : state_rotation_.Next(known.size())) {
    SendFreshness(known[index], question);
  }
}

void Router::OnStateAnswer(const serving::KnownState& state) {
  const bool needed = view_.NeedsPeerState(BootNow());
  if (needed && view_.OnPeerState(state)) freshness_keeper_.Read();
}

void Router::OnSubscription(const asio::ip::udp::endpoint& from,
                            const Subscription& subscription, TimePoint now) {
  subscribers_[from] = now;
  OnRoutersListed({{RouterKey(from), subscription.domain}}, now);
}

// Forwards for known senders only, so that nobody else can multiply datagrams.
void Router::OnRelayRequest(const asio::ip::udp::endpoint& from,
                            const RelayRequest& request, TimePoint now) {
  const Result<Datagram> message = DecodeDatagram(request.message);
  if (!message) {
    RecordFault(message.error(), from, now);
  } else if (OnRelayed(RouterKey(from), message.value(), true, now)) {
    const auto* status = std::get_if<TargetStatus>(&message.value());
    const bool is_plain =
        status != nullptr && IsPlain(*status, request.message) &&
        target_index_.Find(view_.fleet(), status->target, now) != nullptr &&
        !relay_.plan().members().contains(RouterKey(from));
    if (is_plain) {
      relay_.Forward(*status);
    } else {
      relay_.Forward(RouterKey(from), request.message);
    }
  }
}

// Forwarded messages are accepted from known routers only.
void Router::OnForwarded(const asio::ip::udp::endpoint& from,
                         const ForwardedBatch& batch, TimePoint now) {
  if (!relay_.plan().members().contains(RouterKey(from))) return;
  for (const TargetStatus& status : batch.statuses) {
    const auto target = target_index_.Find(view_.fleet(), status.target, now);
    if (!target) continue;
    coordinator_.OnAgentHeard(serving::VmOfAddress(target->record.address),
                              now);
    OnTargetStatus(status, now);
  }
  for (const serving::RelayQueue::Message& forwarded : batch.messages) {
    const Result<Datagram> message = DecodeDatagram(forwarded.bytes);
    if (message) {
      OnRelayed(forwarded.origin, message.value(), false, now);
    } else {
      RecordFault(message.error(), from, now);
    }
  }
}

// A status that comes straight from an agent shows that its target's VM is
// alive. A forwarded one may have waited on its way, and shows only that the
// agent runs.
bool Router::OnRelayed(uint64_t origin, const Datagram& message, bool is_direct,
                       TimePoint now) {
  const bool is_router = relay_.plan().members().contains(origin);
  if (const auto* status = std::get_if<TargetStatus>(&message)) {
    const std::string vm = RouterEndpoint(origin).address().to_string();
    const bool is_from_agent = coordinator_.OnAgentHeard(vm, now);
    const auto target = target_index_.Find(view_.fleet(), status->target, now);
    const bool is_of_target =
        target && serving::VmOfAddress(target->record.address) == vm;
    if (is_of_target && is_direct) target->signals.vm().OnHeard(now);
    OnTargetStatus(*status, now);
    return is_from_agent || is_router;
  }
  if (const auto* update = std::get_if<RouterUpdate>(&message)) {
    OnRouterUpdate(origin, *update, is_direct || is_router, now);
    return is_router;
  }
  return false;
}

void Router::OnRoutersListed(const std::vector<ListedRouter>& routers,
                             TimePoint now) {
  if (!routers.empty()) routers_listed_at_ = now;
  for (const ListedRouter& listed : routers) {
    const std::string ip = RouterEndpoint(listed.router).address().to_string();
    if (ip == settings_.ip) continue;
    relay_.plan().OnListed(listed.router, listed.domain, now);
  }
}

// Sends the status of a target without an agent to the routers that subscribe,
// as its agent would.
void Router::PublishTargetStatus(const TargetStatus& status) {
  OnTargetStatus(status, SteadyNow());
  if (!link_) return;
  const std::vector<uint8_t> datagram = Encode(status);
  for (const auto& [router, seen] : subscribers_) {
    link_->Send(router, datagram,
                {ControlKind::kStatus, relay_.Relation(RouterKey(router))});
  }
}

void Router::PublishDirectory(TimePoint now) {
  if (!link_ || now < next_directory_) return;
  next_directory_ = now + kDirectoryPeriod;
  std::erase_if(subscribers_, [&](const auto& entry) {
    return now - entry.second > kSubscriptionLifetime;
  });
  if (subscribers_.empty() || !coordinator_.IsActive()) return;
  RouterDirectory directory;
  directory.routers.push_back(
      {OwnState(now).own_key, relay_.plan().own_domain()});
  for (const size_t index : directory_rotation_.Next(subscribers_.size())) {
    const auto& router =
        std::next(subscribers_.begin(), static_cast<std::ptrdiff_t>(index))
            ->first;
    const auto known = relay_.plan().members().find(RouterKey(router));
    directory.routers.push_back(
        {RouterKey(router), known == relay_.plan().members().end()
                                ? serving::DomainKey{0}
                                : known->second.domain});
  }
  const std::vector<uint8_t> datagram = Encode(directory);
  for (const auto& [router, seen] : subscribers_) {
    link_->Send(router, datagram,
                {ControlKind::kDirectory, relay_.Relation(RouterKey(router))});
  }
}

void Router::OnTargetStatus(const TargetStatus& status, TimePoint now) {
  if (!status.routers.empty()) agents_listed_at_ = now;
  OnRoutersListed(status.routers, now);
  const auto target = target_index_.Find(view_.fleet(), status.target, now);
  if (!target) return;
  target->UpdateWeights(status.weights);
  if (status.is_leaving &&
      view_.fleet().OnLeaving(target->record.id, target->record.started)) {
    publisher_.OnLeavingAnnounced(target->record.id);
    LogEvent(EventId::kTargetLeaving,
             {{"target", target->record.id}, {"said_by", "agent"}});
  }
  target->signals.OnReport(
      {.is_draining = status.phase == serving::RolloutPhase::kDraining,
       .is_loading = status.phase == serving::RolloutPhase::kLoading,
       .queued = status.queued,
       .active = status.active,
       .prefilling = status.prefilling,
       .memory_used = status.memory_used,
       .memory_total = status.memory_total},
      now);
}

// A forwarded update may be overtaken by one that came another way.
bool Router::IsOutdated(uint64_t router, const RouterUpdate& update,
                        TimePoint now) {
  if (last_updates_.size() >= kMaxLastUpdates) last_updates_.clear();
  LastUpdate& last = last_updates_[router];
  const auto ahead = static_cast<int8_t>(update.sequence - last.sequence);
  const bool is_behind = ahead < 0 && ahead >= -kMaxSequencesBehind;
  if (now - last.at < kSequenceLifetime && is_behind) return true;
  last = {update.sequence, now};
  return false;
}

// What an update reports as used, saved, leaving or suspect stays true when a
// newer update has come first. State by router is kept only for senders that
// exist, as a forwarded datagram may name any.
void Router::OnRouterUpdate(uint64_t router, const RouterUpdate& update,
                            bool is_known, TimePoint now) {
  relay_.plan().OnHeard(router, now);
  const bool is_current = is_known && !IsOutdated(router, update, now);
  if (is_current) {
    context_.peer_stops.OnPhase(router, update.phase, update.stopping_for, now);
  }
  for (const RouterUpdate::TargetLoad& load : update.targets) {
    const auto target = target_index_.Find(view_.fleet(), load.target, now);
    if (!target) continue;
    if (is_current) {
      if (load.by_priority) {
        target->signals.OnPeerBacklog(router, *load.by_priority, now);
      } else {
        target->signals.OnPeerBacklog(router, load.prefill_backlog, now);
      }
    }
    if (is_known) {
      for (const serving::SlownessSample sample : load.slowness) {
        target->signals.engine().OnPeerSample(sample, now);
      }
    }
    for (const uint64_t part : load.parts_used) {
      target->signals.OnPartUsed(part, now);
      publisher_.OnPartAnnounced(load.target, part, now);
    }
  }
  for (const RouterUpdate::Leaving& leaving : update.targets_leaving) {
    const auto target = target_index_.Find(view_.fleet(), leaving.target, now);
    if (!target ||
        !view_.fleet().OnLeaving(target->record.id, leaving.started)) {
      continue;
    }
    publisher_.OnLeavingAnnounced(target->record.id);
    LogEvent(EventId::kTargetLeaving,
             {{"target", target->record.id}, {"said_by", "router"}});
  }
  for (const serving::PartSave& save : update.parts_saved) {
    context_.saved_parts.OnSaved(save, now);
  }
  std::ranges::for_each(update.parts_fetched, [this](uint64_t part) {
    context_.saved_parts.OnFetchedByPeer(part);
  });
  context_.poison.OnReports(update.suspects, now);
  if (!is_known) return;
  context_.quotas.OnHeard(router, BootNow());
  if (update.quota) context_.quotas.OnReport(router, *update.quota, BootNow());
}

}  // namespace dogwoodlatch::daemon
