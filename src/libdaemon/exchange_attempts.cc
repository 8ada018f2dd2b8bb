#include <algorithm>
#include <utility>

#include "dogwoodlatch/daemon/exchange.h"
#include "dogwoodlatch/quarantine.h"
#include "dogwoodlatch/serving/admission.h"
#include "dogwoodlatch/util/log.h"

// What the attempts of a request report, and how it moves between targets.

namespace dogwoodlatch::daemon {
namespace {

using serving::RouteKind;
using std::chrono::milliseconds;

// Longest time for which two targets may hold a request, while it moves from a
// silent one to another: two targets must not work on it for 400 ms.
constexpr milliseconds kMaxOverlap{330};

// A target that crashes at the start of a run may still send a first event. One
// that has gone on for this long did not crash at the start.
constexpr milliseconds kAnswerBegun{100};

constexpr int kMisdirected = 421;
constexpr int kServerFailure = 500;

// The ids of the shared parts, as callers state them.
std::string FormatSharedParts(const serving::Prompt& prompt) {
  std::string ids;
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    ids += (i > 0 ? "," : "") + FormatDigestHex(prompt.parts[i].id);
  }
  return ids;
}

}  // namespace

void Exchange::OnStreamBytes(TargetAttempt& attempt, std::string_view bytes) {
  if (&attempt == silent_.get()) ReturnToSilent();
  if (!ContinuesStream(attempt)) return;
  const std::optional<serving::EventStreamSplitter> before =
      splitter_.is_continuing() ? std::optional(splitter_) : std::nullopt;
  const std::string events = splitter_.Feed(bytes);
  if (before && !splitter_.in_sequence()) {
    splitter_ = *before;
    OnResponseLost(attempt, "its events do not continue the stream");
    return;
  }
  // Until another target has sent a whole event, the silent one may go on.
  if (!events.empty() && splitter_.in_sequence()) SelectAnswering(attempt);
  RelayEvents(events);
  if (attempt_ && !ReservePartialEvents()) {
    OnResponseLost(*attempt_, splitter_.is_too_long()
                                  ? "event too long"
                                  : "no memory for its event");
  }
}

bool Exchange::ReservePartialEvents() {
  const size_t bytes = splitter_.partial_size() +
                       (silent_ ? silent_splitter_.partial_size() : 0);
  return !splitter_.is_too_long() && partial_event_bytes_.Resize(bytes, bytes);
}

// A stream that has begun is continued only by an answer of the same kind. Any
// other one is lost: its head or body must not reach the caller.
bool Exchange::ContinuesStream(TargetAttempt& attempt) {
  const int status = attempt.head().status;
  if (!progress_.stream_started || status == stream_status_) return true;
  OnResponseLost(attempt, "status " + std::to_string(status) +
                              " while a stream is continued");
  return false;
}

void Exchange::RelayEvents(std::string_view events) {
  if (events.empty()) return;
  attempt_->RecordFirstEvent();
  last_event_at_ = SteadyNow();
  if (!first_event_at_) {
    first_event_at_ = last_event_at_;
    context_.metrics.Observe("dogwoodlatch_first_event_ms",
                             "service=\"" + routed_.service + "\"",
                             *first_event_at_ - arrived_at_);
  }
  if (!splitter_.in_sequence()) {
    OnResponseLost(*attempt_, "events out of sequence");
    return;
  }
  if (!std::exchange(progress_.stream_started, true)) {
    stream_status_ = attempt_->head().status;
    session_->StartChunkedResponse(
        stream_status_, platform::ReturnHeaders(attempt_->head().headers));
  }
  session_->SendChunk(events);
  if (is_finished_ || !session_->IsCongested()) return;
  attempt_->PauseReading();
  session_->SetDrainedHandler([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->attempt_) self->attempt_->ResumeReading();
  });
}

void Exchange::OnStreamEnd(TargetAttempt& attempt) {
  if (&attempt == silent_.get()) ReturnToSilent();
  if (!ContinuesStream(attempt)) return;
  if (splitter_.has_partial()) {
    context_.pool.Drop(attempt_->target_id());
    OnResponseLost(attempt, "ended inside an event");
    return;
  }
  SelectAnswering(attempt);
  attempt_->target().signals.OnOutcome(false);
  if (progress_.runs == 0) {
    attempt_->RecordRun(static_cast<int>(splitter_.events()),
                        routed_.metadata.prompt.input_tokens +
                            static_cast<uint32_t>(splitter_.events()));
  }
  context_.poison.OnAnswered(suspects_, SteadyNow());
  const int status = attempt_->head().status;
  if (!progress_.stream_started) {
    session_->StartChunkedResponse(
        status, platform::ReturnHeaders(attempt_->head().headers));
  }
  session_->EndChunkedResponse();
  Finish(Outcome::kServed, status);
}

