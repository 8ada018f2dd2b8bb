/// Server side of one caller's HTTP/1.1 connection.
#pragma once

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodlatch/dataplane/byte_budget.h"
#include "dogwoodlatch/dataplane/connection_end.h"
#include "dogwoodlatch/dataplane/connection_ledger.h"
#include "dogwoodlatch/dataplane/http_reader.h"
#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::dataplane {

class HttpServerSession;

/// Who sends a request, as far as its head shows.
enum class HeadVerdict {
  kDenied,  ///< the handler refuses the request, whatever its body
  kPublic,
  kValidKey
};

/// State shared by all sessions of a server.
struct HttpServerState {
  serving::HttpLimits limits;
  /// What all connections hold; servers of one process may share it. Set before
  /// the first session.
  std::shared_ptr<ConnectionLedger> ledger =
      std::make_shared<ConnectionLedger>();
  /// Judges a head before its body is held; may be empty.
  std::function<HeadVerdict(const Request&)> check_head;
  bool is_relief_posted = false;  ///< of readers that are too slow
  bool is_closing = false;        ///< later responses close their connections
  size_t sessions = 0;            ///< number of open sessions
  /// Number of sessions above which a new one takes the place of another, or is
  /// closed.
  size_t max_sessions = std::numeric_limits<size_t>::max();
  /// Least time between the idle timeout and the close of a connection.
  std::chrono::milliseconds min_idle_margin{5000};
  std::list<HttpServerSession*> open_sessions;
  /// Sessions without a request, the one that has been idle longest first.
  std::list<HttpServerSession*> idle_sessions;
  /// Holds the input of one read operation at a time.
  std::array<char, 16UL * 1024> read_buffer{};
  /// Called once for each connection that ends; may be empty.
  std::function<void(const ConnectionEnd&)> on_connection_end;
};

/// Reads requests one at a time and sends their responses in the same order.
/// Reading continues while a request is served, so that a disconnect of the
/// caller is detected immediately.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession>,
      private LedgerConnection {
 public:
  using Pointer = std::shared_ptr<HttpServerSession>;
  using Handler = std::function<void(const Pointer&, Request)>;

  HttpServerSession(asio::ip::tcp::socket socket,
                    std::shared_ptr<HttpServerState> state, Handler handler);
  ~HttpServerSession() override;
  HttpServerSession(const HttpServerSession&) = delete;
  HttpServerSession& operator=(const HttpServerSession&) = delete;

  void Start();

  /// Sends a complete response to the current request.
  void SendResponse(int status, const HeaderList& headers,
                    std::string_view body);

  /// Sends the head of a chunked response; SendChunk sends its body.
  void StartChunkedResponse(int status, const HeaderList& headers);
  void SendChunk(std::string_view bytes);
  void EndChunkedResponse();

  /// Closes the connection without terminating the chunked body, so that the
  /// caller cannot take a truncated response for a complete one.
  void Abort();

  /// `handler` is called once if the connection closes, other than by Abort,
  /// before the response has been completed.
  void SetDisconnectHandler(std::function<void()> handler) {
    on_disconnect_ = std::move(handler);
  }

  /// True while the amount of unsent response data is above a threshold because
  /// the caller reads too slowly.
  bool IsCongested() const;

  /// `handler` is called once when a write has completed and IsCongested is
  /// false.
  void SetDrainedHandler(std::function<void()> handler) {
    on_drained_ = std::move(handler);
  }

  /// Closes the connection if it is idle and its caller is unlikely to send a
  /// request now. For a process that stops.
  void CloseIfIdle();

  /// True if a request or response is on its way, or may be on a connection
  /// that was set up or used a moment ago.
  bool IsBusy() const;

  /// A request on this connection had a valid key.
  void OnValidKey() { has_key_ = true; }

  /// Closes the session that has been idle longest, one without a key first, or
  /// else the one whose request is stalled longest. Returns false if there is
  /// none.
  static bool Evict(HttpServerState& state);

 private:
  static bool EvictIdle(HttpServerState& state);
  static bool EvictStalled(HttpServerState& state);
  ConnectionLoad InputLoad(TimePoint now) const override;
  ConnectionLoad OutputLoad(TimePoint now) const override;
  ConnectionLoad DescriptorLoad(TimePoint now) const;
  void RefuseRequest() override;
  void CloseSlowReader() override { Close(CloseReason::kSlowReader); }
  /// Whether more may be read now; a caller must read its answers first.
  bool MayRead() const;
  size_t ReadSize() const;
  void StartRequest();
  /// Checks a complete head once. Returns false if the request was refused.
  bool AcceptHead();
  /// Counts what the request holds. Returns false if there is no room for it.
  bool AccountInput();
  size_t HeldInput() const;
  void AccountOutput();
  void ReadMore();
  void OnReadable(std::error_code error);
  /// Reads once without blocking. Returns false if there was nothing to read or
  /// the connection has ended.
  bool ReadAvailable();
  void ParseNext();
  void RejectUnreadable(int status, const HeaderList& headers = {});
  void Write(std::string bytes);
  void Flush();
  void FinishResponse();
  void Linger();
  void Close(CloseReason reason);
  void ReportEnd(CloseReason reason) const;
  CloseReason ReasonOfTimer() const;
  CloseReason ReasonOfLingering() const;
  void BecomeIdle();
  void LeaveIdle();
  bool IsIdle() const { return idle_position_.has_value() && !is_writing_; }
  /// Closes the connection unless its caller has sent something.
  bool CloseUnlessReadable(CloseReason reason);
  /// When the connection may be closed if nothing happens until then.
  TimePoint CloseTime() const;
  void ArmTimer();
  void OnTimer();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<HttpServerState> state_;
  Handler handler_;
  std::string input_;
  std::optional<RequestReader> reader_;
  ConnectionLedger& ledger_;
  ConnectionLedger::Position ledger_position_;
  std::list<HttpServerSession*>::iterator open_position_;
  ByteReservation input_bytes_;
  ByteReservation output_bytes_;
  size_t served_bytes_ = 0;  ///< held by the request that is being served
  TimePoint progress_at_{};
  size_t progress_bytes_ = 0;  ///< `request_bytes_` at that time
  TimePoint write_progress_at_{};
  TimePoint request_started_{};
  TimePoint last_read_{};
  TimePoint idle_since_{};
  TimePoint linger_end_{};
  /// End of the pending wait of `timer_`.
  TimePoint timer_end_ = TimePoint::max();
  std::optional<std::list<HttpServerSession*>::iterator> idle_position_;
  std::string method_;
  size_t request_bytes_ = 0;  ///< read of the current request
  size_t dropped_bytes_ = 0;
  bool has_key_ = false;
  bool is_head_checked_ = false;
  bool is_parse_pending_ = false;  ///< until the caller has read its answers
  bool is_serving_ = false;
  bool is_unreadable_ = false;
  bool keeps_alive_ = true;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_lingering_ = false;
  bool is_closed_ = false;
  std::string pending_output_;
  std::string write_buffer_;
  std::function<void()> on_disconnect_;
  std::function<void()> on_drained_;
};

}  // namespace dogwoodlatch::dataplane
