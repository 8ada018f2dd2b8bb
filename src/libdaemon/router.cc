#include "dogwoodlatch/daemon/router.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using platform::ObjectKind;
using std::chrono::milliseconds;

constexpr milliseconds kTick{50};

// Keys are refused this long before the promised bound, for the time that a
// request takes to its target.
constexpr milliseconds kKeyMargin{250};

// A configuration is proved at least this often: two proofs fit into the two
// fifths of the key bound that remain when an outage counts.
constexpr milliseconds kConfigurationWait{800};
constexpr milliseconds kOtherWait{8000};
constexpr milliseconds kConfigurationPause{300};

// Targets change in groups; one that leaves serves for two seconds more.
constexpr milliseconds kGatherTargets{250};
constexpr milliseconds kOtherPause{1500};

// Part of the promised retries that routers use: the bound counts over every
// span, and over targets that this process does not hear of.
constexpr double kRetryCaution = 0.85;

// Routers that share the bound until agents have told how many there are.
constexpr size_t kAssumedRouters = 8;

constexpr Duration kRouterLifetime = std::chrono::seconds(3);

// A datagram is to stay within a few packets.
constexpr size_t kTargetsInNews = 16;

constexpr milliseconds kSubscriptionPeriod{1000};
constexpr milliseconds kSweepPeriod{500};
constexpr milliseconds kAcceptPause{20};
constexpr int kBacklog = 512;

// Where scrapers find the metrics; deploy/system.toml names the same.
constexpr uint16_t kMetricsPort = 9464;

// What is saved and what comes in during one window add up to this process's
// part of the extra retries.
RetryBudgetLimits RetryLimits(const platform::PromisedBounds& bounds,
                              size_t routers) {
  const double extra =
      bounds.retry_extra * kRetryCaution / static_cast<double>(routers);
  const double window_s =
      std::chrono::duration<double>(bounds.retry_window).count();
  return {.share = bounds.retry_share * kRetryCaution,
          .per_second = extra / 2 / window_s,
          .max_burst = extra / 2};
}

bool IsModelTarget(const serving::Target& target) {
  return !target.record.weights.empty();
}

}  // namespace

Router::Router(asio::io_context& context, platform::NodeSettings settings)
    : io_(context),
      settings_(std::move(settings)),
      view_(settings_.bounds.key_revocation - kKeyMargin,
            settings_.bounds.settling, settings_.bounds.weights),
      pool_(context),
      context_{.io = context,
               .view = view_,
               .pool = pool_,
               .metrics = metrics_,
               .placement = serving::PlacementPolicy(settings_.failure_domain),
               .retry_limits = RetryLimits(settings_.bounds, kAssumedRouters),
               .configuration_bound = settings_.bounds.configuration,
               .poison = {},
               .retry_budgets = {}},
      door_(context),
      operations_(context),
      scrape_(context),
      tick_timer_(context) {}