void Exchange::OnResponse(TargetAttempt& attempt) {
  const int status = attempt.head().status;
  const serving::AnswerVerdict verdict =
      serving::ClassifyAnswer({.status = status,
                               .is_sealed = attempt.response().is_sealed,
                               .not_run = attempt.response().not_run});
  if (verdict == serving::AnswerVerdict::kNotRun) {
    OnNotRun(attempt);
    return;
  }
  // A stream that has begun is not continued by a whole answer, however good.
  const bool is_good =
      verdict == serving::AnswerVerdict::kGood && !progress_.stream_started;
  attempt.target().signals.OnOutcome(!is_good);
  if (is_good) {
    SelectAnswering(attempt);
    context_.poison.OnAnswered(suspects_, SteadyNow());
    DeliverResponse();
  } else if (verdict == serving::AnswerVerdict::kUnusable) {
    OnResponseLost(attempt,
                   "status " + std::to_string(status) + " without proof");
  } else if (progress_.stream_started || silent_) {
    OnResponseLost(attempt, "status " + std::to_string(status) +
                                " while another target has the request");
  } else {
    OnFailure(status);
  }
}

void Exchange::OnFailure(int status) {
  RecordRun(*attempt_);
  const bool may_run_elsewhere =
      serving::MayRunAgain(*routed_.route, progress_, TimeLeft()) &&
      !IsHeldBack(SteadyNow());
  if (status >= kServerFailure && may_run_elsewhere &&
      WithdrawRetry(RetryPurpose::kRerun)) {
    failed_ = attempt_;
    AbandonAttempt();
    TryTarget();
    return;
  }
  DeliverResponse();
}

// The target has proven that it did not run the request.
void Exchange::OnNotRun(TargetAttempt& attempt) {
  const platform::ResponseMetadata& response = attempt.response();
  serving::Target& target = attempt.target();
  const TimePoint now = SteadyNow();
  const bool is_misdirected = attempt.head().status == kMisdirected;
  if (is_misdirected && response.instance != target.record.id) {
    target.signals.OnReplaced(now);
    context_.pool.Drop(target.record.id);
  } else {
    if (is_misdirected) {
      target.UpdateWeights({{routed_.metadata.prompt.model, response.weights}});
    }
    target.signals.OnRefused(now);
  }
  LogEvent(EventId::kAttemptRefused,
           {{"request", routed_.metadata.id},
            {"target", target.record.id},
            {"status", std::to_string(attempt.head().status)},
            {"instance", response.instance},
            {"weights", std::to_string(response.weights)},
            {"after_ms", FormatMilliseconds(now - attempt.sent_at())}});
  if (&attempt == silent_.get()) {
    DropSilent();
    return;
  }
  if (silent_ && !has_run_elsewhere_) StopHandoverTimer();
  AbandonAttempt();
  if (serving::MaySendAgain(progress_, TimeLeft())) {
    TryTarget(progress_.stream_started ? RetryPurpose::kResume
                                       : RetryPurpose::kResend);
  } else {
    EndWithoutResponse();
  }
}

void Exchange::OnConnectionLost(TargetAttempt& attempt) {
  attempt.target().signals.OnOutcome(true);
  RecordBrokenRun(attempt, SteadyNow());
  OnResponseLost(attempt, "connection broke");
}

// The silent target keeps the request until another one has taken it over: it
// may go on at any moment, and the other one may turn out to be full.
void Exchange::OnUnresponsive(TargetAttempt& attempt) {
  const TimePoint now = SteadyNow();
  serving::TargetSignals& signals = attempt.target().signals;
  // A response that is not read for the caller's sake is no silence.
  if (session_->IsCongested()) return;
  // A VM that answers again is used again at once.
  if (!signals.vm().IsSilent(now) &&
      signals.UnresponsiveTime(now) >=
          serving::UnresponsiveLimit(*routed_.route)) {
    signals.OnUnreachable(now);
    // The next request finds out by a new connection whether the target can be
    // reached, and has not been sent if it cannot.
    context_.pool.Drop(attempt.target_id());
  }
  if (silent_ || &attempt != attempt_.get()) return;
  if (!MoveFromSilent(now)) EndIfAnswerIsUnlikely(now);
}

