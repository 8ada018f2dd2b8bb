#include "dogwoodlatch/daemon/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/serving/access_check.h"
#include "dogwoodlatch/serving/admission.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using serving::AccessVerdict;
using serving::RouteKind;
using std::chrono::milliseconds;

// Retry-After of refused requests, by what the caller has to wait for.
constexpr milliseconds kStartupRetryAfter{400};  // the first configuration
constexpr milliseconds kStaleRetryAfter{800};    // a reachable store
constexpr milliseconds kStoppingRetryAfter{50};  // another router
constexpr milliseconds kRestartRetryAfter{400};  // a router that starts again
constexpr milliseconds kBusyRetryAfter{300};     // a target that serves again

// A request that crashes targets may be tried again after this time at the
// earliest, if it is another router's turn to try it.
constexpr milliseconds kMinHeldBackRetryAfter{2000};

constexpr int kPercent = 100;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kTooManyRequests = 429;
constexpr int kGatewayTimeout = 504;

}  // namespace

Exchange::Exchange(ExchangeContext& context,
                   dataplane::HttpServerSession::Pointer session,
                   dataplane::Request request)
    : context_(context),
      session_(std::move(session)),
      request_(std::move(request)),
      routed_{.metadata = platform::DecodeRequest(request_.headers),
              .configuration = context.view.configuration()},
      arrived_at_(SteadyNow()),
      response_deadline_(arrived_at_),
      deadline_timer_(context.io),
      handover_timer_(context.io),
      partial_event_bytes_(context.response_budget) {
  context_.exchanges.insert(this);
}

Exchange::~Exchange() { context_.exchanges.erase(this); }

void Exchange::Start() {
  session_->SetDisconnectHandler(
      [self = shared_from_this()] { self->OnCallerGone(); });
  if (!AdmitRequest()) return;
  suspects_ = serving::SuspectsOf(
      request_.target,
      routed_.workspace ? routed_.workspace->name : std::string(),
      request_.body, routed_.metadata.prompt);
  if (!AdmitSuspects() || !AdmitWithinQuota()) return;
  body_ = std::make_shared<const std::string>(std::move(request_.body));
  routed_.service = serving::Configuration::PickService(
      *routed_.route,
      XXH64(routed_.metadata.id.data(), routed_.metadata.id.size(), 0));
  StartDeadline();
  TryTarget();
}

bool Exchange::AdmitRequest() {
  const serving::AccessDecision decision = serving::CheckAccess(
      routed_.configuration.get(), context_.view.freshness(),
      {.id = routed_.metadata.id,
       .host = dataplane::FindHeader(request_.headers, "host"),
       .path = request_.path(),
       .key = routed_.metadata.key},
      context_.max_configuration_age, BootNow());
  routed_.route = decision.route;
  routed_.workspace = decision.workspace;
  switch (decision.verdict) {
    case AccessVerdict::kStarting:
      Refuse(Outcome::kRefused, kStartupRetryAfter);
      return false;
    case AccessVerdict::kStale:
      Refuse(Outcome::kRefusedStale, kStaleRetryAfter);
      return false;
    case AccessVerdict::kBadRequest:
      Fail(Outcome::kDenied, kBadRequest);
      return false;
    case AccessVerdict::kUnknownRoute:
      Fail(Outcome::kDenied, kNotFound);
      return false;
    case AccessVerdict::kUnknownKey:
      Fail(Outcome::kDenied, kUnauthorized);
      return false;
    case AccessVerdict::kAllowed:
      break;
  }
  if (request_.lacks_body) {
    Refuse(Outcome::kRefused, kBusyRetryAfter);
    return false;
  }
  if (routed_.workspace != nullptr) session_->OnValidKey();
  return !context_.stop || AdmitDuringStop();
}

