#include "dogwoodlatch/daemon/router.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <numeric>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/daemon/router_key.h"
#include "dogwoodlatch/util/event_loop.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using platform::ObjectKind;
using platform::RefusalCause;
using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{50};

// Keys are refused this long before the promised bound, because a request takes
// some time to reach its target.
constexpr milliseconds kKeyRevocationMargin{250};

// Long-poll time of the watches. A watch on a dead connection is noticed
// sooner, by the state of other routers.
constexpr milliseconds kWatchWait{20000};

// Targets change in groups, for example while weights are rolled out. A target
// that leaves the list still serves for the promised drain time, of which
// changes may be collected for this share.
constexpr double kCoalesceShareOfDrain = 0.5;
constexpr milliseconds kMinCoalesceDelay{250};
constexpr milliseconds kMaxCoalesceDelay{2000};

constexpr milliseconds kMaxRetryPause{1500};

// Share of the promised retries that routers use. The promised bound applies to
// every time window, and also to targets that this process does not know.
constexpr double kRetrySafetyFactor = 0.85;

// Time after which every router knows of one that has started, or has forgotten
// one that has ended.
constexpr Duration kRouterCountSettleTime = std::chrono::seconds(4);

// Number of routers that are assumed to share the retry budget while no agent
// and no coordinator lists them.
constexpr size_t kUnknownRouterCount = 64;

// Time after which a router that no agent has listed is forgotten.
constexpr Duration kRouterLifetime = std::chrono::seconds(3);

// A router that was not heard for this time forwards nothing. Routers send an
// update every 400 ms at least.
constexpr Duration kForwarderSilenceLimit = milliseconds(1200);

// Share of the process's memory for incomplete heads of responses.
constexpr size_t kPendingInputMemoryDivisor = 16;

constexpr milliseconds kSweepPeriod{500};

// Port of the metrics endpoint; deploy/system.toml names the same port.
constexpr uint16_t kMetricsPort = 9464;

RetryWindowLimits MakeRetryLimits(const platform::PromisedBounds& bounds) {
  return {.share = bounds.retry_share * kRetrySafetyFactor,
          .extra = bounds.retry_extra * kRetrySafetyFactor,
          .window = bounds.retry_window};
}

serving::QuotaTolerance MakeQuotaTolerance(
    const platform::PromisedBounds& bounds) {
  return {.window = bounds.quota_window,
          .over = bounds.quota_over,
          .slack = bounds.quota_slack};
}

}  // namespace

Router::Router(asio::io_context& context, platform::NodeSettings settings)
    : io_(context),
      settings_(std::move(settings)),
      view_({.max_key_age =
                 settings_.bounds.key_revocation - kKeyRevocationMargin,
             .weights = settings_.bounds.weights,
             .target_heartbeat = settings_.target_heartbeat,
             .is_revocation_strict = settings_.bounds.is_key_revocation_strict,
             .target_bytes = settings_.TargetBytes()}),
      pool_(context, settings_.memory_bytes / kPendingInputMemoryDivisor),
      client_refusals_(metrics_),
      context_{.io = context,
               .view = view_,
               .pool = pool_,
               .metrics = metrics_,
               .placement = serving::PlacementPolicy(settings_.failure_domain),
               .retry_limits = MakeRetryLimits(settings_.bounds),
               .routers = RouterCount(
                   settings_.bounds.retry_window + kRouterCountSettleTime,
                   kUnknownRouterCount, SteadyNow()),
               .max_configuration_age = settings_.bounds.configuration,
               .response_budget = dataplane::ByteBudget(
                   settings_.BodyBytes(), dataplane::kSmallMessageBytes),
               .quotas = serving::QuotaLedger(
                   MakeQuotaTolerance(settings_.bounds), BootNow()),
               .poison = {},
               .retry_windows = {},
               .retry_queue = RetryQueue(context)},
      frontend_(context),
      readiness_(context),
      metrics_endpoint_(context),
      freshness_keeper_(
          settings_.bounds.key_revocation, view_,
          {.read_configuration =
               [this] { return configuration_reader_->ListNow(); },
           .list_targets = [this] { target_feed_->Relist(); },
           .list_weights = [this] { weights_feed_->Relist(); },
           .send =
               [this](const asio::ip::udp::endpoint& to,
                      std::span<const uint8_t> bytes) {
                 SendFreshness(to, bytes);
               }}),
      vm_prober_(context, settings_.first_internal_port),
      tick_timer_(context),
      relay_({serving::MakeDomainKey(settings_.failure_domain),
              kForwarderSilenceLimit},
             kMaxRoutersPerUpdate),
      publisher_(context_, relay_),
      coordinator_(
          context, settings_,
          settings_.ip + ":" + std::to_string(settings_.first_internal_port),
          view_,
          [this](const TargetStatus& status) { PublishTargetStatus(status); }) {
}