// Moves the request to another target if its answer is expected sooner from
// there.
bool Exchange::MoveFromSilent(TimePoint now) {
  const TargetAttempt& attempt = *attempt_;
  if (!routed_.route->MayRepeat()) return false;
  serving::TargetHistory history_after_move = history_;
  history_after_move.Exclude(attempt.target_id());
  history_after_move.RecordRun(attempt.target_id());
  const std::optional<serving::Placement> other =
      Place(history_after_move, now);
  const Duration left = TimeLeft();
  const bool may_move =
      serving::MayAbandonUnresponsive(*routed_.route, progress_, left) ||
      (history_after_move.CanReturn(attempt.target_id()) &&
       serving::MayReturn(*routed_.route, progress_, left));
  const bool is_allowed = may_move && !IsHeldBack(now);
  // The way back to a target that was left is paid for.
  const bool is_return = holds_retry_;
  const Duration vm_silence = attempt.target().signals.vm().SilentFor(now);
  const bool is_vm_silent = vm_silence >= serving::kVmSilenceBeforeMove;
  const bool moves =
      other && is_allowed &&
      serving::IsMovePromising(
          {.silence = attempt.SilentFor(now),
           .estimate_elsewhere = other->estimate,
           .caller_left = CallerLeavesIn(now),
           .backlog_elsewhere = other->backlog,
           .max_backlog = serving::MaxQueueWait(routed_.route->objective)
                              .value_or(Duration::max()),
           .is_vm_silent = is_vm_silent}) &&
      WithdrawRetry(is_return      ? RetryPurpose::kResume
                    : is_vm_silent ? RepeatPurpose()
                                   : RetryPurpose::kMove);
  LogEvent(
      EventId::kAttemptSilent,
      {{"request", routed_.metadata.id},
       {"target", attempt.target_id()},
       {"silent_ms", FormatMilliseconds(attempt.SilentFor(now))},
       {"vm_silent_ms", FormatMilliseconds(vm_silence)},
       {"elsewhere_ms", other ? FormatMilliseconds(other->estimate) : "none"},
       {"allowed", is_allowed ? "yes" : "no"},
       {"moves", moves ? "yes" : "no"}});
  if (!moves) return false;
  if (!is_return && !is_vm_silent) HoldRetry();
  history_.Exclude(attempt.target_id());
  silent_ = std::move(attempt_);
  silent_splitter_ = splitter_;
  splitter_.DropPartial();
  TryTarget();
  return true;
}

// A caller that waits for a VM that does not answer learns nothing by it. One
// that is told may repeat the request itself, where that is safe.
void Exchange::EndIfAnswerIsUnlikely(TimePoint now) {
  const Duration rest =
      routed_.route->kind == RouteKind::kStream && !progress_.stream_started
          ? attempt_->placement().estimate
          : Duration{0};
  if (!serving::IsAnswerUnlikely(
          {.vm_silence = attempt_->target().signals.vm().SilentFor(now),
           .rest = rest,
           .caller_left = CallerLeavesIn(now)})) {
    return;
  }
  RecordLostRun(*attempt_, "VM silent");
  AbandonAttempt();
  EndWithoutResponse();
}

// A request that has left a silent target, and could return to it, waits for
// the next one only as long as its caller would wait for the return as well.
milliseconds Exchange::MaxSilence(TimePoint now) const {
  const milliseconds limit = serving::FirstByteTimeout(*routed_.route);
  if (!silent_) return limit;
  return std::min(limit, serving::SilenceBeforeReturn(CallerLeavesIn(now)));
}

// The targets so far, including the one that the request is about to leave.
serving::TargetHistory Exchange::PresentHistory() const {
  serving::TargetHistory history = history_;
  if (silent_) history.RecordRun(silent_->target_id());
  return history;
}

Duration Exchange::CallerLeavesIn(TimePoint now) const {
  const Duration left = TimeLeft();
  if (routed_.route->kind != RouteKind::kStream) return left;
  const Duration waited = now - last_event_at_.value_or(arrived_at_);
  return std::min(left, serving::CallerWait(routed_.route->objective) - waited);
}