bool Exchange::AdmitSuspects() {
  const serving::PoisonVerdict verdict =
      context_.poison.Admit(suspects_, arrived_at_);
  if (verdict.is_held_back || verdict.is_trial) LogVerdict(verdict);
  if (!verdict.is_held_back) return true;
  RefuseAfter(Outcome::kPoisoned,
              std::max<Duration>(verdict.next_trial, kMinHeldBackRetryAfter));
  return false;
}

// Repeats within this exchange are not charged again: a request is counted once
// however often it is sent.
bool Exchange::AdmitWithinQuota() {
  const serving::Workspace* workspace = routed_.workspace;
  if (workspace == nullptr || !workspace->quota) return true;
  const int64_t cost = workspace->quota->Cost(routed_.metadata.prompt);
  const serving::QuotaLedger::Decision decision =
      context_.quotas.Charge(workspace->name, cost, BootNow());
  if (decision.has_changed) {
    LogEvent(decision.is_admitted ? EventId::kQuotaLimitEnded
                                  : EventId::kQuotaLimitBegun,
             {{"request", routed_.metadata.id},
              {"workspace", workspace->name},
              {"cost", std::to_string(cost)},
              {"rate_per_s", std::to_string(workspace->quota->rate_per_s)},
              {"share", std::to_string(context_.quotas.share())}});
  }
  if (decision.is_admitted) {
    quota_cost_ = cost;
    return true;
  }
  context_.metrics.Count("dogwoodlatch_quota_refused_total",
                         context_.quota_labels.Label(workspace->name));
  // Never less than the time after which the request fits, as an earlier return
  // would be refused again.
  std::uniform_real_distribution<double> spread(1.0, 1.3);
  RefuseAfter(Outcome::kOverQuota,
              decision.retry_after * spread(context_.random), kTooManyRequests);
  return false;
}

bool Exchange::AdmitDuringStop() {
  const bool is_other_serving = context_.peer_stops.IsAnyServing(arrived_at_);
  if (context_.stop->Accepts({.kind = routed_.route->kind,
                              .time_limit = TimeAllowed(),
                              .is_other_serving = is_other_serving},
                             arrived_at_)) {
    return true;
  }
  Refuse(Outcome::kRefused,
         is_other_serving ? kStoppingRetryAfter : kRestartRetryAfter);
  return false;
}

milliseconds Exchange::TimeAllowed() const {
  return std::min(routed_.route->timeout,
                  routed_.metadata.time_left.value_or(routed_.route->timeout));
}

void Exchange::StartDeadline() {
  const milliseconds allowed = TimeAllowed();
  response_deadline_ = arrived_at_ + allowed;
  deadline_timer_.expires_after(allowed);
  deadline_timer_.async_wait(
      [self = shared_from_this()](std::error_code error) {
        if (!error) self->OnDeadline();
      });
}

milliseconds Exchange::TimeLeft() const {
  return std::chrono::duration_cast<milliseconds>(response_deadline_ -
                                                  SteadyNow());
}

std::optional<serving::Placement> Exchange::Place(
    const serving::TargetHistory& history, TimePoint now) const {
  return PlaceRequest(
      routed_,
      {.view = context_.view,
       .policy = context_.placement,
       .saved_parts = context_.saved_parts,
       .answered_tokens = static_cast<uint32_t>(splitter_.events()),
       .mix = &context_.mixes[routed_.service]},
      history, now);
}

