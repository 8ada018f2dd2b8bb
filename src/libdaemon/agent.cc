#include "dogwoodlatch/daemon/agent.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using platform::ObjectKind;
using std::chrono::milliseconds;

constexpr milliseconds kTick{50};
constexpr milliseconds kStoreWait{8000};
constexpr milliseconds kStorePause{800};

// Reports are about 100 ms old when they are read, and cost nothing on the
// target's own VM.
constexpr milliseconds kReportPeriod{100};
constexpr milliseconds kCallTimeout{300};

constexpr Duration kNewsLifetime = milliseconds(1500);
constexpr Duration kSubscriptionLifetime = std::chrono::seconds(4);

// A load takes about 1.1 s, after the runs in progress, which last about as
// long. Of nine targets two may load at once before loads take longer, of 48
// nine; both from the deployments' description.
constexpr serving::RolloutLimits kRolloutLimits{
    .least_loads = 2, .load_share = 0.19, .turn = milliseconds(2500)};

// Streams that last longer than this are few, and wait for no longer drain.
constexpr Duration kLongestDrain = milliseconds(600);

// An order without effect is given again after this time.
constexpr milliseconds kOrderPause{600};

// Targets are listed at this period for the sake of newcomers.
constexpr milliseconds kTargetPoll{4000};

// Routers forget one another after three seconds.
constexpr milliseconds kNamingPeriod{1000};

constexpr int kAccepted = 202;

}  // namespace

Agent::Agent(asio::io_context& context, platform::NodeSettings settings)
    : io_(context),
      settings_(std::move(settings)),
      view_(settings_.bounds.key_revocation, settings_.bounds.settling,
            settings_.bounds.weights),
      report_caller_(context, settings_.target_address),
      order_caller_(context, settings_.target_address),
      tick_timer_(context) {}

Result<void> Agent::Start() {
  auto link = AgentLink::Open(
      io_, settings_.ip, settings_.first_own_port,
      [this](const asio::ip::udp::endpoint& from,
             std::span<const uint8_t> bytes) { OnDatagram(from, bytes); });
  if (!link) return link.error();
  link_ = std::move(link).value();
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
    handlers.on_changes = [this, kind](const auto& objects, TimePoint sent) {
      view_.OnChanges(kind, objects, sent, SteadyNow());
    };
    handlers.on_failure = [this, kind](const std::string& reason) {
      view_.OnFailure(kind, reason, SteadyNow());
    };
    FeedOptions options;
    options.kind = kind;
    options.store_address = settings_.store_address;
    options.wait = kStoreWait;
    options.longest_pause = kStorePause;
    if (kind == ObjectKind::kTargets) options.poll_period = kTargetPoll;
    feeds_.push_back(
        std::make_unique<ObjectFeed>(io_, options, std::move(handlers)));
  }
  std::ranges::for_each(feeds_, &ObjectFeed::Start);
}

serving::Fleet::TargetPtr Agent::OwnTarget() {
  serving::Fleet::TargetPtr own;
  for (const auto& [id, target] : view_.fleet().targets()) {
    const bool is_beside = target->record.address == settings_.target_address;
    const bool is_newer = !own || target->record.started > own->record.started;
    if (is_beside && is_newer) own = target;
  }
  return own;
}

void Agent::OnDatagram(const asio::ip::udp::endpoint& from,
                       std::span<const uint8_t> bytes) {
  const TimePoint now = SteadyNow();
  Result<Datagram> datagram = DecodeDatagram(bytes);
  if (!datagram) {
    LogEvent(EventId::kBadMessage, {{"fault", ToString(datagram.error())}});
    return;
  }
  if (std::holds_alternative<Subscription>(datagram.value())) {
    subscribers_[from] = now;
  } else if (auto* news = std::get_if<TargetNews>(&datagram.value())) {
    const std::string id = news->target_id;
    peers_[id] = {std::move(*news), now};
  }
}

void Agent::Tick() {
  const TimePoint now = SteadyNow();
  view_.Tick(now);
  if (now >= next_report_ && !is_asking_) AskForReport();
  ConsiderRollout(now);
  TellNews(now);
  FlushLog();
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](std::error_code error) {
    if (!error) Tick();
  });
}

