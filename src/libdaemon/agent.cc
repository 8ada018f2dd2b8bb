#include "dogwoodlatch/daemon/agent.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/util/event_loop.h"
#include "dogwoodlatch/util/log.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {
namespace {

using platform::ObjectKind;
using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{50};
constexpr milliseconds kWatchWait{20000};
constexpr milliseconds kMaxRetryPause{1500};

// A target's report is about 100 ms old when it is read. Reading it costs
// little, as the agent runs on the target's own VM.
constexpr milliseconds kReportPeriod{100};
constexpr milliseconds kCallTimeout{300};

// Age from which on the status of another agent's target is ignored.
constexpr Duration kStatusLifetime = milliseconds(1500);

// Maximum drain time before a load. Few streams last longer, and a drain does
// not wait for them.
constexpr Duration kMaxDrainTime = milliseconds(600);

// Time after which an order that had no effect is repeated.
constexpr milliseconds kOrderRetryDelay{600};

// Period at which the target list is polled for new targets.
constexpr milliseconds kTargetPollPeriod{4000};

// How long a router may know newer weights before the agent lists them again.
constexpr Duration kMaxBehindRouters = milliseconds(1000);

// A router that has not subscribed for this time forwards nothing.
constexpr Duration kForwarderSilenceLimit = milliseconds(2500);

constexpr int kStatusAccepted = 202;

}  // namespace

Agent::Agent(asio::io_context& context, platform::NodeSettings settings)
    : io_(context),
      settings_(std::move(settings)),
      view_({.max_key_age = settings_.bounds.key_revocation,
             .weights = settings_.bounds.weights,
             .target_heartbeat = settings_.target_heartbeat,
             .target_bytes = settings_.TargetBytes()}),
      weights_lag_(kMaxBehindRouters),
      probe_port_(context),
      report_client_(context, settings_.target_address),
      order_client_(context, settings_.target_address),
      tick_timer_(context),
      ownership_(settings_.bounds.order_lease),
      order_fence_(context, settings_.store_address, settings_.vm),
      relay_({serving::MakeDomainKey(settings_.failure_domain),
              kForwarderSilenceLimit},
             std::numeric_limits<size_t>::max()) {}

Result<void> Agent::Start() {
  auto link = AgentLink::Open(
      io_, settings_.ip, settings_.first_internal_port,
      [this](const asio::ip::udp::endpoint& from,
             std::span<const uint8_t> bytes) { OnDatagram(from, bytes); });
  if (!link) return link.error();
  link_ = std::move(link).value();
  relay_.SetLink(*link_);
  const Result<void> probed = probe_port_.Listen(
      settings_.ip + ":" + std::to_string(settings_.first_internal_port));
  if (!probed) {
    LogEvent(EventId::kListenFailed, {{"fault", ToString(probed.error())}});
  }
  FollowPlatform();
  Tick();
  return boost::outcome_v2::success();
}

void Agent::FollowPlatform() {
  for (const ObjectKind kind : {ObjectKind::kTargets, ObjectKind::kWeights}) {
    FeedHandlers handlers;
    handlers.on_list = [this, kind](const auto& objects, TimePoint sent) {
      view_.OnList(kind, objects, sent, SteadyNow());
    };
    handlers.on_incomplete_list = [this, kind](const auto& objects,
                                               TimePoint sent) {
      return view_.OnIncompleteList(kind, objects, sent, SteadyNow());
    };
    handlers.on_refused = [this, kind](const auto& refusals) {
      view_.OnRefused(kind, refusals);
    };
    handlers.on_changes = [this, kind](const auto& objects, TimePoint sent) {
      view_.OnChanges(kind, objects, sent, SteadyNow());
    };
    handlers.on_failure = [this, kind](const std::string& reason,
                                       Duration overdue) {
      const TimePoint now = SteadyNow();
      view_.OnFailure(kind, reason, now - overdue, now);
    };
    handlers.on_era = [this, index = feeds_.size()](uint64_t era) {
      const auto verdict = view_.OnEra(era, SteadyNow(), BootNow());
      if (verdict == serving::EraVerdict::kRestored) {
        RelistOthers(feeds_, index);
      }
      return verdict;
    };
    FeedOptions options;
    options.kind = kind;
    options.store_address = settings_.store_address;
    options.wait = kWatchWait;
    options.max_retry_pause = kMaxRetryPause;
    options.max_held_bytes = settings_.ListBytes();
    if (kind == ObjectKind::kTargets) options.poll_period = kTargetPollPeriod;
    feeds_.push_back(
        std::make_unique<ObjectFeed>(io_, options, std::move(handlers)));
    if (kind == ObjectKind::kWeights) weights_feed_ = feeds_.back().get();
  }
  std::ranges::for_each(feeds_, &ObjectFeed::Start);
}

