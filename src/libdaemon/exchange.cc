#include "dogwoodlatch/daemon/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/serving/admission.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using dataplane::AnswerHead;
using dataplane::HeaderList;
using dataplane::UpstreamConnection;
using serving::RouteKind;
using std::chrono::milliseconds;

// A new connection is made within a few milliseconds; a target that drops the
// opening packet answers only after seconds.
constexpr milliseconds kConnectTimeout{250};
constexpr int kMaxConnectFailures = 4;

// Sends that a target may refuse before the caller is told to come back.
constexpr int kMaxSends = 3;

// Not sent when less is left: crossing to a target and back takes 4 ms.
constexpr milliseconds kLeastTimeLeft{6};

// A kept connection that was idle for longer may be closed at the other end,
// which a request that must not be repeated would not survive.
constexpr Duration kLongestIdleOnce = std::chrono::seconds(2);
constexpr Duration kLongestIdleRepeatable = std::chrono::seconds(60);

// A target that says nothing for so long is given up by requests that may be
// repeated: for plain requests a multiple of their objective, for streams the
// time in which callers would leave, less the time of a second attempt.
constexpr int kPlainPatience = 2;
constexpr milliseconds kLeastPlainPatience{150};
constexpr milliseconds kStreamPatience{900};

// Weights are overdue from here on: their answers earn less.
constexpr Duration kWeightsGrace = milliseconds(1500);

constexpr milliseconds kStartingDelay{400};  // until a configuration is known
constexpr milliseconds kStaleDelay{800};     // until the store may be back
constexpr milliseconds kStoppingDelay{50};   // other routers take it
constexpr milliseconds kBusyDelay{300};      // until a loading target is back

constexpr int kFirstFailureStatus = 400;
constexpr int kServiceUnavailable = 503;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that promise to callers that the request has not run.
bool PromisesNotRun(int status) {
  static constexpr std::array kPromises = {408, 421, 429, 503};
  return std::ranges::find(kPromises, status) != kPromises.end();
}

uint64_t Fingerprint(std::string_view path, std::string_view workspace,
                     std::string_view body) {
  uint64_t hash = XXH64(path.data(), path.size(), 0);
  hash = XXH64(workspace.data(), workspace.size(), hash);
  return XXH64(body.data(), body.size(), hash);
}

std::string Millis(Duration duration) {
  return std::to_string(duration.count() / 1000);
}

}  // namespace

std::string_view ToString(Outcome outcome) {
  static constexpr std::array<std::string_view, 10> kNames = {
      "served",  "target_failed", "refused",       "refused_stale", "denied",
      "unknown", "timed_out",     "stream_broken", "caller_gone",   "poisoned"};
  return kNames.at(static_cast<size_t>(outcome));
}

Exchange::Exchange(ExchangeContext& context,
                   dataplane::DoorSession::Pointer session,
                   dataplane::Request request)
    : context_(context),
      session_(std::move(session)),
      request_(std::move(request)),
      facts_(platform::DecodeRequest(request_.headers)),
      configuration_(context.view.configuration()),
      arrived_(SteadyNow()),
      answer_by_(arrived_),
      deadline_timer_(context.io),
      attempt_timer_(context.io) {
  ++context_.in_progress;
}

Exchange::~Exchange() { --context_.in_progress; }

void Exchange::Start() {
  session_->NotifyGone([self = shared_from_this()] { self->OnCallerGone(); });
  if (!FindRoute() || !CheckKey()) return;
  if (context_.stop && !context_.stop->Accepts(*route_, arrived_)) {
    Refuse(Outcome::kRefused, kServiceUnavailable, kStoppingDelay);
    return;
  }
  fingerprint_ =
      Fingerprint(request_.target,
                  workspace_ ? workspace_->name : std::string(), request_.body);
  if (context_.poison.IsBlocked(fingerprint_, arrived_)) {
    Fail(Outcome::kPoisoned, 502);
    return;
  }
  body_ = std::make_shared<const std::string>(std::move(request_.body));
  milliseconds allowed = route_->timeout;
  if (facts_.time_left) allowed = std::min(allowed, *facts_.time_left);
  answer_by_ = arrived_ + allowed;
  deadline_timer_.expires_after(allowed);
  deadline_timer_.async_wait(
      [self = shared_from_this()](std::error_code error) {
        if (!error) self->OnDeadline();
      });
  StartAttempt();
}