// Counts from the first send after which the request may have run elsewhere:
// until a target refuses it, it may.
void Exchange::StartHandoverTimer() {
  if (std::exchange(is_overlapping_, true)) return;
  handover_timer_.expires_after(kMaxOverlap);
  handover_timer_.async_wait(
      [weak = weak_from_this(),
       silent = std::weak_ptr(silent_)](std::error_code error) {
        const auto self = weak.lock();
        // A handler that was queued before the timer was cancelled may find
        // another silent attempt, or a later overlap.
        if (error || !self || !self->silent_ || !self->is_overlapping_) return;
        const bool is_over =
            self->handover_timer_.expiry() <= std::chrono::steady_clock::now();
        if (is_over && self->silent_ == silent.lock()) self->EndOverlap();
      });
}

void Exchange::StopHandoverTimer() {
  handover_timer_.cancel();
  is_overlapping_ = false;
  has_run_elsewhere_ = false;
}

// The first target may be sending to others again, and its next event be about
// to come. No other target may have the request: the second one has failed, and
// the next one is being connected to.
void Exchange::EndOverlap() {
  const bool is_elsewhere = attempt_ && attempt_->is_sent();
  if (!is_elsewhere || silent_->SilentFor(SteadyNow()) < kMaxOverlap) {
    ReturnToSilent();
  } else {
    CompleteHandover();
  }
}

// One of two targets that hold the request answers: it is the one that keeps
// it.
void Exchange::SelectAnswering(const TargetAttempt& attempt) {
  ReleaseRetry();
  if (!silent_) return;
  if (&attempt == silent_.get()) {
    ReturnToSilent();
  } else {
    CompleteHandover();
  }
}

// The silent target may be tried again, as its silence is no failure.
void Exchange::CompleteHandover() {
  RecordLostRun(*silent_, "silent");
  history_.Readmit(silent_->target_id());
  DropSilent();
}

void Exchange::ReturnToSilent() {
  LogEvent(EventId::kAttemptKept, {{"request", routed_.metadata.id},
                                   {"target", silent_->target_id()}});
  if (attempt_) {
    if (attempt_->is_sent()) RecordRun(*attempt_);
    WithdrawAttempt(attempt_);
  }
  StopHandoverTimer();
  ReleaseRetry();
  attempt_ = std::move(silent_);
  splitter_ = std::exchange(silent_splitter_, {});
}

void Exchange::DropSilent() {
  StopHandoverTimer();
  silent_->Cancel();
  silent_.reset();
  silent_splitter_ = {};
}

// The request was sent and its response is lost or unusable, so it may have
// run.
void Exchange::OnResponseLost(TargetAttempt& attempt, std::string_view why) {
  RecordLostRun(attempt, why);
  if (&attempt == silent_.get()) {
    DropSilent();
    return;
  }
  splitter_.DropPartial();
  ReservePartialEvents();
  AbandonAttempt();
  if (splitter_.in_sequence() && MayRunAgain() &&
      WithdrawRetry(RepeatPurpose())) {
    RetryAfterBreak();
  } else {
    EndWithoutResponse();
  }
}

// A request that a silent target still has is retried at once: its overlap may
// end meanwhile.
void Exchange::RetryAfterBreak() {
  if (silent_) {
    TryTarget();
    return;
  }
  context_.retry_queue.Add([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->is_finished_) self->TryTarget();
  });
}

void Exchange::RecordRun(const TargetAttempt& attempt) {
  history_.RecordRun(attempt.target_id());
  if (silent_ && &attempt != silent_.get()) has_run_elsewhere_ = true;
  progress_.runs = history_.runs();
}

void Exchange::RecordLostRun(const TargetAttempt& attempt,
                             std::string_view why) {
  RecordRun(attempt);
  LogEvent(EventId::kAttemptLost,
           {{"request", routed_.metadata.id},
            {"target", attempt.target_id()},
            {"why", std::string(why)},
            {"after_ms", FormatMilliseconds(SteadyNow() - attempt.sent_at())},
            {"events", std::to_string(splitter_.events())},
            {"unacknowledged", attempt.FormatUnacknowledged()},
            {"vm_silent_ms", FormatMilliseconds(attempt.VmSilentFor())}});
}

void Exchange::AbandonAttempt() {
  history_.Exclude(attempt_->target_id());
  attempt_->Cancel();
  attempt_.reset();
}

