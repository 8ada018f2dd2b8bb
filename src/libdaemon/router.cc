#include "dogwoodlatch/daemon/router.h"

#include <algorithm>
#include <array>
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
constexpr int kAssumedRouters = 8;

// The balancer asks once a second and takes a VM out after two misses.
constexpr milliseconds kOutOfRotation{2600};

// Left of the time between SIGTERM and SIGKILL when the process ends anyway.
constexpr milliseconds kStopMargin{600};

constexpr milliseconds kSubscriptionPeriod{1000};
constexpr milliseconds kSweepPeriod{500};
constexpr milliseconds kAcceptPause{20};
constexpr int kBacklog = 512;

// Where scrapers find the metrics; deploy/system.toml names the same.
constexpr uint16_t kMetricsPort = 9464;

// What is saved and what comes in during one window add up to this process's
// part of the extra retries.
RetryBudgetLimits RetryLimits(const platform::PromisedBounds& bounds,
                              int routers) {
  const double extra = bounds.retry_extra * kRetryCaution / routers;
  const double window_s =
      std::chrono::duration<double>(bounds.retry_window).count();
  return {.share = bounds.retry_share * kRetryCaution,
          .per_second = extra / 2 / window_s,
          .max_saved = extra / 2};
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
               .failure_domain = settings_.failure_domain,
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
  view_.NotifyConfiguration(
      [this] { door_.policy.limits = view_.configuration()->limits(); });
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
    const Result<void> listening = Listen(*listener, address);
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
      [this](const asio::ip::udp::endpoint& /*from*/,
             std::span<const uint8_t> bytes) { OnNews(bytes); });
  if (!link) {
    LogEvent(EventId::kListenFailed, {{"fault", ToString(link.error())}});
    return;
  }
  link_ = std::move(link).value();
}

void Router::Subscribe(TimePoint now) {
  if (!link_ || now < next_subscription_) return;
  next_subscription_ = now + kSubscriptionPeriod;
  const std::vector<uint8_t> datagram = EncodeSubscription();
  for (const auto& [id, target] : view_.fleet().targets()) {
    const auto endpoint = dataplane::ParseEndpoint(target->record.address);
    if (!endpoint || !IsModelTarget(*target)) continue;
    link_->Send({endpoint->address(), settings_.first_own_port}, datagram);
  }
}

void Router::OnNews(std::span<const uint8_t> bytes) {
  const Result<TargetNews> news = DecodeNews(bytes);
  if (!news) {
    LogEvent(EventId::kBadMessage, {{"fault", ToString(news.error())}});
    return;
  }
  const auto target = view_.fleet().Find(news.value().target_id);
  if (!target) return;
  target->RaiseWeights(news.value().weights);
  ShareRetries(news.value().routers);
  target->signals.OnReport(
      {.is_draining = news.value().phase == serving::RolloutPhase::kDraining,
       .is_loading = news.value().phase == serving::RolloutPhase::kLoading,
       .queued = news.value().queued,
       .active = news.value().active,
       .prefilling = news.value().prefilling,
       .routers = news.value().routers},
      SteadyNow());
}

void Router::ShareRetries(int routers) {
  if (routers <= 0 || routers == sharing_routers_) return;
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
  stop_began_ = SteadyNow();
  door_.policy.is_closing = true;
  context_.stop_by = stop_began_ + settings_.bounds.graceful_stop - kStopMargin;
  LogEvent(EventId::kStopping,
           {{"in_progress", std::to_string(context_.in_progress)},
            {"connections", std::to_string(door_.policy.sessions)}});
}

// New connections come until the balancer has taken the VM out, and kept ones
// are closed with their next answer, or once that time is over.
void Router::TickStop(TimePoint now) {
  const Duration stopping = now - stop_began_;
  if (stopping < kOutOfRotation) return;
  for (const auto& weak : door_.sessions) {
    if (const auto session = weak.lock()) session->CloseIfIdle();
  }
  const bool is_done = context_.in_progress == 0;
  const bool is_over = now >= *context_.stop_by;
  if (!is_done && !is_over) return;
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
