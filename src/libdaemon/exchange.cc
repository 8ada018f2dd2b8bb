#include "dogwoodlatch/daemon/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/serving/door_check.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using serving::DoorVerdict;
using serving::RouteKind;
using std::chrono::milliseconds;

constexpr milliseconds kStartingDelay{400};  // until a configuration is known
constexpr milliseconds kStaleDelay{800};     // until the store may be back
constexpr milliseconds kStoppingDelay{50};   // other routers take it
constexpr milliseconds kBusyDelay{300};      // until a loading target is back

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kServerFailure = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

Exchange::Exchange(ExchangeContext& context,
                   dataplane::DoorSession::Pointer session,
                   dataplane::Request request)
    : context_(context),
      session_(std::move(session)),
      request_(std::move(request)),
      routed_{.facts = platform::DecodeRequest(request_.headers),
              .configuration = context.view.configuration()},
      arrived_(SteadyNow()),
      answer_by_(arrived_),
      deadline_timer_(context.io) {
  ++context_.in_progress;
}

Exchange::~Exchange() { --context_.in_progress; }

void Exchange::Start() {
  session_->NotifyGone([self = shared_from_this()] { self->OnCallerGone(); });
  if (!PassDoor()) return;
  fingerprint_ = serving::RequestFingerprint(
      request_.target,
      routed_.workspace ? routed_.workspace->name : std::string(),
      request_.body);
  if (context_.poison.IsBlocked(fingerprint_, arrived_)) {
    Fail(Outcome::kPoisoned, kBadGateway);
    return;
  }
  body_ = std::make_shared<const std::string>(std::move(request_.body));
  routed_.service = serving::Configuration::PickService(
      *routed_.route,
      XXH64(routed_.facts.id.data(), routed_.facts.id.size(), 0));
  StartDeadline();
  TryTarget();
}

bool Exchange::PassDoor() {
  const serving::DoorDecision decision = serving::CheckAtDoor(
      routed_.configuration.get(), context_.view.freshness(),
      {.id = routed_.facts.id,
       .host = dataplane::FindHeader(request_.headers, "host"),
       .path = request_.path(),
       .key = routed_.facts.key},
      context_.configuration_bound, BootNow());
  routed_.route = decision.route;
  routed_.workspace = decision.workspace;
  switch (decision.verdict) {
    case DoorVerdict::kStarting:
      Refuse(Outcome::kRefused, kStartingDelay);
      return false;
    case DoorVerdict::kStale:
      Refuse(Outcome::kRefusedStale, kStaleDelay);
      return false;
    case DoorVerdict::kBadRequest:
      Fail(Outcome::kDenied, kBadRequest);
      return false;
    case DoorVerdict::kUnknownRoute:
      Fail(Outcome::kDenied, kNotFound);
      return false;
    case DoorVerdict::kUnknownKey:
      Fail(Outcome::kDenied, kUnauthorized);
      return false;
    case DoorVerdict::kAllowed:
      break;
  }
  if (context_.stop && !context_.stop->Accepts(*routed_.route, arrived_)) {
    Refuse(Outcome::kRefused, kStoppingDelay);
    return false;
  }
  return true;
}

void Exchange::StartDeadline() {
  milliseconds allowed = routed_.route->timeout;
  if (routed_.facts.time_left) {
    allowed = std::min(allowed, *routed_.facts.time_left);
  }
  answer_by_ = arrived_ + allowed;
  deadline_timer_.expires_after(allowed);
  deadline_timer_.async_wait(
      [self = shared_from_this()](std::error_code error) {
        if (!error) self->OnDeadline();
      });
}

milliseconds Exchange::TimeLeft() const {
  return std::chrono::duration_cast<milliseconds>(answer_by_ - SteadyNow());
}

std::optional<serving::Placement> Exchange::Place(
    std::span<const std::string> left_out, TimePoint now) const {
  return PlaceRequest(routed_,
                      {.view = context_.view,
                       .policy = context_.placement,
                       .saved_parts = context_.saved_parts},
                      left_out, now);
}