void Exchange::TryTarget(std::optional<RetryPurpose> purpose) {
  if (TimeLeft() < serving::MinTimeToSend()) {
    OnDeadline();
    return;
  }
  std::optional<serving::Placement> placement =
      Place(PresentHistory(), SteadyNow());
  if (!placement) {
    EndWithoutResponse();
    return;
  }
  const bool is_first_attempt =
      progress_.sends == 0 && progress_.connect_failures == 0;
  if (is_first_attempt) {
    RecordInMix(routed_, *placement, context_.mixes[routed_.service],
                SteadyNow());
  }
  if (!AdmitPlacement(*placement)) return;
  if (purpose && !WithdrawRetry(*purpose)) {
    EndWithoutResponse();
    return;
  }
  attempt_ = std::make_shared<TargetAttempt>(
      context_.io, context_.pool, context_.response_budget, *this,
      *std::move(placement),
      AttemptRequest{.id = routed_.metadata.id,
                     .is_stream = routed_.route->kind == RouteKind::kStream,
                     .max_silence = MaxSilence(SteadyNow())});
  const Duration max_idle = serving::MaxIdleTime(*routed_.route);
  if (!attempt_->Connect(max_idle)) OnConnectFailed(*attempt_, "no address");
}

// Only a request that cannot have run is refused.
bool Exchange::AdmitPlacement(const serving::Placement& placement) {
  const bool may_have_run =
      progress_.runs > 0 || silent_ || failed_ || progress_.stream_started;
  if (may_have_run) return true;
  // Placement prefers every target that has not just refused a request. One
  // that has refused a single request may be free again.
  const bool nothing_is_free =
      progress_.sends > 0 &&
      placement.target->signals.KeepsRefusing(SteadyNow());
  if (nothing_is_free) {
    context_.metrics.Count("dogwoodlatch_overload_refusals_total",
                           "reason=\"targets_refuse\",priority=\"" +
                               std::to_string(RequestPriority(routed_)) + "\"");
    RefuseForLackOfTargets();
    return false;
  }
  std::optional<serving::OverloadRequest> request =
      MakeOverloadRequest(routed_, placement, TimeLeft());
  if (!request) return true;
  request->is_repeat = was_admitted_;
  request->draw =
      std::uniform_real_distribution<double>(0.0, 1.0)(context_.random);
  const serving::OverloadDecision decision =
      context_.overload.Decide(*request, SteadyNow());
  if (decision.sends()) {
    was_admitted_ = true;
    return true;
  }
  const std::string reason(serving::ToString(decision.reason));
  const std::string priority = std::to_string(request->priority);
  context_.metrics.Count(
      "dogwoodlatch_overload_refusals_total",
      "reason=\"" + reason + "\",priority=\"" + priority + "\"");
  LogEvent(
      EventId::kRequestTooLate,
      {{"request", routed_.metadata.id},
       {"target", placement.target->record.id},
       {"reason", reason},
       {"priority", priority},
       {"workspace", std::string(request->workspace)},
       {"repeat", request->is_repeat ? "yes" : "no"},
       {"backlog_ms", FormatMilliseconds(request->wait)},
       {"max_wait_ms",
        decision.max_wait ? FormatMilliseconds(*decision.max_wait) : "none"},
       {"prefill_ms", FormatMilliseconds(request->prefill)},
       {"objective_ms", FormatMilliseconds(request->objective)},
       {"left_ms", FormatMilliseconds(request->time_left)},
       {"share_used_percent",
        std::to_string(std::lround(decision.share_used * kPercent))},
       {"retry_after_ms", FormatMilliseconds(decision.retry_after)}});
  RefuseAfter(Outcome::kRefused, decision.retry_after);
  return false;
}

void Exchange::OnConnectFailed(TargetAttempt& attempt,
                               const std::string& reason) {
  LogEvent(EventId::kTargetAvoided, {{"request", routed_.metadata.id},
                                     {"target", attempt.target_id()},
                                     {"reason", reason}});
  AbandonAttempt();
  ++progress_.connect_failures;
  if (serving::MayConnectAgain(progress_)) {
    TryTarget();
  } else {
    EndWithoutResponse();
  }
}