bool Exchange::FindRoute() {
  if (!configuration_) {
    Refuse(Outcome::kRefused, kServiceUnavailable, kStartingDelay);
    return false;
  }
  if (facts_.id.empty()) {
    Fail(Outcome::kDenied, 400);
    return false;
  }
  route_ = configuration_->FindRoute(
      dataplane::FindHeader(request_.headers, "host"), request_.path());
  if (route_ != nullptr) return true;
  // A configuration that may be outdated does not prove that there is none.
  const auto age = context_.view.freshness().Age(BootNow());
  if (age && *age <= context_.configuration_bound) {
    Fail(Outcome::kDenied, 404);
  } else {
    Refuse(Outcome::kRefusedStale, kServiceUnavailable, kStaleDelay);
  }
  return false;
}

bool Exchange::CheckKey() {
  const bool needs_key = configuration_->needs_keys() && !route_->is_public;
  if (!needs_key) return true;
  if (!context_.view.freshness().Holds(BootNow())) {
    Refuse(Outcome::kRefusedStale, kServiceUnavailable, kStaleDelay);
    return false;
  }
  workspace_ = configuration_->FindWorkspace(facts_.key);
  if (workspace_ == nullptr) {
    const auto age = context_.view.freshness().Age(BootNow());
    if (facts_.key.empty() || (age && *age <= context_.configuration_bound)) {
      Fail(Outcome::kDenied, 401);
    } else {
      Refuse(Outcome::kRefusedStale, kServiceUnavailable, kStaleDelay);
    }
    return false;
  }
  return true;
}

// Only before the first send: what has begun is worth finishing.
std::optional<Duration> Exchange::IsTooLate() const {
  const bool is_fresh = sends_ == 0 && connect_failures_ == 0;
  if (!is_fresh || placement_.weights == 0) return std::nullopt;
  return serving::RefuseAsTooLate(
      {.objective = route_->objective,
       .time_left = TimeLeft(),
       .backlog = placement_.backlog,
       .prefill = placement_.prefill,
       .is_stream = route_->kind == RouteKind::kStream});
}

milliseconds Exchange::TimeLeft() const {
  return std::chrono::duration_cast<milliseconds>(answer_by_ - SteadyNow());
}

// Spread, so that callers refused together don't return together.
milliseconds Exchange::RetryDelay(milliseconds base) {
  std::uniform_real_distribution<double> spread(0.7, 1.3);
  return std::chrono::duration_cast<milliseconds>(base *
                                                  spread(context_.random));
}

bool Exchange::ChooseTarget() {
  if (service_.empty()) {
    service_ = serving::Configuration::PickService(
        *route_, XXH64(facts_.id.data(), facts_.id.size(), 0));
  }
  const TimePoint now = SteadyNow();
  const bool has_prompt =
      route_->carries_prompt && !facts_.prompt.model.empty();
  serving::PlacementRequest wanted;
  wanted.prompt = has_prompt ? &facts_.prompt : nullptr;
  if (workspace_ != nullptr && workspace_->isolated) {
    wanted.workspace = workspace_->name;
  }
  wanted.tried = tried_;
  if (has_prompt) {
    const auto named = context_.view.weights().find(facts_.prompt.model);
    if (named != context_.view.weights().end()) {
      wanted.newest_weights = named->second.newest();
      wanted.weights_overdue =
          now - named->second.newest_since() > kWeightsGrace;
    }
    wanted.oldest_weights =
        context_.view.OldestWeights(facts_.prompt.model, now);
    wanted.kept_cache = configuration_->KeptCacheFor(context_.failure_domain);
    wanted.saved_parts = &context_.saved_parts;
  }
  const auto serving = context_.view.fleet().Serving(service_, now);
  const auto placement = context_.placement.Choose(serving, wanted, now);
  if (!placement) return false;
  placement_ = *placement;
  target_ = placement_.target;
  return true;
}