void Exchange::WithdrawAttempt(std::shared_ptr<TargetAttempt>& attempt) {
  if (!attempt) return;
  if (attempt->is_sent()) {
    LogEvent(
        EventId::kAttemptWithdrawn,
        {{"request", routed_.metadata.id},
         {"target", attempt->target_id()},
         {"after_ms", FormatMilliseconds(SteadyNow() - attempt->sent_at())},
         {"unacknowledged", attempt->FormatUnacknowledged()},
         {"vm_silent_ms", FormatMilliseconds(attempt->VmSilentFor())}});
  }
  attempt->Cancel();
  attempt.reset();
}

bool Exchange::MayRunAgain() const {
  serving::RequestProgress progress = progress_;
  if (silent_) ++progress.runs;
  const Duration left = TimeLeft();
  const bool is_allowed =
      serving::MayRunAgain(*routed_.route, progress, left) ||
      (history_.CanReturn(attempt_ ? attempt_->target_id() : "") &&
       serving::MayReturn(*routed_.route, progress, left));
  if (!is_allowed) return false;
  const serving::PoisonVerdict verdict =
      context_.poison.Check(suspects_, SteadyNow());
  if (verdict.is_held_back) LogVerdict(verdict);
  return !verdict.is_held_back;
}

bool Exchange::IsHeldBack(TimePoint now) const {
  return context_.poison.Check(suspects_, now).is_held_back;
}

void Exchange::RecordBrokenRun(const TargetAttempt& attempt, TimePoint now) {
  const bool was_answering = attempt.AnsweringFor(now) >= kAnswerBegun;
  context_.poison.OnBroken(
      suspects_,
      {.target = serving::IncarnationKey(attempt.target().record),
       .was_answering = was_answering},
      now);
  std::string crashes;
  for (const serving::Suspect& suspect : suspects_) {
    crashes += (crashes.empty() ? "" : ",") +
               std::to_string(context_.poison.Crashes(suspect));
  }
  LogEvent(EventId::kBrokenRunCounted,
           {{"request", routed_.metadata.id},
            {"target", attempt.target_id()},
            {"fingerprint", FormatDigestHex(suspects_.front().hash)},
            {"shared_parts", FormatSharedParts(routed_.metadata.prompt)},
            {"was_answering", was_answering ? "yes" : "no"},
            {"crashes", crashes}});
}

void Exchange::LogVerdict(const serving::PoisonVerdict& verdict) const {
  LogEvent(EventId::kRequestHeldBack,
           {{"request", routed_.metadata.id},
            {"suspect", ToString(verdict.suspect)},
            {"shared_parts", FormatSharedParts(routed_.metadata.prompt)},
            {"crashes", std::to_string(verdict.crashes)},
            {"trial", verdict.is_trial ? "yes" : "no"},
            {"next_trial_ms", FormatMilliseconds(verdict.next_trial)}});
}

RetryPurpose Exchange::RepeatPurpose() const {
  return progress_.stream_started ? RetryPurpose::kResume
                                  : RetryPurpose::kRerun;
}

RetryWindow& Exchange::Retries() {
  return context_.retry_windows
      .try_emplace(routed_.service, context_.retry_limits)
      .first->second;
}

void Exchange::HoldRetry() {
  if (!std::exchange(holds_retry_, true)) Retries().Hold();
}

void Exchange::ReleaseRetry() {
  if (std::exchange(holds_retry_, false)) Retries().Release();
}

bool Exchange::WithdrawRetry(RetryPurpose purpose) {
  const TimePoint now = SteadyNow();
  const double part = context_.routers.Part(now);
  RetryWindow& window = Retries();
  const bool uses_held = holds_retry_ && purpose != RetryPurpose::kMove;
  if (uses_held) holds_retry_ = false;
  const bool granted = uses_held ? window.WithdrawHeld(part, now)
                                 : window.Withdraw(purpose, part, now);
  context_.metrics.Count(
      granted ? "dogwoodlatch_retries_total"
              : "dogwoodlatch_retries_denied_total",
      "purpose=\"" + std::string(dogwoodlatch::ToString(purpose)) + "\"");
  if (granted) return true;
  const RetryCounts counts = window.Counts(part, now);
  LogEvent(EventId::kRetryDenied,
           {{"request", routed_.metadata.id},
            {"service", routed_.service},
            {"purpose", std::string(dogwoodlatch::ToString(purpose))},
            {"left", std::to_string(static_cast<uint64_t>(counts.left))},
            {"first_attempts", std::to_string(counts.first_attempts)},
            {"retries", std::to_string(counts.retries)},
            {"routers", std::to_string(context_.routers.Most(now))}});
  return false;
}

}  // namespace dogwoodlatch::daemon