void Exchange::TryTarget() {
  if (TimeLeft() < serving::LeastTimeToSend()) {
    OnDeadline();
    return;
  }
  std::optional<serving::Placement> placement = Place(tried_, SteadyNow());
  if (!placement) {
    GiveUp();
    return;
  }
  const std::string target_id = placement->target->record.id;
  // What has begun is worth finishing.
  const bool is_fresh = progress_.sends == 0 && progress_.connect_failures == 0;
  const auto again = is_fresh ? RefuseAsTooLate(routed_, *placement, TimeLeft())
                              : std::nullopt;
  if (again) {
    LogEvent(
        EventId::kRequestTooLate,
        {{"request", routed_.facts.id},
         {"target", target_id},
         {"backlog_ms", FormatMilliseconds(placement->backlog)},
         {"prefill_ms", FormatMilliseconds(placement->prefill)},
         {"objective_ms", std::to_string(routed_.route->objective.count())}});
    Refuse(Outcome::kRefused, std::chrono::duration_cast<milliseconds>(*again));
    return;
  }
  attempt_ = std::make_shared<TargetAttempt>(
      context_.io, context_.pool, *this, *std::move(placement),
      AttemptRequest{.id = routed_.facts.id,
                     .is_stream = routed_.route->kind == RouteKind::kStream,
                     .patience = serving::PatienceOf(*routed_.route)});
  const Duration longest_idle = serving::LongestIdleFor(*routed_.route);
  if (!attempt_->Connect(longest_idle)) OnNoConnection("no address");
}

void Exchange::OnNoConnection(const std::string& reason) {
  LogEvent(EventId::kTargetAvoided, {{"request", routed_.facts.id},
                                     {"target", attempt_->target_id()},
                                     {"reason", reason}});
  LeaveAttempt();
  ++progress_.connect_failures;
  if (serving::MayConnectAgain(progress_)) {
    TryTarget();
  } else {
    GiveUp();
  }
}

void Exchange::OnConnected() {
  if (attempt_->is_on_new_connection()) {
    context_.metrics.Count("dogwoodlatch_connections_opened_total");
  }
  if (TimeLeft() < serving::LeastTimeToSend()) {
    OnDeadline();
    return;
  }
  // The target may have left the list while the connection was made.
  if (attempt_->target().record.draining) {
    LeaveAttempt();
    TryTarget();
    return;
  }
  const std::vector<uint64_t> shared_parts = serving::SharedPartKeys(
      routed_.facts.prompt, attempt_->placement().cache_group);
  const bool saves =
      ShouldSave(routed_, shared_parts, context_.saved_parts, SteadyNow());
  platform::ForwardingFacts forwarding =
      MakeForwarding(routed_, attempt_->placement(), saves);
  forwarding.time_left = TimeLeft();
  forwarding.last_event_id = cutter_.last_id();
  const dataplane::HeaderList headers =
      platform::ForwardHeaders(request_.headers, forwarding);
  NoteSend(shared_parts);
  attempt_->Send(dataplane::RequestHead(request_.method, request_.target,
                                        headers, body_->size()),
                 body_);
}

void Exchange::NoteSend(const std::vector<uint64_t>& shared_parts) {
  const TimePoint now = SteadyNow();
  auto& budget =
      context_.retry_budgets.try_emplace(routed_.service, context_.retry_limits)
          .first->second;
  if (progress_.sends == 0) budget.OnFirstAttempt(now);
  ++progress_.sends;
  if (!shared_parts.empty() && attempt_->placement().fetches_kept) {
    context_.saved_parts.OnFetch(shared_parts.back());
  }
  for (const uint64_t part : shared_parts) {
    attempt_->target().signals.OnPartUsed(part, now);
    context_.parts_sent[attempt_->target_id()].push_back(part);
  }
  const serving::Placement& placement = attempt_->placement();
  const auto age = context_.view.freshness().Age(BootNow());
  LogEvent(EventId::kAttemptSent,
           {{"request", routed_.facts.id},
            {"route", routed_.route->name},
            {"target", attempt_->target_id()},
            {"send", std::to_string(progress_.sends)},
            {"estimate_ms", FormatMilliseconds(placement.estimate)},
            {"missing_tokens", std::to_string(placement.missing_tokens)},
            {"weights", std::to_string(placement.weights)},
            {"fetch_from", placement.fetch_from},
            {"weighed", std::to_string(placement.usable)},
            {"configuration", std::to_string(routed_.configuration->version())},
            {"age_ms", age ? FormatMilliseconds(*age) : "none"},
            {"left_ms", std::to_string(TimeLeft().count())}});
}

void Exchange::OnStreamBytes(std::string_view bytes) {
  RelayEvents(cutter_.Feed(bytes));
}