void Exchange::StartAttempt() {
  if (TimeLeft() < kLeastTimeLeft) {
    OnDeadline();
    return;
  }
  if (!ChooseTarget()) {
    if (may_have_run_) {
      Fail(Outcome::kUnknown, 502);
    } else {
      Refuse(Outcome::kRefused, kServiceUnavailable, kBusyDelay);
    }
    return;
  }
  if (const auto again = IsTooLate()) {
    LogEvent(EventId::kRequestTooLate,
             {{"request", facts_.id},
              {"target", target_->record.id},
              {"backlog_ms", Millis(placement_.backlog)},
              {"prefill_ms", Millis(placement_.prefill)},
              {"objective_ms", std::to_string(route_->objective.count())}});
    Refuse(Outcome::kRefused, kServiceUnavailable,
           std::chrono::duration_cast<milliseconds>(*again));
    return;
  }
  const Duration longest_idle =
      route_->MayRepeat() ? kLongestIdleRepeatable : kLongestIdleOnce;
  if (auto kept = context_.pool.TakeIdle(target_->record.id, SteadyNow(),
                                         longest_idle)) {
    SendOn(std::move(kept));
    return;
  }
  const auto endpoint = dataplane::ParseEndpoint(target_->record.address);
  if (!endpoint) {
    tried_.push_back(target_->record.id);
    StartAttempt();
    return;
  }
  connection_ = context_.pool.Make();
  context_.metrics.Count("dogwoodlatch_connections_opened_total");
  connection_->Connect(
      *endpoint, kConnectTimeout,
      [self = shared_from_this(), connection = connection_,
       target = target_](std::error_code error) {
        if (self->is_finished_ || self->connection_ != connection) return;
        if (!error) {
          target->signals.OnReachable();
          self->SendOn(connection);
          return;
        }
        target->signals.OnUnreachable(SteadyNow());
        LogEvent(EventId::kTargetAvoided, {{"request", self->facts_.id},
                                           {"target", target->record.id},
                                           {"reason", error.message()}});
        self->connection_.reset();
        self->tried_.push_back(target->record.id);
        if (++self->connect_failures_ >= kMaxConnectFailures) {
          self->Refuse(Outcome::kRefused, kServiceUnavailable, kBusyDelay);
          return;
        }
        self->StartAttempt();
      });
}

void Exchange::SendOn(UpstreamConnection::Pointer connection) {
  const milliseconds left = TimeLeft();
  if (left < kLeastTimeLeft) {
    connection->Cancel();
    OnDeadline();
    return;
  }
  // The target may have left the list while the connection was made.
  if (target_->record.draining) {
    connection->Cancel();
    tried_.push_back(target_->record.id);
    StartAttempt();
    return;
  }
  connection_ = std::move(connection);
  is_first_on_connection_ = !connection_->is_used();
  platform::ForwardingFacts forwarding;
  forwarding.target_id = target_->record.id;
  if (workspace_ != nullptr) forwarding.workspace = workspace_->name;
  forwarding.cache_group = placement_.cache_group;
  forwarding.weights = placement_.weights;
  forwarding.fetch_from = placement_.fetch_from;
  forwarding.time_left = left;
  forwarding.priority = workspace_ != nullptr && workspace_->priority
                            ? *workspace_->priority
                            : route_->priority;
  const TimePoint now = SteadyNow();
  const std::vector<uint64_t> shared_parts =
      serving::SharedPartKeys(facts_.prompt, placement_.cache_group);
  if (!shared_parts.empty() &&
      context_.saved_parts.ShouldSave(
          shared_parts.back(),
          facts_.prompt.input_tokens - facts_.prompt.parts.back().tokens,
          facts_.prompt.parts.back().tokens, now)) {
    forwarding.save_to = configuration_->KeptCacheFor(context_.failure_domain);
  }
  if (cutter_.last_id()) forwarding.last_event_id = cutter_.last_id();
  const HeaderList headers =
      platform::ForwardHeaders(request_.headers, forwarding);

  auto& budget =
      context_.retry_budgets.try_emplace(service_, context_.retry_limits)
          .first->second;
  if (sends_ == 0) budget.OnFirstAttempt(now);
  ++sends_;
  is_sent_ = true;
  has_first_event_ = false;
  has_answer_head_ = false;
  is_event_stream_ = false;
  answer_body_.clear();
  sent_at_ = now;
  target_->signals.OnSent(now, placement_.prefill);
  for (const uint64_t part : shared_parts) {
    target_->signals.OnPartUsed(part, now);
    context_.parts_sent[target_->record.id].push_back(part);
  }
  const auto age = context_.view.freshness().Age(BootNow());
  LogEvent(EventId::kAttemptSent,
           {{"request", facts_.id},
            {"route", route_->name},
            {"target", target_->record.id},
            {"send", std::to_string(sends_)},
            {"estimate_ms", Millis(placement_.estimate)},
            {"missing_tokens", std::to_string(placement_.missing_tokens)},
            {"weights", std::to_string(placement_.weights)},
            {"fetch_from", placement_.fetch_from},
            {"weighed", std::to_string(placement_.usable)},
            {"configuration", std::to_string(configuration_->version())},
            {"age_ms", age ? Millis(*age) : "none"},
            {"left_ms", std::to_string(left.count())}});
  connection_->Send(dataplane::RequestHead(request_.method, request_.target,
                                           headers, body_->size()),
                    body_, this);
  if (route_->MayRepeat()) {
    ArmAttemptTimer(route_->kind == RouteKind::kStream
                        ? kStreamPatience
                        : std::max(kLeastPlainPatience,
                                   kPlainPatience * route_->objective));
  }
}