void Exchange::OnConnected(TargetAttempt& attempt) {
  if (attempt.is_on_new_connection()) {
    context_.metrics.Count("dogwoodlatch_connections_opened_total");
  }
  if (TimeLeft() < serving::MinTimeToSend()) {
    OnDeadline();
    return;
  }
  // While the connection was made, the target may have begun to leave, asked
  // for a pause or fallen silent, or a workspace may have become isolated.
  const serving::Target& target = attempt.target();
  if (target.IsLeaving() ||
      target.signals.PushbackLeft(SteadyNow()) > Duration{0} ||
      target.signals.vm().IsSilent(SteadyNow()) ||
      !IsCacheGroupCurrent(routed_, context_.view, attempt.placement())) {
    AbandonAttempt();
    TryTarget();
    return;
  }
  const std::vector<uint64_t> shared_parts = serving::SharedPartKeys(
      routed_.metadata.prompt, attempt.placement().cache_group);
  const bool saves =
      ShouldSave(routed_, shared_parts, context_.saved_parts, SteadyNow());
  platform::ForwardingMetadata forwarding =
      MakeForwardingMetadata(routed_, attempt.placement(), saves);
  forwarding.time_left = TimeLeft();
  forwarding.last_event_id = splitter_.last_id();
  const dataplane::HeaderList headers =
      platform::ForwardHeaders(request_.headers, forwarding);
  RecordSend(shared_parts);
  attempt.Send(dataplane::BuildRequestHead(request_.method, request_.target,
                                           headers, body_->size()),
               body_);
  if (silent_) StartHandoverTimer();
}

void Exchange::RecordSend(const std::vector<uint64_t>& shared_parts) {
  const TimePoint now = SteadyNow();
  if (progress_.sends == 0) {
    context_.retry_windows.try_emplace(routed_.service, context_.retry_limits)
        .first->second.OnFirstAttempt(now);
  }
  ++progress_.sends;
  if (!shared_parts.empty() && attempt_->placement().fetches_from_store) {
    context_.saved_parts.OnFetch(shared_parts.back());
  }
  for (const uint64_t part : shared_parts) {
    attempt_->target().signals.OnPartUsed(part, now);
    context_.sent_parts[attempt_->target_id()].push_back(part);
  }
  const serving::Placement& placement = attempt_->placement();
  const auto age = context_.view.freshness().Age(BootNow());
  LogEvent(EventId::kAttemptSent,
           {{"request", routed_.metadata.id},
            {"route", routed_.route->name},
            {"target", attempt_->target_id()},
            {"send", std::to_string(progress_.sends)},
            {"estimate_ms", FormatMilliseconds(placement.estimate)},
            {"missing_tokens", std::to_string(placement.missing_tokens)},
            {"weights", std::to_string(placement.weights)},
            {"cache_group", placement.cache_group},
            {"fetch_from", placement.fetch_from},
            {"weighed", std::to_string(placement.usable)},
            {"configuration", std::to_string(routed_.configuration->version())},
            {"age_ms", age ? FormatMilliseconds(*age) : "none"},
            {"left_ms", std::to_string(TimeLeft().count())}});
}

void Exchange::DeliverResponse() {
  const dataplane::ResponseHead& head = attempt_->head();
  session_->SendResponse(head.status, platform::ReturnHeaders(head.headers),
                         attempt_->body());
  Finish(head.status < kBadRequest ? Outcome::kServed : Outcome::kTargetFailed,
         head.status);
}

bool Exchange::DeliverFailedAnswer() {
  if (!failed_ || progress_.stream_started) return false;
  WithdrawAttempt(attempt_);
  attempt_ = std::move(failed_);
  DeliverResponse();
  return true;
}

void Exchange::EndWithoutResponse() {
  if (silent_) {
    ReturnToSilent();
    return;
  }
  if (DeliverFailedAnswer()) return;
  switch (serving::DetermineFinalOutcome(progress_)) {
    case serving::FinalOutcome::kRefuse:
      RefuseForLackOfTargets();
      return;
    case serving::FinalOutcome::kFail:
      Fail(Outcome::kUnknown, kBadGateway);
      return;
    case serving::FinalOutcome::kAbort:
      session_->Abort();
      Finish(Outcome::kStreamBroken, 0);
      return;
  }
}

