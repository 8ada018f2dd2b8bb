/// One caller's connection at the door.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodlatch/dataplane/http_reader.h"
#include "dogwoodlatch/serving/configuration.h"

namespace dogwoodlatch::dataplane {

/// What all sessions of a door share; the owner outlives them.
struct HttpServerState {
  serving::DoorLimits limits;
  bool is_closing = false;  ///< answers end their connections from now on
  size_t sessions = 0;      ///< open ones
};

/// Reads requests one after the other and sends their answers in that order.
/// Reading goes on while a request is served, so a caller's leaving is noticed
/// at once.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession> {
 public:
  using Pointer = std::shared_ptr<HttpServerSession>;
  using Handler = std::function<void(const Pointer&, Request)>;

  HttpServerSession(asio::ip::tcp::socket socket, HttpServerState& policy,
                    Handler handler);
  ~HttpServerSession();
  HttpServerSession(const HttpServerSession&) = delete;
  HttpServerSession& operator=(const HttpServerSession&) = delete;

  void Start();

  /// Sends a whole answer to the request in progress.
  void Answer(int status, const HeaderList& headers, std::string_view body);

  /// Sends an answer's head; its body follows in pieces.
  void StartChunkedResponse(int status, const HeaderList& headers);
  void SendChunk(std::string_view bytes);
  void EndChunkedResponse();

  /// Ends the connection so that the answer in progress can't look complete.
  void Abort();

  /// Called once if the caller leaves before the answer has ended.
  void SetDisconnectHandler(std::function<void()> gone) {
    on_disconnect_ = std::move(gone);
  }

  /// True while the caller reads more slowly than the answer comes.
  bool IsCongested() const;

  /// Called when IsCongested has become false.
  void SetDrainedHandler(std::function<void()> drained) {
    on_drained_ = std::move(drained);
  }

  /// Ends the connection if no request is in progress.
  void CloseIfIdle();

 private:
  void ReadMore();
  void OnBytes(std::error_code error, size_t count);
  void ParseNext();
  void RejectUnreadable(int status);
  void Write(std::string_view bytes);
  void Flush();
  void FinishResponse();
  void Linger();
  void Close();
  void ArmTimer();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  HttpServerState& policy_;
  Handler handler_;
  std::string read_buffer_;
  std::string input_;
  std::optional<RequestReader> reader_;
  std::string method_;
  bool is_serving_ = false;
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
