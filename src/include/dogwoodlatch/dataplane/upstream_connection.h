/// Client side of HTTP/1.1 connections to targets and to the platform, and a
/// pool of idle ones.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/dataplane/byte_budget.h"
#include "dogwoodlatch/dataplane/http_reader.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::dataplane {

/// Returns the request line and header fields, with Content-Length if there is
/// a body or the method is POST or PUT.
std::string BuildRequestHead(std::string_view method, std::string_view target,
                             const HeaderList& headers, size_t body_bytes);

/// Parses "ip:port" with a numeric IPv4 address and a non-zero port.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

/// One connection; carries one request at a time.
class UpstreamConnection final
    : private ResponseListener,
      public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Pointer = std::shared_ptr<UpstreamConnection>;

  /// `pending_input` bounds the input of many connections that is kept until
  /// more of it arrives; null for a connection with no such bound.
  explicit UpstreamConnection(
      asio::io_context& context,
      std::shared_ptr<ByteBudget> pending_input = nullptr);
  ~UpstreamConnection() override;
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// Calls `done` once, with an error if no connection was made within
  /// `timeout`.
  void Connect(const asio::ip::tcp::endpoint& endpoint,
               std::chrono::milliseconds timeout,
               std::function<void(std::error_code)> done);

  /// Sends a request and passes the response to `listener`, which must stay
  /// alive until its last call or until Cancel.
  void Send(std::string head, std::shared_ptr<const std::string> body,
            ResponseListener* listener);

  /// Notes that the request with this id is about to be sent.
  void RecordRequest(std::string_view request_id);

  /// True if a request with this id was sent before. Its answer may come once
  /// more, and could not be told from that to the next one.
  bool HasCarried(std::string_view request_id) const;

  /// Closes the connection immediately. What the peer's VM has not received of
  /// the request is discarded. The listener is not called any more.
  void Cancel();

  /// Stops or resumes reading, for flow control towards a slow consumer.
  void PauseReading() { is_paused_ = true; }
  void ResumeReading();

  /// True if the connection is open and idle and can carry another request.
  bool IsReusable() const;

  /// The same, and the peer will not close it soon for being idle.
  bool MayCarry(TimePoint now) const;

  /// True if the peer has closed or reset the idle connection, even if the
  /// event loop has not read that yet.
  bool IsClosedByPeer() { return Peek() == Input::kEnd; }

  /// True if the peer has also sent nothing that no request has asked for.
  bool IsQuiet() { return Peek() == Input::kNone; }

  /// When the event loop read the end of the connection, if it did.
  std::optional<TimePoint> broken_at() const { return broken_at_; }

  /// Returns how long the connection has been idle.
  Duration IdleFor(TimePoint now) const { return now - idle_since_; }

  /// Returns how many of the bytes sent the peer's VM has not acknowledged, or
  /// nothing where the system does not tell.
  std::optional<size_t> UnacknowledgedBytes();

  /// True once a response has been completed on this connection.
  bool is_used() const { return is_used_; }

  /// True once a byte has arrived since the last Send.
  bool has_received() const { return has_received_; }

 private:
  // Forward the reader's calls to the listener until the request is cancelled.
  // The reader calls only OnHead and OnBody; FinishResponse and BreakConnection
  // notify the listener of the end.
  bool OnHead(const ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd() override {}
  void OnConnectionLost() override {}

  enum class Input { kNone, kBytes, kEnd };

  /// What the system has received that the event loop has not read yet.
  Input Peek();
  void ReadMore();
  void OnWritten(std::error_code error);
  void OnBytes(std::error_code error, size_t count);
  /// Nothing more can be read: the peer has closed or, if not `is_orderly`,
  /// reset the connection.
  void OnInputEnded(bool is_orderly);
  void Consume();
  void FinishResponse();
  void BreakConnection();

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::vector<uint64_t> carried_;  ///< hashes of request ids
  std::string input_;
  std::shared_ptr<ByteBudget> pending_input_budget_;
  std::optional<ByteReservation> pending_input_;
  std::string read_buffer_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  ResponseReader reader_;
  ResponseListener* listener_ = nullptr;
  bool is_open_ = false;
  bool is_used_ = false;
  bool has_received_ = false;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool is_writing_ = false;
  bool has_write_failed_ = false;  ///< of the request
  bool has_input_ended_ = false;   ///< in order, while the request is written
  bool keeps_alive_ = true;
  std::optional<std::chrono::seconds> idle_limit_;
  TimePoint idle_since_{};
  std::optional<TimePoint> broken_at_;
};

/// Idle connections for reuse, keyed by target.
class ConnectionPool {
 public:
  /// The connections together keep up to `max_pending_input` bytes of input
  /// that is incomplete, besides kSmallMessageBytes each.
  ConnectionPool(asio::io_context& context, size_t max_pending_input)
      : context_(context),
        pending_input_(std::make_shared<ByteBudget>(max_pending_input,
                                                    kSmallMessageBytes)) {}

  /// Removes a reusable connection from the pool and returns it, or returns
  /// null if none has been idle for at most `max_idle` and less than its peer's
  /// idle timeout, and has not carried `request_id` before.
  UpstreamConnection::Pointer TakeIdle(const std::string& key, TimePoint now,
                                       Duration max_idle,
                                       std::string_view request_id);

  UpstreamConnection::Pointer Make();

  /// Puts the connection into the pool if it is reusable and the pool has room;
  /// closes it otherwise.
  void Return(const std::string& key, UpstreamConnection::Pointer connection);

  /// Removes the idle connections of a target that its VM has closed or reset.
  /// Returns how many of them broke at `since` or later.
  int DropBroken(const std::string& key, TimePoint since);

  /// Closes all idle connections of a target.
  void Drop(const std::string& key);

  /// Closes idle connections that are no longer reusable or that the peer is
  /// about to close.
  void Sweep(TimePoint now);

  size_t idle_count() const;

 private:
  asio::io_context& context_;
  std::shared_ptr<ByteBudget> pending_input_;
  std::unordered_map<std::string, std::vector<UpstreamConnection::Pointer>>
      idle_;
};

}  // namespace dogwoodlatch::dataplane