void Exchange::ArmAttemptTimer(milliseconds wait) {
  attempt_timer_.expires_after(wait);
  attempt_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = weak.lock();
    if (!error && self && !self->is_finished_) self->OnAttemptTimer();
  });
}

// The target may only be slow. Streams wait on while it answers anybody.
void Exchange::OnAttemptTimer() {
  if (!is_sent_) return;
  const bool is_stream = route_->kind == RouteKind::kStream;
  const Duration silence = target_->signals.Silence(SteadyNow());
  const bool is_silent = silence >= kStreamPatience;
  if (is_stream && !is_silent) {
    ArmAttemptTimer(std::chrono::ceil<milliseconds>(kStreamPatience - silence) +
                    milliseconds(1));
    return;
  }
  if (!is_stream && has_answer_head_) return;
  if (is_silent) target_->signals.OnUnreachable(SteadyNow());
  // A request that may be repeated once more is better off elsewhere; the
  // others stay, as the answer may still come.
  if (!MayTryAgain() ||
      context_.view.fleet().Serving(service_, SteadyNow()).size() < 2) {
    return;
  }
  OnAnswerLost("silent");
}

// Ends the attempt's part in the target's signals.
void Exchange::LeaveTarget() {
  attempt_timer_.cancel();
  if (!is_sent_) return;
  is_sent_ = false;
  const TimePoint now = SteadyNow();
  if (!has_first_event_) {
    target_->signals.OnFirstEvent(placement_.prefill);
  }
  target_->signals.OnEnded(now);
}

bool Exchange::OnHead(const AnswerHead& head) {
  target_->signals.OnHeard(SteadyNow());
  const platform::AnswerFacts answer =
      platform::DecodeAnswer(head.status, head.headers);
  const bool is_ours =
      answer.request_id == facts_.id ||
      (answer.request_id.empty() && head.status >= kFirstFailureStatus);
  if (!is_ours) {
    LogEvent(EventId::kAnswerSkipped, {{"request", facts_.id},
                                       {"target", target_->record.id},
                                       {"answers", answer.request_id}});
    return false;
  }
  has_answer_head_ = true;
  head_ = head;
  answer_ = answer;
  // A stray answer without an id could only have come on a used connection.
  if (answer.request_id.empty() && !is_first_on_connection_) {
    answer_.not_run = false;
  }
  is_event_stream_ = route_->kind == RouteKind::kStream &&
                     IsSuccess(head.status) && answer.is_sealed;
  return true;
}

void Exchange::OnBody(std::string_view bytes) {
  target_->signals.OnHeard(SteadyNow());
  if (!is_event_stream_) {
    answer_body_.append(bytes);
    return;
  }
  Relay(cutter_.Feed(bytes));
}