Result<void> Router::Start() {
  door_.handler = [this](const dataplane::DoorSession::Pointer& session,
                         dataplane::Request request) {
    std::make_shared<Exchange>(context_, session, std::move(request))->Start();
  };
  operations_.handler = [this](const dataplane::DoorSession::Pointer& session,
                               const dataplane::Request& request) {
    const bool is_check = request.path() == platform::kReadinessPath;
    session->Answer(!is_check ? 404 : (IsReady() ? 200 : 503), {}, "");
  };
  scrape_.handler = [this](const dataplane::DoorSession::Pointer& session,
                           const dataplane::Request& request) {
    const bool is_scrape = request.path() == "/metrics";
    session->Answer(is_scrape ? 200 : 404,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    is_scrape ? metrics_.Text() : "");
  };
  view_.NotifyConfiguration([this] {
    door_.policy.limits = view_.configuration()->limits();
    context_.saved_parts.SetCapacity(view_.configuration()->KeptCacheTokens());
  });
  view_.NotifyRemoved([this](const std::string& id) { pool_.Drop(id); });
  metrics_.Gauge("dogwoodlatch_requests_in_progress",
                 [this] { return static_cast<double>(context_.in_progress); });
  metrics_.Gauge("dogwoodlatch_caller_connections",
                 [this] { return static_cast<double>(door_.policy.sessions); });
  metrics_.Gauge("dogwoodlatch_configuration_version", [this] {
    const auto& configuration = view_.configuration();
    return configuration ? static_cast<double>(configuration->version()) : 0.0;
  });
  metrics_.Gauge("dogwoodlatch_configuration_age_seconds", [this] {
    const auto age = view_.freshness().Age(BootNow());
    return age ? std::chrono::duration<double>(*age).count() : -1.0;
  });
  metrics_.Gauge("dogwoodlatch_targets", [this] {
    return static_cast<double>(view_.fleet().targets().size());
  });

  for (const auto& [listener, address] :
       {std::pair{&door_, settings_.door_address},
        std::pair{&operations_, settings_.readiness_address}}) {
    Result<void> listening = Listen(*listener, address);
    if (!listening) return listening;
  }
  const Result<void> scraping =
      Listen(scrape_, settings_.ip + ":" + std::to_string(kMetricsPort));
  if (!scraping) {
    LogEvent(EventId::kListenFailed, {{"fault", ToString(scraping.error())}});
  }
  FollowPlatform();
  OpenAgentLink();
  Tick();
  return boost::outcome_v2::success();
}

Result<void> Router::Listen(Listener& listener, const std::string& address) {
  const auto endpoint = dataplane::ParseEndpoint(address);
  std::error_code error;
  if (!endpoint) return Error{ErrorCode::kIo, address, "not an address"};
  listener.acceptor.open(asio::ip::tcp::v4(), error);
  // A restarted process takes over the port while old connections linger.
  if (!error) {
    listener.acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) listener.acceptor.bind(*endpoint, error);
  if (!error) listener.acceptor.listen(kBacklog, error);
  if (error) return Error{ErrorCode::kIo, address, error.message()};
  Accept(listener);
  return boost::outcome_v2::success();
}

void Router::Accept(Listener& listener) {
  listener.acceptor.async_accept(
      [this, &listener](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          // No descriptors are left, as a rule: connections in progress free
          // some.
          listener.retry_timer.expires_after(kAcceptPause);
          listener.retry_timer.async_wait(
              [this, &listener](std::error_code ended) {
                if (!ended) Accept(listener);
              });
          return;
        }
        auto session = std::make_shared<dataplane::DoorSession>(
            std::move(socket), listener.policy, listener.handler);
        std::erase_if(listener.sessions,
                      [](const auto& weak) { return weak.expired(); });
        listener.sessions.push_back(session);
        session->Start();
        Accept(listener);
      });
}

void Router::FollowPlatform() {
  for (const ObjectKind kind : {ObjectKind::kConfiguration,
                                ObjectKind::kTargets, ObjectKind::kWeights}) {
    const bool is_configuration = kind == ObjectKind::kConfiguration;
    FeedOptions options;
    options.kind = kind;
    options.store_address = settings_.store_address;
    options.wait = is_configuration ? kConfigurationWait : kOtherWait;
    options.longest_pause =
        is_configuration ? kConfigurationPause : kOtherPause;
    if (kind == ObjectKind::kTargets) options.gather = kGatherTargets;
    FeedHandlers handlers;
    handlers.on_list = [this, kind](const auto& objects, TimePoint sent) {
      const bool was_lost = !view_.is_reachable();
      view_.OnList(kind, objects, sent, SteadyNow());
      if (was_lost) std::ranges::for_each(feeds_, &ObjectFeed::Hurry);
    };
    handlers.on_changes = [this, kind](const auto& objects, TimePoint sent) {
      const bool was_lost = !view_.is_reachable();
      view_.OnChanges(kind, objects, sent, SteadyNow());
      if (was_lost) std::ranges::for_each(feeds_, &ObjectFeed::Hurry);
    };
    handlers.on_failure = [this, kind](const std::string& reason) {
      metrics_.Count("dogwoodlatch_store_failures_total");
      view_.OnFailure(kind, reason, SteadyNow());
    };
    feeds_.push_back(
        std::make_unique<ObjectFeed>(io_, options, std::move(handlers)));
  }
  std::ranges::for_each(feeds_, &ObjectFeed::Start);
}