void Exchange::RelayEvents(std::string_view events) {
  if (events.empty()) return;
  attempt_->NoteFirstEvent();
  if (!first_event_at_) {
    first_event_at_ = SteadyNow();
    context_.metrics.Observe("dogwoodlatch_first_event_ms",
                             "service=\"" + routed_.service + "\"",
                             *first_event_at_ - arrived_);
  }
  if (!cutter_.in_sequence()) {
    OnAnswerLost("events out of sequence");
    return;
  }
  if (!std::exchange(progress_.stream_started, true)) {
    session_->StartStream(attempt_->head().status,
                          platform::ReturnHeaders(attempt_->head().headers));
  }
  session_->SendPiece(events);
  if (is_finished_ || !session_->IsCongested()) return;
  attempt_->PauseReading();
  session_->NotifyDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->attempt_) self->attempt_->ResumeReading();
  });
}

void Exchange::OnStreamEnd() {
  if (cutter_.has_partial()) {
    context_.pool.Drop(attempt_->target_id());
    OnAnswerLost("ended inside an event");
    return;
  }
  attempt_->target().signals.OnOutcome(false);
  context_.poison.OnAnswered(fingerprint_);
  const int status = attempt_->head().status;
  if (!progress_.stream_started) {
    session_->StartStream(status,
                          platform::ReturnHeaders(attempt_->head().headers));
  }
  session_->EndStream();
  Finish(Outcome::kServed, status);
}

void Exchange::OnAnswer() {
  const int status = attempt_->head().status;
  const serving::AnswerVerdict verdict =
      serving::Judge({.status = status,
                      .is_sealed = attempt_->answer().is_sealed,
                      .not_run = attempt_->answer().not_run});
  switch (verdict) {
    case serving::AnswerVerdict::kNotRun:
      OnNotRun();
      return;
    case serving::AnswerVerdict::kUnusable:
      attempt_->target().signals.OnOutcome(true);
      OnAnswerLost("status " + std::to_string(status) + " without proof");
      return;
    case serving::AnswerVerdict::kGood:
      attempt_->target().signals.OnOutcome(false);
      context_.poison.OnAnswered(fingerprint_);
      Deliver();
      return;
    case serving::AnswerVerdict::kFailure:
      break;
  }
  attempt_->target().signals.OnOutcome(true);
  if (progress_.stream_started) {
    OnAnswerLost("failure instead of a resumed stream");
    return;
  }
  ++progress_.runs;
  if (status >= kServerFailure && MayRunAgain() && TakeRetry()) {
    LeaveAttempt();
    TryTarget();
    return;
  }
  Deliver();
}

void Exchange::Deliver() {
  const dataplane::AnswerHead& head = attempt_->head();
  session_->Answer(head.status, platform::ReturnHeaders(head.headers),
                   attempt_->body());
  Finish(head.status < kBadRequest ? Outcome::kServed : Outcome::kTargetFailed,
         head.status);
}

// The target has proved that it did not run the request.
void Exchange::OnNotRun() {
  const platform::AnswerFacts& answer = attempt_->answer();
  serving::Target& target = attempt_->target();
  const TimePoint now = SteadyNow();
  const bool is_misdirected = attempt_->head().status == kMisdirected;
  if (is_misdirected && answer.instance != target.record.id) {
    target.signals.OnReplaced(now);
    context_.pool.Drop(target.record.id);
  } else {
    if (is_misdirected) {
      target.RaiseWeights({{routed_.facts.prompt.model, answer.weights}});
    }
    target.signals.OnRefused(now);
  }
  LogEvent(EventId::kAttemptRefused,
           {{"request", routed_.facts.id},
            {"target", target.record.id},
            {"status", std::to_string(attempt_->head().status)},
            {"instance", answer.instance},
            {"weights", std::to_string(answer.weights)},
            {"after_ms", FormatMilliseconds(now - attempt_->sent_at())}});
  LeaveAttempt();
  if (serving::MaySendAgain(progress_, TimeLeft()) && TakeRetry()) {
    TryTarget();
  } else {
    GiveUp();
  }
}

void Exchange::OnLost() {
  attempt_->target().signals.OnOutcome(true);
  context_.poison.OnBroken(
      {.request = fingerprint_,
       .target = serving::IncarnationKey(attempt_->target().record)},
      SteadyNow());
  OnAnswerLost("connection broke");
}

// A request that another target can take is better off there. The others stay,
// as the answer may still come.
void Exchange::OnSilent() {
  const TimePoint now = SteadyNow();
  serving::TargetSignals& signals = attempt_->target().signals;
  if (signals.Silence(now) >= serving::kLongestPatience) {
    signals.OnUnreachable(now);
  }
  const bool may_leave =
      serving::MayLeaveSilent(*routed_.route, progress_, TimeLeft()) &&
      !context_.poison.IsBlocked(fingerprint_, now) && HasOtherTarget(now);
  if (may_leave && TakeRetry()) {
    NoteLostRun("silent");
    TryTarget();
  }
}