serving::Fleet::TargetPtr Agent::OwnTarget() {
  serving::Fleet::TargetPtr own;
  for (const auto& [id, target] : view_.fleet().targets()) {
    const bool is_colocated =
        target->record.address == settings_.target_address;
    const bool is_newer = !own || target->record.started > own->record.started;
    if (is_colocated && is_newer) own = target;
  }
  return own;
}

void Agent::OnDatagram(const asio::ip::udp::endpoint& from,
                       std::span<const uint8_t> bytes) {
  const TimePoint now = SteadyNow();
  Result<Datagram> datagram = DecodeDatagram(bytes);
  if (!datagram) {
    datagram_faults_.Record(datagram.error(), from, now);
    return;
  }
  if (const auto* subscription = std::get_if<Subscription>(&datagram.value())) {
    const bool is_new = !relay_.plan().members().contains(RouterKey(from));
    if (is_new) next_router_list_ = now;
    relay_.plan().OnListed(RouterKey(from), subscription->domain, now);
    relay_.plan().OnHeard(RouterKey(from), now);
    FollowRouterState(*subscription, now);
  } else if (std::holds_alternative<StateQuestion>(datagram.value())) {
    link_->Send(from, Encode(view_.KnownEra(BootNow())),
                {ControlKind::kFreshness, relay_.Relation(RouterKey(from))});
  } else if (auto* status = std::get_if<TargetStatus>(&datagram.value())) {
    if (status->target == 0) return;
    Peer& peer = peers_[status->target];
    if (status->weights.empty()) status->weights.swap(peer.status.weights);
    peer = {std::move(*status), now};
  }
}

// A watch on a connection that has silently died misses new weights.
void Agent::FollowRouterState(const Subscription& subscription, TimePoint now) {
  if (weights_lag_.OnPeerRevision(view_.newest_fence(),
                                  subscription.newest_fence, now)) {
    weights_feed_->Relist();
  }
  if (subscription.heard_ago) {
    ownership_.OnConfirmed(*subscription.heard_ago, BootNow());
  }
  if (subscription.order_fence == 0) return;
  if (subscription.ordered_target != ordered_target_) other_fence_ = 0;
  ordered_target_ = subscription.ordered_target;
  other_fence_ = std::max(other_fence_, subscription.order_fence);
}

void Agent::Tick() {
  RunGuarded("tick", [&] {
    const TimePoint now = SteadyNow();
    view_.Tick(now);
    ownership_.OnRunning(BootNow());
    if (now >= next_report_ && !is_report_pending_) RequestReport();
    ConsiderRollout(now);
    PublishStatus(now);
    LogTraffic(now);
  });
  FlushLog();
  tick_timer_.expires_after(kTickPeriod);
  tick_timer_.async_wait([this](std::error_code error) {
    if (!error) Tick();
  });
}

void Agent::RequestReport() {
  is_report_pending_ = true;
  next_report_ = SteadyNow() + kReportPeriod;
  report_client_.Start(
      dataplane::Call::Get(std::string(platform::kReportPath), kCallTimeout),
      [this](Result<dataplane::CallResponse> response) {
        OnReport(std::move(response));
      });
}