void Router::OpenAgentLink() {
  auto link = AgentLink::Open(
      io_, settings_.ip, settings_.first_own_port,
      [this](const asio::ip::udp::endpoint& from,
             std::span<const uint8_t> bytes) { OnDatagram(from, bytes); });
  if (!link) {
    LogEvent(EventId::kListenFailed, {{"fault", ToString(link.error())}});
    return;
  }
  link_ = std::move(link).value();
}

void Router::Subscribe(TimePoint now) {
  if (!link_ || now < next_subscription_) return;
  next_subscription_ = now + kSubscriptionPeriod;
  const std::vector<uint8_t> datagram = Encode(Subscription{});
  for (const auto& [id, target] : view_.fleet().targets()) {
    const auto endpoint = dataplane::ParseEndpoint(target->record.address);
    if (!endpoint || !IsModelTarget(*target)) continue;
    link_->Send({endpoint->address(), settings_.first_own_port}, datagram);
  }
}

void Router::OnDatagram(const asio::ip::udp::endpoint& from,
                        std::span<const uint8_t> bytes) {
  const Result<Datagram> datagram = DecodeDatagram(bytes);
  if (!datagram) {
    LogEvent(EventId::kBadMessage, {{"fault", ToString(datagram.error())}});
    return;
  }
  if (const auto* news = std::get_if<TargetNews>(&datagram.value())) {
    OnTargetNews(*news);
  } else if (const auto* sent = std::get_if<RouterNews>(&datagram.value())) {
    const uint64_t router =
        (uint64_t{from.address().to_v4().to_uint()} << 16) | from.port();
    OnRouterNews(router, *sent);
  }
}

void Router::OnTargetNews(const TargetNews& news) {
  const TimePoint now = SteadyNow();
  for (const std::string& address : news.routers) {
    const auto endpoint = dataplane::ParseEndpoint(address);
    if (!endpoint || endpoint->address().to_string() == settings_.ip) continue;
    routers_[{endpoint->address(), endpoint->port()}] = now;
  }
  const auto target = view_.fleet().Find(news.target_id);
  if (!target) return;
  target->RaiseWeights(news.weights);
  target->signals.OnReport(
      {.is_draining = news.phase == serving::RolloutPhase::kDraining,
       .is_loading = news.phase == serving::RolloutPhase::kLoading,
       .queued = news.queued,
       .active = news.active,
       .prefilling = news.prefilling,
       .memory_used = news.memory_used,
       .memory_total = news.memory_total},
      now);
}

void Router::OnRouterNews(uint64_t router, const RouterNews& news) {
  const TimePoint now = SteadyNow();
  for (const RouterNews::AtTarget& told : news.targets) {
    const auto target = view_.fleet().Find(told.target_id);
    if (!target) continue;
    target->signals.OnPeerBacklog(router, told.prefill_backlog, now);
    for (const uint64_t part : told.parts_used) {
      target->signals.OnPartUsed(part, now);
    }
  }
  for (const serving::PartSave& save : news.parts_saved) {
    context_.saved_parts.OnSaved(save, now);
  }
  std::ranges::for_each(news.parts_fetched, [this](uint64_t part) {
    context_.saved_parts.OnFetchedElsewhere(part);
  });
  for (const serving::BrokenRun& run : news.runs_broken) {
    context_.poison.OnBrokenElsewhere(run, now);
  }
}