void Exchange::Relay(std::string_view events) {
  if (events.empty()) return;
  if (!has_first_event_) {
    has_first_event_ = true;
    if (!first_event_at_) first_event_at_ = SteadyNow();
    target_->signals.OnFirstEvent(placement_.prefill);
    context_.metrics.Observe("dogwoodlatch_first_event_ms",
                             "service=\"" + service_ + "\"",
                             SteadyNow() - arrived_);
  }
  if (!cutter_.in_sequence()) {
    OnAnswerLost("events out of sequence");
    return;
  }
  if (!stream_started_) {
    stream_started_ = true;
    session_->StartStream(head_.status, platform::ReturnHeaders(head_.headers));
  }
  session_->SendPiece(events);
  if (is_finished_ || !session_->IsCongested()) return;
  connection_->PauseReading();
  session_->NotifyDrained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->connection_) self->connection_->ResumeReading();
  });
}

void Exchange::OnEnd() {
  const UpstreamConnection::Pointer connection = std::move(connection_);
  const std::string target_id = target_->record.id;
  if (is_event_stream_ && cutter_.has_partial()) {
    connection->Cancel();
    OnAnswerLost("ended inside an event");
    return;
  }
  context_.pool.Return(target_id, connection);
  if (is_event_stream_) {
    LeaveTarget();
    target_->signals.OnOutcome(false);
    context_.poison.OnAnswered(fingerprint_);
    if (!stream_started_) {
      session_->StartStream(head_.status,
                            platform::ReturnHeaders(head_.headers));
    }
    session_->EndStream();
    Finish(Outcome::kServed, head_.status);
    return;
  }
  OnWholeAnswer();
}

void Exchange::OnWholeAnswer() {
  LeaveTarget();
  if (answer_.not_run) {
    OnRefusedByTarget();
    return;
  }
  if (IsSuccess(head_.status)) {
    if (!answer_.is_sealed) {
      OnAnswerLost("no seal");
      return;
    }
    target_->signals.OnOutcome(false);
    context_.poison.OnAnswered(fingerprint_);
    PassOn();
    return;
  }
  may_have_run_ = true;
  ++runs_;
  target_->signals.OnOutcome(true);
  if (stream_started_) {
    OnAnswerLost("failure instead of a resumed stream");
    return;
  }
  const bool is_server_failure = head_.status >= 500;
  if (is_server_failure && MayTryAgain() && TakeRetry()) {
    tried_.push_back(target_->record.id);
    StartAttempt();
    return;
  }
  PassOn();
}

void Exchange::PassOn() {
  // A status that promises "not run" would be untrue from a target that does
  // not say so itself.
  const bool is_untrue = PromisesNotRun(head_.status) && !answer_.not_run;
  if (is_untrue || !answer_.is_sealed) {
    Fail(Outcome::kUnknown, 502);
    return;
  }
  session_->Answer(head_.status, platform::ReturnHeaders(head_.headers),
                   answer_body_);
  Finish(IsSuccess(head_.status) ? Outcome::kServed : Outcome::kTargetFailed,
         head_.status);
}

// The target has proved that it did not run the request.
void Exchange::OnRefusedByTarget() {
  const bool has_other_weights =
      head_.status == 421 && answer_.instance == target_->record.id;
  if (has_other_weights) {
    target_->RaiseWeights({{facts_.prompt.model, answer_.weights}});
    target_->signals.OnRefused(SteadyNow());
  } else if (head_.status == 421) {
    target_->signals.OnReplaced(SteadyNow());
    context_.pool.Drop(target_->record.id);
  } else {
    target_->signals.OnRefused(SteadyNow());
  }
  LogEvent(EventId::kAttemptRefused,
           {{"request", facts_.id},
            {"target", target_->record.id},
            {"status", std::to_string(head_.status)},
            {"instance", answer_.instance},
            {"weights", std::to_string(answer_.weights)},
            {"after_ms", Millis(SteadyNow() - sent_at_)}});
  tried_.push_back(target_->record.id);
  if (sends_ < kMaxSends && TakeRetry()) {
    StartAttempt();
    return;
  }
  if (may_have_run_) {
    Fail(Outcome::kUnknown, 502);
    return;
  }
  Refuse(Outcome::kRefused, kServiceUnavailable, kBusyDelay);
}

