/// One attempt to send a request to a target, from the connection to the end of
/// the response. Records its results in the target's signals.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodlatch/dataplane/byte_budget.h"
#include "dogwoodlatch/dataplane/upstream_connection.h"
#include "dogwoodlatch/serving/placement.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {

class TargetAttempt;

/// Receives the events of its attempts. OnConnectFailed, OnResponse,
/// OnStreamEnd and OnConnectionLost end an attempt; none of the functions is
/// called after Cancel.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;

  /// No connection could be made; nothing was sent.
  virtual void OnConnectFailed(TargetAttempt& attempt,
                               const std::string& reason) = 0;
  /// The connection is established; the request may be sent.
  virtual void OnConnected(TargetAttempt& attempt) = 0;
  /// Body bytes of a successful, sealed stream.
  virtual void OnStreamBytes(TargetAttempt& attempt,
                             std::string_view bytes) = 0;
  virtual void OnStreamEnd(TargetAttempt& attempt) = 0;
  /// A complete response of any other kind.
  virtual void OnResponse(TargetAttempt& attempt) = 0;
  /// The request was sent, but the connection broke before the response's end,
  /// or was closed because the response is longer than it may be.
  virtual void OnConnectionLost(TargetAttempt& attempt) = 0;
  /// Nothing arrived within the request's `max_silence`: for a stream, no bytes
  /// of any response of the target; for another request, no response head. Or
  /// the target's VM has not answered for serving::kVmSilenceBeforeMove. Called
  /// again while that lasts.
  virtual void OnUnresponsive(TargetAttempt& attempt) = 0;
};

/// Properties of the request that the attempt depends on.
struct AttemptRequest {
  std::string id;
  bool is_stream = false;
  /// Time after which OnUnresponsive is called if the target does not respond;
  /// 0 if that matters only while its VM does not answer.
  std::chrono::milliseconds max_silence{0};
};

class TargetAttempt final : public dataplane::ResponseListener,
                            public std::enable_shared_from_this<TargetAttempt> {
 public:
  TargetAttempt(asio::io_context& context, dataplane::ConnectionPool& pool,
                dataplane::ByteBudget& body_budget, AttemptOwner& owner,
                serving::Placement placement, AttemptRequest request);
  ~TargetAttempt() override;
  TargetAttempt(const TargetAttempt&) = delete;
  TargetAttempt& operator=(const TargetAttempt&) = delete;

  /// Takes an idle connection from the pool that was idle for at most
  /// `max_idle`, or opens one. Returns false when the target's address cannot
  /// be parsed.
  bool Connect(Duration max_idle);

  /// Sends the request over the connection.
  void Send(std::string head, std::shared_ptr<const std::string> body);

  /// Ends the attempt and closes its connection.
  void Cancel();

  /// Records that the first event has arrived, so the prompt is prefilled.
  void RecordFirstEvent();

  /// Records that a run of `events` events has ended, whose prompt and answer
  /// have `tokens` tokens.
  void RecordRun(int events, uint32_t tokens);

  void PauseReading() { connection_->PauseReading(); }
  void ResumeReading();

  const serving::Placement& placement() const { return placement_; }
  serving::Target& target() const { return *placement_.target; }
  const std::string& target_id() const { return target().record.id; }
  bool is_on_new_connection() const { return is_on_new_connection_; }
  bool is_sent() const { return is_sent_; }

  /// How long ago the first event of the response arrived; 0 if none has.
  Duration AnsweringFor(TimePoint now) const {
    return first_event_at_ ? now - *first_event_at_ : Duration{0};
  }
  TimePoint sent_at() const { return sent_at_; }

  /// For a stream, how long the target has sent nothing to anyone; for another
  /// request, the time since it was sent.
  Duration SilentFor(TimePoint now) const;

  /// How long the target's VM has not answered.
  Duration VmSilentFor() const {
    return target().signals.vm().SilentFor(SteadyNow());
  }

  /// How many bytes the target's VM has not acknowledged, for logs.
  std::string FormatUnacknowledged() const;

  /// The response, valid once its head has been received.
  const dataplane::ResponseHead& head() const { return head_; }
  const platform::ResponseMetadata& response() const { return response_; }
  const std::string& body() const { return body_; }

 private:
  bool OnHead(const dataplane::ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd() override;
  void OnConnectionLost() override;

  void WatchConnecting();
  void StartSilenceTimer(std::chrono::milliseconds wait);
  void OnSilenceTimer();
  std::chrono::milliseconds MaxSilence() const;
  void EndPlacement();
  void RecordEnd();
  void RecordBreak();
  void RecordPlainResponse();
  void RecordTargetState();

  dataplane::ConnectionPool& pool_;
  AttemptOwner& owner_;
  serving::Placement placement_;
  AttemptRequest request_;
  asio::steady_timer silence_timer_;
  dataplane::UpstreamConnection::Pointer connection_;
  bool is_on_new_connection_ = false;
  bool is_placed_ = false;    ///< waits for its connection
  bool is_sent_ = false;      ///< sent, and the attempt has not ended
  bool had_to_wait_ = false;  ///< all slots were busy with this router's
  std::optional<TimePoint> first_event_at_;
  bool has_head_ = false;
  bool is_event_stream_ = false;
  bool is_cancelled_ = false;
  TimePoint sent_at_{};
  dataplane::ResponseHead head_;
  platform::ResponseMetadata response_;
  std::string body_;
  dataplane::ByteReservation body_bytes_;
};

}  // namespace dogwoodlatch::daemon
