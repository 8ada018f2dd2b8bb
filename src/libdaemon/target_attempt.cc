#include "dogwoodlatch/daemon/target_attempt.h"

#include <algorithm>
#include <utility>

#include "dogwoodlatch/serving/attempt_rules.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;

// Connections are established within a few milliseconds. When a target drops
// the SYN packet, the retransmission takes seconds.
constexpr milliseconds kConnectTimeout{250};

// Time between two looks at whether a request stays with its target, and at one
// whose VM does not answer.
constexpr milliseconds kSilenceRecheck{250};
constexpr milliseconds kVmSilenceRecheck{50};

// Longer than any request lasts.
constexpr milliseconds kUnlimitedSilence = std::chrono::hours(24);

constexpr int kFirstFailureStatus = 400;

// Longest responses that are read whole. Those without a seal are never
// delivered; only their status matters.
constexpr size_t kMaxSealedBodyBytes = 8UL * 1024 * 1024;
constexpr size_t kMaxUnsealedBodyBytes = 64UL * 1024;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Some targets state no type.
bool HasEventStreamType(const dataplane::ResponseHead& head) {
  const std::string_view type =
      dataplane::FindHeader(head.headers, "content-type");
  const std::string_view essence = type.substr(0, type.find(';'));
  return essence.empty() ||
         dataplane::EqualsIgnoringCase(essence, "text/event-stream");
}

}  // namespace

TargetAttempt::TargetAttempt(asio::io_context& context,
                             dataplane::ConnectionPool& pool,
                             dataplane::ByteBudget& body_budget,
                             AttemptOwner& owner, serving::Placement placement,
                             AttemptRequest request)
    : pool_(pool),
      owner_(owner),
      placement_(std::move(placement)),
      request_(std::move(request)),
      silence_timer_(context),
      body_bytes_(body_budget) {}

TargetAttempt::~TargetAttempt() { Cancel(); }

bool TargetAttempt::Connect(Duration max_idle) {
  // The owner may release this attempt in any of its callbacks.
  const auto keep_alive = shared_from_this();
  connection_ = pool_.TakeIdle(target_id(), SteadyNow(), max_idle, request_.id);
  if (connection_) {
    owner_.OnConnected(*this);
    return true;
  }
  const auto endpoint = dataplane::ParseEndpoint(target().record.address);
  if (!endpoint) return false;
  is_on_new_connection_ = true;
  is_placed_ = true;
  target().signals.OnPlaced(placement_.work, placement_.priority);
  connection_ = pool_.Make();
  connection_->Connect(*endpoint, kConnectTimeout,
                       [self = shared_from_this()](std::error_code error) {
                         if (self->is_cancelled_) return;
                         if (error) {
                           self->target().signals.OnUnreachable(SteadyNow());
                           self->Cancel();
                           self->owner_.OnConnectFailed(*self, error.message());
                           return;
                         }
                         self->target().signals.OnReachable();
                         self->owner_.OnConnected(*self);
                       });
  WatchConnecting();
  return true;
}

// A connection to a VM that falls silent is not waited for.
void TargetAttempt::WatchConnecting() {
  silence_timer_.expires_after(kVmSilenceRecheck);
  silence_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = weak.lock();
    if (error || !self || !self->is_placed_) return;
    if (!self->target().signals.vm().IsSilent(SteadyNow())) {
      self->WatchConnecting();
      return;
    }
    self->Cancel();
    self->owner_.OnConnectFailed(*self, "VM silent");
  });
}

void TargetAttempt::Send(std::string head,
                         std::shared_ptr<const std::string> body) {
  EndPlacement();
  is_sent_ = true;
  sent_at_ = SteadyNow();
  had_to_wait_ = target().signals.load() >= target().record.slots;
  target().signals.OnSent(sent_at_, placement_.work, placement_.priority);
  target().signals.OnMemoryTaken(placement_.memory, sent_at_);
  connection_->RecordRequest(request_.id);
  connection_->Send(std::move(head), std::move(body), this);
  StartSilenceTimer(kSilenceRecheck);
}