void Exchange::OnBroken() {
  connection_.reset();
  target_->signals.OnOutcome(true);
  context_.poison.OnBroken(fingerprint_, SteadyNow());
  OnAnswerLost("connection broke");
}

// The request was sent and its answer is lost or unusable: it may have run.
void Exchange::OnAnswerLost(std::string_view why) {
  if (connection_) {
    connection_->Cancel();
    connection_.reset();
  }
  LeaveTarget();
  may_have_run_ = true;
  ++runs_;
  cutter_.DropPartial();
  LogEvent(EventId::kAttemptLost,
           {{"request", facts_.id},
            {"target", target_->record.id},
            {"why", std::string(why)},
            {"after_ms", Millis(SteadyNow() - sent_at_)},
            {"events", std::to_string(cutter_.events())}});
  tried_.push_back(target_->record.id);
  if (cutter_.in_sequence() && MayTryAgain() && TakeRetry()) {
    StartAttempt();
    return;
  }
  if (stream_started_) {
    session_->BreakOff();
    Finish(Outcome::kStreamBroken, 0);
    return;
  }
  Fail(Outcome::kUnknown, 502);
}

bool Exchange::MayTryAgain() const {
  return route_->MayRepeat() && runs_ < route_->max_attempts &&
         sends_ < std::max(route_->max_attempts, kMaxSends) &&
         TimeLeft() > kLeastTimeLeft &&
         !context_.poison.IsBlocked(fingerprint_, SteadyNow());
}

bool Exchange::TakeRetry() {
  const auto budget = context_.retry_budgets.find(service_);
  const bool granted = budget != context_.retry_budgets.end() &&
                       budget->second.Withdraw(SteadyNow());
  context_.metrics.Count(granted ? "dogwoodlatch_retries_total"
                                 : "dogwoodlatch_retries_denied_total");
  return granted;
}

void Exchange::Refuse(Outcome outcome, int status, milliseconds again) {
  const milliseconds delay = RetryDelay(again);
  const std::string seconds =
      std::to_string(static_cast<double>(delay.count()) / 1000.0);
  session_->Answer(status, {{"Retry-After", seconds}}, "");
  Finish(outcome, status);
}

void Exchange::Fail(Outcome outcome, int status) {
  session_->Answer(status, {}, "");
  Finish(outcome, status);
}

void Exchange::OnDeadline() {
  if (is_finished_) return;
  if (connection_) {
    connection_->Cancel();
    connection_.reset();
  }
  if (stream_started_) {
    session_->BreakOff();
    Finish(Outcome::kTimedOut, 0);
    return;
  }
  Fail(Outcome::kTimedOut, 504);
}

void Exchange::OnCallerGone() {
  if (is_finished_) return;
  Finish(Outcome::kCallerGone, 0);
}

void Exchange::Finish(Outcome outcome, int status) {
  if (is_finished_) return;
  is_finished_ = true;
  if (connection_) connection_->Cancel();
  connection_.reset();
  LeaveTarget();
  deadline_timer_.cancel();
  const Duration took = SteadyNow() - arrived_;
  const std::string label = "outcome=\"" + std::string(ToString(outcome)) +
                            "\",service=\"" + service_ + "\"";
  context_.metrics.Count("dogwoodlatch_requests_total", label);
  context_.metrics.Observe("dogwoodlatch_request_ms", label, took);
  LogEvent(EventId::kRequestEnded,
           {{"request", facts_.id},
            {"route", route_ != nullptr ? route_->name : "none"},
            {"outcome", std::string(ToString(outcome))},
            {"status", std::to_string(status)},
            {"sends", std::to_string(sends_)},
            {"events", std::to_string(cutter_.events())},
            {"first_event_ms",
             first_event_at_ ? Millis(*first_event_at_ - arrived_) : "none"},
            {"took_ms", Millis(took)}});
  session_->NotifyGone(nullptr);
  session_.reset();
}

}  // namespace dogwoodlatch::daemon