void Agent::AskForReport() {
  is_asking_ = true;
  next_report_ = SteadyNow() + kReportPeriod;
  report_caller_.Start(
      dataplane::Call::Get(std::string(platform::kReportPath), kCallTimeout),
      [this](Result<dataplane::CallAnswer> answer) {
        OnReport(std::move(answer));
      });
}

void Agent::OnReport(Result<dataplane::CallAnswer> answer) {
  is_asking_ = false;
  const bool is_answered = answer && answer.value().status == 200;
  if (!is_answered) {
    if (report_) {
      LogEvent(EventId::kTargetDown, {{"target", settings_.target_address}});
    }
    report_.reset();
    return;
  }
  const Result<platform::TargetReport> report =
      platform::DecodeReport(answer.value().body);
  if (!report) {
    LogEvent(EventId::kBadMessage, {{"fault", ToString(report.error())}});
    return;
  }
  if (!report_) {
    LogEvent(EventId::kTargetUp, {{"target", settings_.target_address}});
    std::ranges::for_each(feeds_, &ObjectFeed::Hurry);  // it has another id
  }
  const TimePoint now = SteadyNow();
  const bool has_runs = report.value().active > 0;
  if (has_runs && report.value().is_loading) runs_ended_at_ = now;
  if (report_ && report_->weights != report.value().weights) {
    for (const auto& [model, version] : report.value().weights) {
      LogEvent(EventId::kWeightsLoaded,
               {{"model", model},
                {"version", std::to_string(version)},
                {"took_ms", FormatMilliseconds(now - ordered_at_)},
                {"after_runs_ms", FormatMilliseconds(now - runs_ended_at_)}});
    }
  }
  report_ = report.value();
}

