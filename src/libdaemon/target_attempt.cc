#include "dogwoodlatch/daemon/target_attempt.h"

#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;

// A new connection is made within a few milliseconds; a target that drops the
// opening packet answers only after seconds.
constexpr milliseconds kConnectTimeout{250};

constexpr int kFirstFailureStatus = 400;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

TargetAttempt::TargetAttempt(asio::io_context& context,
                             dataplane::ConnectionPool& pool,
                             AttemptOwner& owner, serving::Placement placement,
                             AttemptRequest request)
    : pool_(pool),
      owner_(owner),
      placement_(std::move(placement)),
      request_(std::move(request)),
      patience_timer_(context) {}

TargetAttempt::~TargetAttempt() { Cancel(); }

bool TargetAttempt::Connect(Duration longest_idle) {
  // The owner may let go of this attempt in any of its calls.
  const auto keep = shared_from_this();
  connection_ = pool_.TakeIdle(target_id(), SteadyNow(), longest_idle);
  if (connection_) {
    owner_.OnConnected();
    return true;
  }
  const auto endpoint = dataplane::ParseEndpoint(target().record.address);
  if (!endpoint) return false;
  is_on_new_connection_ = true;
  connection_ = pool_.Make();
  connection_->Connect(*endpoint, kConnectTimeout,
                       [self = shared_from_this()](std::error_code error) {
                         if (self->is_cancelled_) return;
                         if (error) {
                           self->target().signals.OnUnreachable(SteadyNow());
                           self->Cancel();
                           self->owner_.OnNoConnection(error.message());
                           return;
                         }
                         self->target().signals.OnReachable();
                         self->owner_.OnConnected();
                       });
  return true;
}

void TargetAttempt::Send(std::string head,
                         std::shared_ptr<const std::string> body) {
  is_sent_ = true;
  sent_at_ = SteadyNow();
  target().signals.OnSent(sent_at_, placement_.prefill);
  connection_->Send(std::move(head), std::move(body), this);
  if (request_.patience.count() > 0) ArmPatience(request_.patience);
}

void TargetAttempt::Cancel() {
  is_cancelled_ = true;
  Leave();
  if (connection_) connection_->Cancel();
  connection_.reset();
}

// Ends the attempt's part in what is known of the target.
void TargetAttempt::Leave() {
  patience_timer_.cancel();
  if (!std::exchange(is_sent_, false)) return;
  if (!has_first_event_) target().signals.OnFirstEvent(placement_.prefill);
  target().signals.OnEnded(SteadyNow());
}

void TargetAttempt::NoteFirstEvent() {
  if (std::exchange(has_first_event_, true)) return;
  target().signals.OnFirstEvent(placement_.prefill);
}

void TargetAttempt::ResumeReading() {
  if (connection_) connection_->ResumeReading();
}

void TargetAttempt::ArmPatience(milliseconds wait) {
  patience_timer_.expires_after(wait);
  patience_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const auto self = weak.lock();
    if (!error && self && self->is_sent_) self->OnPatienceOver();
  });
}

// The target may only be slow. Streams wait on while it answers anybody; other
// answers are short, so one that has begun is about to end.
void TargetAttempt::OnPatienceOver() {
  if (!request_.is_stream && has_head_) return;
  const Duration silence = target().signals.Silence(SteadyNow());
  const bool is_silent = silence >= request_.patience;
  if (request_.is_stream && !is_silent) {
    ArmPatience(std::chrono::ceil<milliseconds>(request_.patience - silence) +
                milliseconds(1));
    return;
  }
  const auto keep = shared_from_this();
  owner_.OnSilent();
  // Whoever stays may go later, when another target has room.
  if (is_sent_) ArmPatience(request_.patience);
}

bool TargetAttempt::OnHead(const dataplane::ResponseHead& head) {
  target().signals.OnHeard(SteadyNow());
  const platform::AnswerFacts answer =
      platform::DecodeAnswer(head.status, head.headers);
  const bool is_ours =
      answer.request_id == request_.id ||
      (answer.request_id.empty() && head.status >= kFirstFailureStatus);
  if (!is_ours) {
    LogEvent(EventId::kAnswerSkipped, {{"request", request_.id},
                                       {"target", target_id()},
                                       {"answers", answer.request_id}});
    return false;
  }
  has_head_ = true;
  head_ = head;
  answer_ = answer;
  // A stray answer without an id could only have come on a used connection.
  if (answer.request_id.empty() && !is_on_new_connection_) {
    answer_.not_run = false;
  }
  is_event_stream_ =
      request_.is_stream && IsSuccess(head.status) && answer.is_sealed;
  return true;
}

void TargetAttempt::OnBody(std::string_view bytes) {
  target().signals.OnHeard(SteadyNow());
  if (is_event_stream_) {
    const auto keep = shared_from_this();
    owner_.OnStreamBytes(bytes);
  } else {
    body_.append(bytes);
  }
}

void TargetAttempt::OnEnd() {
  const auto keep = shared_from_this();
  Leave();
  pool_.Return(target_id(), std::exchange(connection_, nullptr));
  if (is_event_stream_) {
    owner_.OnStreamEnd();
  } else {
    owner_.OnAnswer();
  }
}

void TargetAttempt::OnBroken() {
  const auto keep = shared_from_this();
  Cancel();
  owner_.OnLost();
}

}  // namespace dogwoodlatch::daemon