// When all targets have asked for a pause, Retry-After is the shortest one or a
// little longer, never less.
void Exchange::RefuseForLackOfTargets() {
  const TimePoint now = SteadyNow();
  const auto pause = serving::RetryAfterPushback(
      context_.view.fleet().Serving(routed_.service, now), now);
  if (!pause) {
    Refuse(Outcome::kRefused, kBusyRetryAfter);
    return;
  }
  std::uniform_real_distribution<double> spread(1.0, 1.3);
  RefuseAfter(Outcome::kRefused, *pause * spread(context_.random));
}

// The delay is randomised, so that callers refused at the same time do not
// retry at the same time.
void Exchange::Refuse(Outcome outcome, milliseconds retry_after) {
  std::uniform_real_distribution<double> spread(0.7, 1.3);
  RefuseAfter(outcome, retry_after * spread(context_.random));
}

void Exchange::RefuseAfter(Outcome outcome, std::chrono::duration<double> delay,
                           int status) {
  session_->SendResponse(status,
                         {{"Retry-After", std::to_string(delay.count())}}, "");
  RefundQuota();
  Finish(outcome, status);
}

void Exchange::RefundQuota() {
  if (quota_cost_ == 0) return;
  context_.quotas.Refund(routed_.workspace->name,
                         std::exchange(quota_cost_, 0));
}

void Exchange::Fail(Outcome outcome, int status) {
  session_->SendResponse(status, {}, "");
  Finish(outcome, status);
}

void Exchange::OnDeadline() {
  if (is_finished_) return;
  if (progress_.stream_started) {
    session_->Abort();
    Finish(Outcome::kTimedOut, 0);
    return;
  }
  if (DeliverFailedAnswer()) return;
  Fail(Outcome::kTimedOut, kGatewayTimeout);
}

void Exchange::EndUnanswered() {
  if (is_finished_ || progress_.stream_started) return;
  if (DeliverFailedAnswer()) return;
  if (progress_.sends == 0) {
    Refuse(Outcome::kRefused, kStoppingRetryAfter);
  } else {
    Fail(Outcome::kUnknown, kBadGateway);
  }
}

void Exchange::EndNow() {
  EndUnanswered();
  if (is_finished_) return;
  session_->Abort();
  Finish(Outcome::kStreamBroken, 0);
}

void Exchange::OnCallerGone() { Finish(Outcome::kCallerGone, 0); }

void Exchange::Finish(Outcome outcome, int status) {
  if (std::exchange(is_finished_, true)) return;
  WithdrawAttempt(attempt_);
  WithdrawAttempt(silent_);
  ReleaseRetry();
  if (progress_.sends == 0) RefundQuota();
  deadline_timer_.cancel();
  handover_timer_.cancel();
  const Duration took = SteadyNow() - arrived_at_;
  const std::string label = "outcome=\"" + std::string(ToString(outcome)) +
                            "\",service=\"" + routed_.service + "\"";
  context_.metrics.Count("dogwoodlatch_requests_total", label);
  context_.metrics.Observe("dogwoodlatch_request_ms", label, took);
  LogEvent(
      EventId::kRequestEnded,
      {{"request", routed_.metadata.id},
       {"route", routed_.route != nullptr ? routed_.route->name : "none"},
       {"outcome", std::string(ToString(outcome))},
       {"status", std::to_string(status)},
       {"sends", std::to_string(progress_.sends)},
       {"events", std::to_string(splitter_.events())},
       {"first_event_ms",
        first_event_at_ ? FormatMilliseconds(*first_event_at_ - arrived_at_)
                        : "none"},
       {"took_ms", FormatMilliseconds(took)}});
  session_->SetDisconnectHandler(nullptr);
  session_.reset();
}

}  // namespace dogwoodlatch::daemon