std::vector<serving::RolloutPeer> Agent::PeersOf(const std::string& model,
                                                 TimePoint now) const {
  std::vector<serving::RolloutPeer> peers;
  for (const auto& [id, target] : view_.fleet().targets()) {
    if (!target->record.weights.contains(model) || target->record.draining) {
      continue;
    }
    serving::RolloutPeer peer{id, target->WeightsOf(model),
                              serving::RolloutPhase::kServing};
    const auto heard = peers_.find(id);
    if (heard != peers_.end() && now - heard->second.heard < kNewsLifetime) {
      const auto told = heard->second.news.weights.find(model);
      if (told != heard->second.news.weights.end()) {
        peer.version = std::max(peer.version, told->second);
      }
      peer.phase = heard->second.news.phase;
      peer.waiting_requests =
          heard->second.news.queued + heard->second.news.prefilling;
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
         now - drain_began_ >= kLongestDrain;
}

void Agent::ConsiderRollout(TimePoint now) {
  using serving::RolloutPhase;
  if (is_ordering_ || !report_) return;
  if (report_->is_loading) {
    phase_ =
        report_->active > 0 ? RolloutPhase::kDraining : RolloutPhase::kLoading;
    return;
  }
  const auto own = OwnTarget();
  const bool may_order = own && !own->record.draining;
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
  const auto& [model, named] = *lagging;
  const auto peers = PeersOf(model, now);
  const bool was_draining = phase_ == RolloutPhase::kDraining;
  // An order without an answer may be carried out at any moment. Until then the
  // target serves.
  if (now < order_pause_until_) {
    phase_ = RolloutPhase::kServing;
    return;
  }
  if (!was_draining &&
      !serving::IsTurnToDrain(own->record.id, named.newest(), peers,
                              now - named.newest_since(), kRolloutLimits)) {
    phase_ = RolloutPhase::kServing;
    return;
  }
  phase_ = RolloutPhase::kDraining;
  if (!was_draining) drain_began_ = now;
  const bool is_turn = serving::MayLoad(own->record.id, peers, kRolloutLimits);
  if (IsDrained(now) && is_turn) {
    GiveOrder(model, named.newest());
  }
}

void Agent::GiveOrder(const std::string& model, uint64_t version) {
  const auto own = OwnTarget();
  is_ordering_ = true;
  ordered_at_ = SteadyNow();
  platform::WeightsOrder order;
  order.model = model;
  order.version = version;
  order.holder = settings_.vm;
  order.fence = view_.newest_fence();
  order.orders_taken = report_->orders_taken;
  LogEvent(EventId::kWeightsOrdered,
           {{"target", own->record.id},
            {"model", model},
            {"version", std::to_string(order.version)},
            {"fence", std::to_string(order.fence)},
            {"orders_taken", std::to_string(order.orders_taken)}});
  order_caller_.Start({.method = "POST",
                       .target = std::string(platform::kOrderPath),
                       .headers = platform::OrderHeaders(own->record.id),
                       .body = platform::EncodeOrder(order),
                       .timeout = kCallTimeout},
                      [this](Result<dataplane::CallAnswer> answer) {
                        OnOrderAnswered(std::move(answer));
                      });
}

void Agent::OnOrderAnswered(Result<dataplane::CallAnswer> answer) {
  is_ordering_ = false;
  order_pause_until_ = SteadyNow() + kOrderPause;
  LogEvent(EventId::kWeightsOrderAnswered,
           {{"answer", answer ? std::to_string(answer.value().status)
                              : ToString(answer.error())}});
  const int status = answer ? answer.value().status : 0;
  // The report lags behind; peers learn at once that a load has begun.
  if (report_ && status == kAccepted) {
    report_->is_loading = true;
    phase_ = serving::RolloutPhase::kLoading;
  }
}

std::vector<std::string> Agent::NameRouters() {
  std::vector<std::string> names;
  for (const size_t index : routers_named_.Next(subscribers_.size())) {
    const auto& router =
        std::next(subscribers_.begin(), static_cast<std::ptrdiff_t>(index))
            ->first;
    names.push_back(router.address().to_string() + ":" +
                    std::to_string(router.port()));
  }
  return names;
}

void Agent::TellNews(TimePoint now) {
  const auto own = OwnTarget();
  if (!own || !report_ || !link_) return;
  TargetNews news{.target_id = own->record.id,
                  .weights = report_->weights,
                  .phase = phase_,
                  .queued = report_->queued,
                  .active = report_->active,
                  .prefilling = report_->prefilling,
                  .memory_used = report_->kv_used_tokens,
                  .memory_total = report_->kv_total_tokens,
                  .routers = {}};
  const bool is_urgent =
      news.weights != last_told_.weights || news.phase != last_told_.phase;
  if (!is_urgent && now < next_news_) return;
  std::erase_if(subscribers_, [&](const auto& entry) {
    return now - entry.second > kSubscriptionLifetime;
  });
  next_news_ = now + serving::AgentNewsPeriod(subscribers_.size());
  if (now >= next_naming_) {
    next_naming_ = now + kNamingPeriod;
    news.routers = NameRouters();
  }
  last_told_ = news;
  const std::vector<uint8_t> datagram = Encode(news);
  for (const auto& [subscriber, heard] : subscribers_) {
    link_->Send(subscriber, datagram);
  }
  // Agents of the same service need news while a rollout lasts.
  const bool is_rollout =
      std::ranges::any_of(view_.weights(), [&](const auto& entry) {
        return now - entry.second.newest_since() < settings_.bounds.weights;
      });
  if (!is_rollout && !is_urgent) return;
  for (const auto& [id, target] : view_.fleet().targets()) {
    const auto endpoint = dataplane::ParseEndpoint(target->record.address);
    const bool is_peer =
        target->record.service == own->record.service && id != own->record.id;
    if (!endpoint || !is_peer) continue;
    link_->Send({endpoint->address(), settings_.first_own_port}, datagram);
  }
}

void Agent::Stop() {
  LogEvent(EventId::kStopped, {{"ordering", is_ordering_ ? "yes" : "no"}});
  FlushLog();
  io_.stop();
}

void Agent::Reload(const platform::NodeSettings& settings) {
  settings_.bounds = settings.bounds;
  LogEvent(EventId::kReloaded, {{"vm", settings.vm}});
}

}  // namespace dogwoodlatch::daemon