void Agent::OnReport(Result<dataplane::CallResponse> response) {
  is_report_pending_ = false;
  const bool is_answered = response && response.value().status == 200;
  if (!is_answered) {
    if (response) {
      const auto refusal = platform::DecodeResponse(response.value().status,
                                                    response.value().headers);
      if (refusal.pushback) next_report_ = SteadyNow() + *refusal.pushback;
    }
    if (report_) {
      LogEvent(EventId::kTargetDown, {{"target", settings_.target_address}});
    }
    report_.reset();
    return;
  }
  Result<platform::TargetReport> report =
      platform::DecodeReport(response.value().body);
  if (!report) {
    LogEvent(EventId::kBadMessage, {{"fault", ToString(report.error())}});
    return;
  }
  report.value().is_leaving = platform::IsLeaving(response.value().headers);
  if (!report_) {
    LogEvent(EventId::kTargetUp, {{"target", settings_.target_address}});
    // A restarted target has a new id, which the feeds must fetch.
    std::ranges::for_each(feeds_, &ObjectFeed::RetryNow);
  }
  const TimePoint now = SteadyNow();
  const bool has_runs = report.value().active > 0;
  if (has_runs && report.value().is_loading) last_active_run_at_ = now;
  if (report_ && report_->weights != report.value().weights) {
    for (const auto& [model, version] : report.value().weights) {
      LogEvent(
          EventId::kWeightsLoaded,
          {{"model", model},
           {"version", std::to_string(version)},
           {"took_ms", FormatMilliseconds(now - ordered_at_)},
           {"after_runs_ms", FormatMilliseconds(now - last_active_run_at_)}});
    }
  }
  report_ = report.value();
}

std::vector<serving::RolloutPeer> Agent::CollectRolloutPeers(
    const std::string& model, TimePoint now) const {
  std::vector<serving::RolloutPeer> peers;
  for (const auto& [id, target] : view_.fleet().targets()) {
    if (!target->record.weights.contains(model) || target->IsLeaving()) {
      continue;
    }
    serving::RolloutPeer peer{id, target->LoadedVersion(model),
                              serving::RolloutPhase::kServing};
    const auto known = peers_.find(serving::MakeTargetKey(id));
    if (known != peers_.end() &&
        now - known->second.received < kStatusLifetime) {
      const auto published = known->second.status.weights.find(model);
      if (published != known->second.status.weights.end()) {
        peer.version = std::max(peer.version, published->second);
      }
      peer.phase = known->second.status.phase;
      peer.waiting_requests =
          known->second.status.queued + known->second.status.prefilling;
    }
    if (target->record.address == settings_.target_address && report_) {
      const auto loaded = report_->weights.find(model);
      if (loaded != report_->weights.end()) peer.version = loaded->second;
    }
    peers.push_back(peer);
  }
  return peers;
}

bool Agent::IsDrained(TimePoint now) const {
  return report_->active + report_->queued == 0 ||
         now - drain_started_ >= kMaxDrainTime;
}

// The coordinator's fence is the revision of its lease, which may be above that
// of the naming. A target that does not compare fences would carry out an order
// with a lower one. Routers that have restarted do not know what they used.
std::optional<uint64_t> Agent::Fence() const {
  if (settings_.bounds.are_fences_compared) return view_.newest_fence();
  const auto own = order_fence_.Of(ownership_.term());
  if (!own) return std::nullopt;
  return std::max(*own, view_.newest_fence());
}

bool Agent::MayOrder(const serving::Target& own) const {
  const auto fence = Fence();
  const bool is_outbid =
      serving::MakeTargetKey(own.record.id) == ordered_target_ && fence &&
      *fence <= other_fence_;
  return ownership_.MayOrder(BootNow()) && !is_outbid && !own.IsLeaving() &&
         !report_->is_leaving;
}