Duration TargetAttempt::SilentFor(TimePoint now) const {
  return request_.is_stream ? target().signals.UnresponsiveTime(now)
                            : now - sent_at_;
}

std::string TargetAttempt::FormatUnacknowledged() const {
  const auto bytes = connection_ ? connection_->UnacknowledgedBytes()
                                 : std::optional<size_t>{};
  return bytes ? std::to_string(*bytes) : "unknown";
}

void TargetAttempt::Cancel() {
  is_cancelled_ = true;
  EndPlacement();
  RecordEnd();
  if (connection_) connection_->Cancel();
  connection_.reset();
}

void TargetAttempt::EndPlacement() {
  if (!std::exchange(is_placed_, false)) return;
  target().signals.OnPlacementEnded(placement_.work, placement_.priority);
}

// Records the end of the attempt in the target's signals.
void TargetAttempt::RecordEnd() {
  silence_timer_.cancel();
  if (!std::exchange(is_sent_, false)) return;
  if (!first_event_at_) {
    target().signals.OnFirstEvent(placement_.work, placement_.priority);
  }
  target().signals.OnEnded();
}

void TargetAttempt::RecordFirstEvent() {
  if (first_event_at_) return;
  const TimePoint now = SteadyNow();
  first_event_at_ = now;
  target().signals.OnFirstEvent(placement_.work, placement_.priority);
  target().signals.engine().OnFirstEvent(
      {.work = placement_.work,
       .tokens = placement_.missing_tokens,
       .work_ahead = placement_.work_ahead,
       .is_wait_known = placement_.is_wait_known,
       .time = now - sent_at_},
      now);
}

void TargetAttempt::RecordRun(int events, uint32_t tokens) {
  const TimePoint now = SteadyNow();
  const serving::LoadReport report = target().signals.Report(now);
  target().signals.engine().OnRun(
      {.time = AnsweringFor(now),
       .events = events,
       .tokens = tokens,
       .active = report.active,
       .is_memory_scarce = report.memory_total > 0 &&
                           2 * report.memory_used >= report.memory_total});
}

// Only a response that did not wait for a slot shows the target's speed.
void TargetAttempt::RecordPlainResponse() {
  if (request_.is_stream || had_to_wait_ || !IsSuccess(head_.status)) return;
  const TimePoint now = SteadyNow();
  target().signals.engine().OnPlainResponse(now - sent_at_, now);
}

void TargetAttempt::ResumeReading() {
  if (connection_) connection_->ResumeReading();
}

milliseconds TargetAttempt::MaxSilence() const {
  return request_.max_silence.count() > 0 ? request_.max_silence
                                          : kUnlimitedSilence;
}

void TargetAttempt::StartSilenceTimer(milliseconds wait) {
  silence_timer_.expires_after(wait);
  silence_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->is_sent_) self->OnSilenceTimer();
  });
}

// The target may only be slow. A stream keeps waiting while the target sends
// bytes for any request. Other responses are short, so one that has begun is
// about to end, unless its VM has fallen silent in the middle. A VM that does
// not answer is waited for less long.
void TargetAttempt::OnSilenceTimer() {
  const TimePoint now = SteadyNow();
  const bool is_about_to_end = !request_.is_stream && has_head_;
  const Duration left =
      is_about_to_end ? kUnlimitedSilence : MaxSilence() - SilentFor(now);
  const milliseconds recheck =
      VmSilentFor() > Duration{0} ? kVmSilenceRecheck : kSilenceRecheck;
  const bool is_unresponsive =
      left <= Duration{0} || VmSilentFor() >= serving::kVmSilenceBeforeMove;
  if (!is_unresponsive) {
    StartSilenceTimer(std::min(
        recheck, std::chrono::ceil<milliseconds>(left) + milliseconds(1)));
    return;
  }
  const auto keep_alive = shared_from_this();
  owner_.OnUnresponsive(*this);
  // A request that stays may be moved later, when another target has room.
  if (is_sent_) StartSilenceTimer(std::min(MaxSilence(), recheck));
}