bool Exchange::HasOtherTarget(TimePoint now) const {
  std::vector<std::string> left_out = tried_;
  left_out.push_back(attempt_->target_id());
  return Place(left_out, now).has_value();
}

// The request was sent and its answer is lost or unusable: it may have run.
void Exchange::OnAnswerLost(std::string_view why) {
  NoteLostRun(why);
  if (cutter_.in_sequence() && MayRunAgain() && TakeRetry()) {
    TryTarget();
  } else {
    GiveUp();
  }
}

void Exchange::NoteLostRun(std::string_view why) {
  ++progress_.runs;
  cutter_.DropPartial();
  LogEvent(EventId::kAttemptLost,
           {{"request", routed_.facts.id},
            {"target", attempt_->target_id()},
            {"why", std::string(why)},
            {"after_ms", FormatMilliseconds(SteadyNow() - attempt_->sent_at())},
            {"events", std::to_string(cutter_.events())}});
  LeaveAttempt();
}

void Exchange::LeaveAttempt() {
  tried_.push_back(attempt_->target_id());
  attempt_->Cancel();
  attempt_.reset();
}

bool Exchange::MayRunAgain() const {
  return serving::MayRunAgain(*routed_.route, progress_, TimeLeft()) &&
         !context_.poison.IsBlocked(fingerprint_, SteadyNow());
}

bool Exchange::TakeRetry() {
  const auto budget = context_.retry_budgets.find(routed_.service);
  const bool granted = budget != context_.retry_budgets.end() &&
                       budget->second.Withdraw(SteadyNow());
  context_.metrics.Count(granted ? "dogwoodlatch_retries_total"
                                 : "dogwoodlatch_retries_denied_total");
  return granted;
}

void Exchange::GiveUp() {
  switch (serving::LastWordFor(progress_)) {
    case serving::LastWord::kRefuse:
      Refuse(Outcome::kRefused, kBusyDelay);
      return;
    case serving::LastWord::kFail:
      Fail(Outcome::kUnknown, kBadGateway);
      return;
    case serving::LastWord::kBreakOff:
      session_->BreakOff();
      Finish(Outcome::kStreamBroken, 0);
      return;
  }
}

// Delays are spread, so that callers refused together don't return together.
void Exchange::Refuse(Outcome outcome, milliseconds again) {
  std::uniform_real_distribution<double> spread(0.7, 1.3);
  const std::chrono::duration<double> delay = again * spread(context_.random);
  session_->Answer(kServiceUnavailable,
                   {{"Retry-After", std::to_string(delay.count())}}, "");
  Finish(outcome, kServiceUnavailable);
}

void Exchange::Fail(Outcome outcome, int status) {
  session_->Answer(status, {}, "");
  Finish(outcome, status);
}

void Exchange::OnDeadline() {
  if (is_finished_) return;
  if (progress_.stream_started) {
    session_->BreakOff();
    Finish(Outcome::kTimedOut, 0);
    return;
  }
  Fail(Outcome::kTimedOut, kGatewayTimeout);
}

void Exchange::OnCallerGone() { Finish(Outcome::kCallerGone, 0); }

void Exchange::Finish(Outcome outcome, int status) {
  if (std::exchange(is_finished_, true)) return;
  if (attempt_) attempt_->Cancel();
  attempt_.reset();
  deadline_timer_.cancel();
  const Duration took = SteadyNow() - arrived_;
  const std::string label = "outcome=\"" + std::string(ToString(outcome)) +
                            "\",service=\"" + routed_.service + "\"";
  context_.metrics.Count("dogwoodlatch_requests_total", label);
  context_.metrics.Observe("dogwoodlatch_request_ms", label, took);
  LogEvent(EventId::kRequestEnded,
           {{"request", routed_.facts.id},
            {"route", routed_.route != nullptr ? routed_.route->name : "none"},
            {"outcome", std::string(ToString(outcome))},
            {"status", std::to_string(status)},
            {"sends", std::to_string(progress_.sends)},
            {"events", std::to_string(cutter_.events())},
            {"first_event_ms",
             first_event_at_ ? FormatMilliseconds(*first_event_at_ - arrived_)
                             : "none"},
            {"took_ms", FormatMilliseconds(took)}});
  session_->NotifyGone(nullptr);
  session_.reset();
}

}  // namespace dogwoodlatch::daemon