void Agent::ConsiderRollout(TimePoint now) {
  using serving::RolloutPhase;
  if (is_order_pending_ || !report_) return;
  if (report_->is_loading) {
    phase_ =
        report_->active > 0 ? RolloutPhase::kDraining : RolloutPhase::kLoading;
    return;
  }
  const auto own = OwnTarget();
  const bool may_order = own && MayOrder(*own);
  const auto lagging =
      std::ranges::find_if(view_.weights(), [&](const auto& named) {
        const auto loaded = report_->weights.find(named.first);
        return loaded != report_->weights.end() &&
               loaded->second < named.second.newest();
      });
  if (!may_order || lagging == view_.weights().end()) {
    phase_ = RolloutPhase::kServing;
    return;
  }
  if (!Fence()) {
    order_fence_.Request(ownership_.term(), view_.era().current(), now);
    phase_ = RolloutPhase::kServing;
    return;
  }
  const auto& [model, named] = *lagging;
  const auto peers = CollectRolloutPeers(model, now);
  const bool was_draining = phase_ == RolloutPhase::kDraining;
  // The target may still carry out an earlier order whose response was lost, so
  // the next one is delayed. The target keeps serving meanwhile.
  if (now < next_order_) {
    phase_ = RolloutPhase::kServing;
    return;
  }
  if (!was_draining && !serving::ShouldDrain(own->record.id, named.newest(),
                                             peers, now - named.newest_since(),
                                             serving::kDefaultRolloutLimits)) {
    phase_ = RolloutPhase::kServing;
    return;
  }
  phase_ = RolloutPhase::kDraining;
  if (!was_draining) drain_started_ = now;
  const bool may_load =
      serving::MayLoad(own->record.id, peers, serving::kDefaultRolloutLimits);
  if (IsDrained(now) && may_load) {
    SendWeightsOrder(model, named.newest());
  }
}

void Agent::SendWeightsOrder(const std::string& model, uint64_t version) {
  const auto own = OwnTarget();
  is_order_pending_ = true;
  ordered_at_ = SteadyNow();
  platform::WeightsOrder order;
  order.model = model;
  order.version = version;
  order.holder = settings_.vm;
  order.fence = Fence().value_or(0);
  order.orders_taken = report_->orders_taken;
  LogEvent(EventId::kWeightsOrdered,
           {{"target", own->record.id},
            {"model", model},
            {"version", std::to_string(order.version)},
            {"fence", std::to_string(order.fence)},
            {"orders_taken", std::to_string(order.orders_taken)}});
  order_client_.Start({.method = "POST",
                       .target = std::string(platform::kOrderPath),
                       .headers = platform::OrderHeaders(own->record.id),
                       .body = platform::EncodeOrder(order),
                       .timeout = kCallTimeout},
                      [this](Result<dataplane::CallResponse> response) {
                        OnOrderResponse(std::move(response));
                      });
}

void Agent::OnOrderResponse(Result<dataplane::CallResponse> response) {
  is_order_pending_ = false;
  next_order_ = SteadyNow() + kOrderRetryDelay;
  LogEvent(EventId::kWeightsOrderAnswered,
           {{"answer", response ? std::to_string(response.value().status)
                                : ToString(response.error())}});
  const int status = response ? response.value().status : 0;
  // The report still shows the state before the order. Peers must learn at once
  // that a load has begun.
  if (report_ && status == kStatusAccepted) {
    report_->is_loading = true;
    phase_ = serving::RolloutPhase::kLoading;
  }
}

void Agent::Stop() {
  LogEvent(EventId::kStopped, {{"ordering", is_order_pending_ ? "yes" : "no"}});
  FlushLog();
  io_.stop();
}

void Agent::Reload(const platform::NodeSettings& settings) {
  settings_.bounds = settings.bounds;
  ownership_.SetLease(settings.bounds.order_lease);
  LogEvent(EventId::kReloaded, {{"vm", settings.vm}});
}

}  // namespace dogwoodlatch::daemon