Result<void> Router::Start() {
  BoundClients();
  frontend_.SetHandler([this](
                           const dataplane::HttpServerSession::Pointer& session,
                           dataplane::Request request) {
    std::make_shared<Exchange>(context_, session, std::move(request))->Start();
  });
  readiness_.SetHandler(
      [this](const dataplane::HttpServerSession::Pointer& session,
             const dataplane::Request& request) {
        const bool is_check = request.path() == platform::kReadinessPath;
        session->SendResponse(!is_check ? 404 : (IsReady() ? 200 : 503), {},
                              "");
      });
  metrics_endpoint_.SetHandler(
      [this](const dataplane::HttpServerSession::Pointer& session,
             const dataplane::Request& request) {
        const bool is_scrape = request.path() == "/metrics";
        session->SendResponse(is_scrape ? 200 : 404,
                              {{"Content-Type", "text/plain; version=0.0.4"}},
                              is_scrape ? MetricsText() : "");
      });
  view_.SetConfigurationListener([this] {
    frontend_.server_state().limits = view_.configuration()->limits();
    context_.saved_parts.SetCapacity(
        view_.configuration()->CacheStoreCapacityTokens());
    context_.quotas.SetLimits(view_.configuration()->QuotaLimits());
  });
  frontend_.server_state().on_connection_end =
      [this](const dataplane::ConnectionEnd& end) { OnConnectionEnd(end); };
  view_.SetRemovalListener([this](const std::string& id) { pool_.Drop(id); });
  metrics_.RegisterGauge("dogwoodlatch_requests_in_progress", [this] {
    return static_cast<double>(context_.exchanges.size());
  });
  metrics_.RegisterGauge("dogwoodlatch_configurations_refused", [this] {
    return static_cast<double>(view_.refused_configurations());
  });
  for (const auto cause : {RefusalCause::kForm, RefusalCause::kSize}) {
    metrics_.RegisterGauge(
        "dogwoodlatch_objects_refused_" + std::string(ToString(cause)),
        [this, cause] {
          return static_cast<double>(view_.refused_objects(cause));
        });
  }
  metrics_.RegisterGauge("dogwoodlatch_lists_incomplete", [this] {
    return static_cast<double>(view_.incomplete_lists());
  });
  metrics_.RegisterGauge("dogwoodlatch_handler_failures",
                         [] { return static_cast<double>(HandlerFailures()); });
  metrics_.RegisterGauge("dogwoodlatch_caller_connections", [this] {
    return static_cast<double>(frontend_.server_state().sessions);
  });
  metrics_.RegisterGauge("dogwoodlatch_configuration_version", [this] {
    const auto& configuration = view_.configuration();
    return configuration ? static_cast<double>(configuration->version()) : 0.0;
  });
  metrics_.RegisterGauge("dogwoodlatch_configuration_age_seconds", [this] {
    const auto age = view_.freshness().Age(BootNow());
    return age ? std::chrono::duration<double>(*age).count() : -1.0;
  });
  metrics_.RegisterGauge("dogwoodlatch_store_era", [this] {
    return static_cast<double>(view_.era().current());
  });
  metrics_.RegisterGauge("dogwoodlatch_coordinator", [this] {
    return coordinator_.IsActive() ? 1.0 : 0.0;
  });
  metrics_.RegisterGauge("dogwoodlatch_control_not_forwarded", [this] {
    return static_cast<double>(relay_.dropped());
  });
  metrics_.RegisterGauge("dogwoodlatch_routers_known", [this] {
    return static_cast<double>(known_routers_);
  });
  RegisterRetryGauges();
  metrics_.RegisterGauge("dogwoodlatch_quota_workspaces_limited", [this] {
    return static_cast<double>(context_.quotas.limited());
  });
  metrics_.RegisterGauge("dogwoodlatch_quota_refill_share",
                         [this] { return context_.quotas.share(); });
  metrics_.RegisterGauge("dogwoodlatch_suspects_holding_back", [this] {
    return static_cast<double>(context_.poison.holding_back());
  });
  metrics_.RegisterGauge("dogwoodlatch_vms_silent", [this] {
    return static_cast<double>(vm_prober_.silent_count());
  });
  engine_watch_.RegisterGauges(metrics_);
  metrics_.RegisterGauge("dogwoodlatch_targets", [this] {
    return static_cast<double>(view_.fleet().targets().size());
  });

  for (const auto& [listener, address] :
       {std::pair{&frontend_, settings_.frontend_address},
        std::pair{&readiness_, settings_.readiness_address}}) {
    Result<void> listening = listener->Listen(address);
    if (!listening) return listening;
  }
  const Result<void> scraping = metrics_endpoint_.Listen(
      settings_.ip + ":" + std::to_string(kMetricsPort));
  if (!scraping) {
    LogEvent(EventId::kListenFailed, {{"fault", ToString(scraping.error())}});
  }
  FollowPlatform();
  OpenAgentLink();
  Tick();
  return boost::outcome_v2::success();
}