bool TargetAttempt::OnHead(const dataplane::ResponseHead& head) {
  target().signals.OnBytesReceived(SteadyNow());
  const platform::ResponseMetadata response =
      platform::DecodeResponse(head.status, head.headers);
  const bool is_for_request =
      response.request_id == request_.id ||
      (response.request_id.empty() && head.status >= kFirstFailureStatus);
  if (!is_for_request) {
    LogEvent(EventId::kAnswerSkipped, {{"request", request_.id},
                                       {"target", target_id()},
                                       {"answers", response.request_id}});
    return false;
  }
  has_head_ = true;
  head_ = head;
  response_ = response;
  // A response without an id on a reused connection may belong to an earlier
  // request, so it proves nothing about this one.
  if (response.request_id.empty() && !is_on_new_connection_) {
    response_.not_run = false;
  }
  is_event_stream_ = request_.is_stream && IsSuccess(head.status) &&
                     response.is_sealed && HasEventStreamType(head);
  RecordTargetState();
  return true;
}

// Records what the target says about itself, whatever it answers.
void TargetAttempt::RecordTargetState() {
  const bool is_other_target =
      !response_.instance.empty() && response_.instance != target_id();
  if (is_other_target) return;
  if (response_.is_leaving && !target().IsLeaving()) {
    target().leaving = true;
    LogEvent(EventId::kTargetLeaving,
             {{"target", target_id()}, {"request", request_.id}});
  }
  if (response_.pushback) {
    target().signals.OnPushback(*response_.pushback, SteadyNow());
    LogEvent(EventId::kTargetPushback,
             {{"target", target_id()},
              {"request", request_.id},
              {"for_ms", FormatMilliseconds(*response_.pushback)}});
  }
  if (response_.has_bad_retry_after) {
    LogEvent(EventId::kBadMessage,
             {{"target", target_id()}, {"fault", "Retry-After is no number"}});
  }
}

void TargetAttempt::OnBody(std::string_view bytes) {
  target().signals.OnBytesReceived(SteadyNow());
  if (is_event_stream_) {
    const auto keep_alive = shared_from_this();
    owner_.OnStreamBytes(*this, bytes);
    return;
  }
  const size_t limit =
      response_.is_sealed ? kMaxSealedBodyBytes : kMaxUnsealedBodyBytes;
  if (!body_bytes_.Grow(bytes.size(), limit)) {
    LogEvent(EventId::kInputTooLong,
             {{"request", request_.id},
              {"target", target_id()},
              {"bytes", std::to_string(body_.size() + bytes.size())}});
    const auto keep_alive = shared_from_this();
    Cancel();
    owner_.OnConnectionLost(*this);
    return;
  }
  body_.append(bytes);
}

void TargetAttempt::OnEnd() {
  const auto keep_alive = shared_from_this();
  RecordEnd();
  pool_.Return(target_id(), std::exchange(connection_, nullptr));
  if (is_event_stream_) {
    owner_.OnStreamEnd(*this);
  } else {
    RecordPlainResponse();
    owner_.OnResponse(*this);
  }
}

void TargetAttempt::RecordBreak() {
  const TimePoint now = SteadyNow();
  const int idle =
      pool_.DropBroken(target_id(), now - serving::TargetSignals::kCrashWindow);
  if (!target().signals.OnConnectionsBroken(1 + idle, now)) return;
  LogEvent(EventId::kTargetAvoided, {{"request", request_.id},
                                     {"target", target_id()},
                                     {"reason", "connections broke at once"}});
}

void TargetAttempt::OnConnectionLost() {
  const auto keep_alive = shared_from_this();
  Cancel();
  RecordBreak();
  owner_.OnConnectionLost(*this);
}

}  // namespace dogwoodlatch::daemon
