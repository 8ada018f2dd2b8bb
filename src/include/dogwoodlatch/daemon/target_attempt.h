/// One send of a request to one target, from the connection to the answer's
/// end, with its part in what is known of the target.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "dogwoodlatch/dataplane/upstream_connection.h"
#include "dogwoodlatch/serving/placement.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {

/// What an attempt reports. OnNoConnection, OnAnswer, OnStreamEnd and OnLost
/// end it; none of them follows Cancel.
class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;

  /// Nothing was sent.
  virtual void OnNoConnection(const std::string& reason) = 0;
  /// The connection is there: the request may be sent.
  virtual void OnConnected() = 0;
  /// Bytes of a sealed good answer to a stream.
  virtual void OnStreamBytes(std::string_view bytes) = 0;
  virtual void OnStreamEnd() = 0;
  /// A whole answer of any other kind.
  virtual void OnAnswer() = 0;
  /// The request was sent and the answer is lost.
  virtual void OnLost() = 0;
  /// The target has said nothing for as long as the request is patient.
  virtual void OnSilent() = 0;
};

/// What the attempt needs of its request.
struct AttemptRequest {
  std::string id;
  bool is_stream = false;
  /// After which silence of the target OnSilent is called; 0 for never.
  std::chrono::milliseconds patience{0};
};

class TargetAttempt final : public dataplane::ResponseListener,
                            public std::enable_shared_from_this<TargetAttempt> {
 public:
  TargetAttempt(asio::io_context& context, dataplane::ConnectionPool& pool,
                AttemptOwner& owner, serving::Placement placement,
                AttemptRequest request);
  ~TargetAttempt() override;
  TargetAttempt(const TargetAttempt&) = delete;
  TargetAttempt& operator=(const TargetAttempt&) = delete;

  /// Takes a kept connection that was idle for at most `longest_idle`, or makes
  /// one. False when the target's address cannot be read.
  bool Connect(Duration longest_idle);

  /// Sends the request on the connection.
  void Send(std::string head, std::shared_ptr<const std::string> body);

  /// Ends the attempt; the target sees its connection close.
  void Cancel();

  /// The prompt has been read: the first event is here.
  void NoteFirstEvent();

  void PauseReading() { connection_->PauseReading(); }
  void ResumeReading();

  const serving::Placement& placement() const { return placement_; }
  serving::Target& target() const { return *placement_.target; }
  const std::string& target_id() const { return target().record.id; }
  bool is_on_new_connection() const { return is_on_new_connection_; }
  TimePoint sent_at() const { return sent_at_; }

  /// The answer, once its head has come.
  const dataplane::ResponseHead& head() const { return head_; }
  const platform::AnswerFacts& answer() const { return answer_; }
  const std::string& body() const { return body_; }

 private:
  bool OnHead(const dataplane::ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd() override;
  void OnBroken() override;

  void ArmPatience(std::chrono::milliseconds wait);
  void OnPatienceOver();
  void Leave();

  dataplane::ConnectionPool& pool_;
  AttemptOwner& owner_;
  serving::Placement placement_;
  AttemptRequest request_;
  asio::steady_timer patience_timer_;
  dataplane::UpstreamConnection::Pointer connection_;
  bool is_on_new_connection_ = false;
  bool is_sent_ = false;  ///< and not over yet
  bool has_first_event_ = false;
  bool has_head_ = false;
  bool is_event_stream_ = false;
  bool is_cancelled_ = false;
  TimePoint sent_at_{};
  dataplane::ResponseHead head_;
  platform::AnswerFacts answer_;
  std::string body_;
};

}  // namespace dogwoodlatch::daemon