void Router::OnConnectionEnd(const dataplane::ConnectionEnd& end) {
  const std::string reason(ToString(end.reason));
  metrics_.Count("dogwoodlatch_caller_connections_closed_total",
                 "reason=\"" + reason + "\"");
  if (!MayHaveLostRequest(end)) return;
  LogEvent(EventId::kCallerCutOff,
           {{"reason", reason},
            {"unread", std::to_string(end.unread_bytes)},
            {"partial", std::to_string(end.partial_bytes)},
            {"unsent", std::to_string(end.unsent_bytes)},
            {"dropped", std::to_string(end.dropped_bytes)}});
}

void Router::AddFeed(const FeedOptions& options) {
  const ObjectKind kind = options.kind;
  FeedHandlers handlers;
  handlers.on_list = [this, kind, answers_questions = options.is_on_demand](
                         const auto& objects, TimePoint sent) {
    const bool was_unreachable = !view_.is_reachable();
    view_.OnList(kind, objects, sent, SteadyNow());
    if (was_unreachable) std::ranges::for_each(feeds_, &ObjectFeed::RetryNow);
    if (answers_questions) freshness_keeper_.OnConfigurationRead(sent);
  };
  handlers.on_incomplete_list = [this, kind](const auto& objects,
                                             TimePoint sent) {
    return view_.OnIncompleteList(kind, objects, sent, SteadyNow());
  };
  handlers.on_refused = [this, kind](const auto& refusals) {
    view_.OnRefused(kind, refusals);
  };
  handlers.on_changes = [this, kind](const auto& objects, TimePoint sent) {
    const bool was_unreachable = !view_.is_reachable();
    view_.OnChanges(kind, objects, sent, SteadyNow());
    if (was_unreachable) std::ranges::for_each(feeds_, &ObjectFeed::RetryNow);
  };
  handlers.on_changes_unread = [this] {
    metrics_.Count("dogwoodlatch_changes_unread_total");
  };
  handlers.on_failure = [this, kind](const std::string& reason,
                                     Duration overdue) {
    metrics_.Count("dogwoodlatch_store_failures_total");
    const bool was_reachable = view_.is_reachable();
    const TimePoint now = SteadyNow();
    view_.OnFailure(kind, reason, now - overdue, now);
    // The watches that are open may be held for long after the store's return.
    if (was_reachable && !view_.is_reachable()) target_feed_->Probe();
  };
  handlers.on_era = [this, index = feeds_.size()](uint64_t era) {
    const auto verdict = view_.OnEra(era, SteadyNow(), BootNow());
    if (verdict == serving::EraVerdict::kRestored) {
      metrics_.Count("dogwoodlatch_store_restored_total");
      RelistOthers(feeds_, index);
      coordinator_.OnStoreRestored();
    }
    return verdict;
  };
  handlers.on_call = [this] {
    metrics_.Count("dogwoodlatch_store_calls_total");
  };
  feeds_.push_back(
      std::make_unique<ObjectFeed>(io_, options, std::move(handlers)));
}

void Router::FollowPlatform() {
  FeedOptions options;
  options.store_address = settings_.store_address;
  options.wait = kWatchWait;
  options.kind = ObjectKind::kConfiguration;
  options.max_retry_pause = kMaxRetryPause;
  AddFeed(options);
  options.is_on_demand = true;
  AddFeed(options);
  configuration_reader_ = feeds_.back().get();
  options.is_on_demand = false;
  options.max_held_bytes = settings_.ListBytes();
  options.kind = ObjectKind::kWeights;
  AddFeed(options);
  weights_feed_ = feeds_.back().get();
  options.kind = ObjectKind::kTargets;
  options.coalesce_delay = std::clamp<milliseconds>(
      std::chrono::duration_cast<milliseconds>(settings_.bounds.drain *
                                               kCoalesceShareOfDrain),
      kMinCoalesceDelay, kMaxCoalesceDelay);
  AddFeed(options);
  target_feed_ = feeds_.back().get();
  std::ranges::for_each(feeds_, &ObjectFeed::Start);
}

void Router::OpenAgentLink() {
  auto link = AgentLink::Open(
      io_, settings_.ip, settings_.first_internal_port,
      [this](const asio::ip::udp::endpoint& from,
             std::span<const uint8_t> bytes) { OnDatagram(from, bytes); });
  if (!link) {
    LogEvent(EventId::kListenFailed, {{"fault", ToString(link.error())}});
    return;
  }
  link_ = std::move(link).value();
  relay_.SetLink(*link_);
  std::error_code ignored;  // the address was parsed when the socket was bound
  freshness_keeper_.SetOwnEndpoint(
      {asio::ip::make_address_v4(settings_.ip, ignored), link_->port()});
}