// Tells what is new, and repeats backlogs that last.
void Router::TellRouters(TimePoint now) {
  if (!link_ || now < next_news_) return;
  std::erase_if(routers_, [&](const auto& entry) {
    return now - entry.second > kRouterLifetime;
  });
  next_news_ = now + serving::RouterNewsPeriod(routers_.size());
  const std::vector<size_t> turn = routers_told_.Next(routers_.size());
  ShareRetries(routers_.size() + 1);
  auto parts_sent = std::exchange(context_.parts_sent, {});
  RouterNews news;
  news.parts_saved = context_.saved_parts.TakeGranted();
  news.parts_fetched = context_.saved_parts.TakeFetched();
  news.runs_broken = context_.poison.TakeUntold();
  for (const auto& [id, target] : view_.fleet().targets()) {
    if (!IsModelTarget(*target)) continue;
    const Duration backlog = target->signals.own_backlog();
    Duration& told = told_backlogs_[id];
    auto parts = parts_sent.find(id);
    const bool has_parts = parts != parts_sent.end();
    if (backlog + told == Duration{0} && !has_parts) continue;
    told = backlog;
    news.targets.push_back(
        {id, backlog,
         has_parts ? std::move(parts->second) : std::vector<uint64_t>{}});
    if (news.targets.size() < kTargetsInNews) continue;
    SendNews(std::exchange(news, {}), turn);
  }
  if (news != RouterNews{}) SendNews(news, turn);
}

void Router::SendNews(const RouterNews& news,
                      const std::vector<size_t>& receivers) {
  const std::vector<uint8_t> datagram = Encode(news);
  for (const size_t index : receivers) {
    const auto router =
        std::next(routers_.begin(), static_cast<std::ptrdiff_t>(index));
    link_->Send(router->first, datagram);
  }
}

void Router::ShareRetries(size_t routers) {
  if (routers == sharing_routers_) return;
  sharing_routers_ = routers;
  context_.retry_limits = RetryLimits(settings_.bounds, routers);
  for (auto& [service, budget] : context_.retry_budgets) {
    budget.SetLimits(context_.retry_limits);
  }
}

bool Router::IsReady() const {
  if (is_stopping_ || !view_.configuration() || !view_.has_targets()) {
    return false;
  }
  return !view_.configuration()->needs_keys() ||
         view_.freshness().Holds(BootNow());
}

void Router::Tick() {
  const TimePoint now = SteadyNow();
  view_.Tick(now);
  Subscribe(now);
  TellRouters(now);
  if (now >= next_sweep_) {
    pool_.Sweep(now);
    next_sweep_ = now + kSweepPeriod;
  }
  FlushLog();
  if (is_stopping_) TickStop(now);
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](std::error_code error) {
    if (!error) Tick();
  });
}

void Router::Stop() {
  if (is_stopping_) return;
  is_stopping_ = true;
  door_.policy.is_closing = true;
  context_.stop.emplace(SteadyNow(), settings_.bounds.graceful_stop);
  LogEvent(EventId::kStopping,
           {{"in_progress", std::to_string(context_.in_progress)},
            {"connections", std::to_string(door_.policy.sessions)}});
}

// New connections come until the balancer has taken the VM out, and kept ones
// are closed with their next answer, or once that time is over.
void Router::TickStop(TimePoint now) {
  if (context_.stop->IsInRotation(now)) return;
  for (const auto& weak : door_.sessions) {
    if (const auto session = weak.lock()) session->CloseIfIdle();
  }
  const bool is_done = context_.in_progress == 0;
  if (!is_done && !context_.stop->IsOver(now)) return;
  LogEvent(EventId::kStopped,
           {{"in_progress", std::to_string(context_.in_progress)}});
  FlushLog();
  io_.stop();
}

void Router::Reload(const platform::NodeSettings& settings) {
  settings_.bounds = settings.bounds;
  context_.configuration_bound = settings.bounds.configuration;
  LogEvent(EventId::kReloaded, {{"vm", settings.vm}});
}

}  // namespace dogwoodlatch::daemon