void Router::CountRouters(TimePoint now) {
  relay_.plan().DropOld(kRouterLifetime, now);
  const size_t others = relay_.plan().members().size();
  const bool is_listed = routers_listed_at_ != TimePoint{} &&
                         now - routers_listed_at_ < kRouterLifetime;
  const bool knows_routers = is_listed || coordinator_.IsActive();
  known_routers_ = knows_routers ? others + 1 : 0;
  context_.routers.Update(knows_routers
                              ? known_routers_
                              : std::max(kUnknownRouterCount, others + 1),
                          now);
}

UpdatePublisher::State Router::OwnState(TimePoint now) const {
  UpdatePublisher::State state;
  if (stop_) {
    state.phase = serving::RouterPhase::kStopping;
    state.stopping_for = now - context_.stop->began();
  } else if (IsReady()) {
    state.phase = serving::RouterPhase::kServing;
  }
  if (link_) {
    std::error_code ignored;  // parsed when the socket was bound
    state.own_key = RouterKey(
        {asio::ip::make_address_v4(settings_.ip, ignored), link_->port()});
  }
  return state;
}

std::string Router::MetricsText() {
  if (link_) link_->traffic().Export(metrics_);
  return metrics_.Text();
}

void Router::RegisterRetryGauges() {
  const auto sum = [this](uint64_t RetryCounts::*count) {
    const TimePoint now = SteadyNow();
    const double part = context_.routers.Part(now);
    return std::accumulate(
        context_.retry_windows.begin(), context_.retry_windows.end(), 0.0,
        [&](double total, const auto& entry) {
          const RetryCounts counts = entry.second.Counts(part, now);
          return total + static_cast<double>(counts.*count);
        });
  };
  metrics_.RegisterGauge("dogwoodlatch_retry_window_first_attempts",
                         [sum] { return sum(&RetryCounts::first_attempts); });
  metrics_.RegisterGauge("dogwoodlatch_retry_window_retries",
                         [sum] { return sum(&RetryCounts::retries); });
  metrics_.RegisterGauge("dogwoodlatch_retry_routers", [this] {
    return static_cast<double>(context_.routers.Most(SteadyNow()));
  });
}

bool Router::IsReady() const {
  if (stop_ || !view_.configuration() || !view_.has_targets()) {
    return false;
  }
  return !view_.configuration()->requires_keys() ||
         view_.freshness().IsFresh(BootNow());
}

void Router::Tick() {
  const TimePoint now = SteadyNow();
  RunGuarded("tick", [&] { UpdateState(now); });
  FlushLog();
  if (stop_ && stop_->Advance(now)) {
    FlushLog();
    io_.stop();
  }
  tick_timer_.expires_after(kTickPeriod);
  tick_timer_.async_wait([this](std::error_code error) {
    if (!error) Tick();
  });
}

void Router::UpdateState(TimePoint now) {
  client_refusals_.Tick(now);
  view_.Tick(now);
  context_.quotas.Tick(context_.routers.Most(now), BootNow());
  freshness_keeper_.Tick(relay_.plan(), now);
  vm_prober_.Tick(view_.fleet(), now);
  engine_watch_.Tick(view_.fleet(), now);
  context_.saved_parts.SetSlowness(engine_watch_.slowness());
  const bool agents_list_routers = agents_listed_at_ != TimePoint{} &&
                                   now - agents_listed_at_ < kRouterLifetime;
  coordinator_.Tick(agents_list_routers, now);
  Subscribe(now);
  AskForState(now);
  PublishDirectory(now);
  CountRouters(now);
  publisher_.Tick(OwnState(now), now);
  if (now >= next_sweep_) {
    pool_.Sweep(now);
    next_sweep_ = now + kSweepPeriod;
  }
}

void Router::Stop() {
  if (stop_) return;
  stop_.emplace(context_, frontend_, settings_.bounds.graceful_stop);
}

void Router::Reload(const platform::NodeSettings& settings) {
  settings_.bounds = settings.bounds;
  coordinator_.SetLease(settings.bounds.order_lease);
  context_.max_configuration_age = settings.bounds.configuration;
  context_.retry_limits = MakeRetryLimits(settings.bounds);
  context_.quotas.SetTolerance(MakeQuotaTolerance(settings.bounds));
  for (auto& [service, window] : context_.retry_windows) {
    window.SetLimits(context_.retry_limits);
  }
  LogEvent(EventId::kReloaded, {{"vm", settings.vm}});
}

}  // namespace dogwoodlatch::daemon
