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
struct DoorPolicy {
  serving::HttpLimits limits;
  bool is_closing = false;  ///< answers end their connections from now on
  size_t sessions = 0;      ///< open ones
};

/// Reads requests one after the other and sends their answers in that order.
/// Reading goes on while a request is served, so a caller's leaving is noticed
/// at once.
class DoorSession : public std::enable_shared_from_this<DoorSession> {
 public:
  using Pointer = std::shared_ptr<DoorSession>;
  using Handler = std::function<void(const Pointer&, Request)>;

  DoorSession(asio::ip::tcp::socket socket, DoorPolicy& policy,
              Handler handler);
  ~DoorSession();
  DoorSession(const DoorSession&) = delete;
  DoorSession& operator=(const DoorSession&) = delete;

  void Start();

  /// Sends a whole answer to the request in progress.
  void Answer(int status, const HeaderList& headers, std::string_view body);

  /// Sends an answer's head; its body follows in pieces.
  void StartStream(int status, const HeaderList& headers);
  void SendPiece(std::string_view bytes);
  void EndStream();

  /// Ends the connection so that the answer in progress can't look complete.
  void BreakOff();

  /// Called once if the caller leaves before the answer has ended.
  void NotifyGone(std::function<void()> gone) { gone_ = std::move(gone); }

  /// True while the caller reads more slowly than the answer comes.
  bool IsCongested() const;

  /// Called when IsCongested has become false.
  void NotifyDrained(std::function<void()> drained) {
    drained_ = std::move(drained);
  }

  /// Ends the connection if no request is in progress.
  void CloseIfIdle();

 private:
  void ReadMore();
  void OnBytes(std::error_code error, size_t count);
  void ParseNext();
  void RefuseUnread(int status);
  void Write(std::string_view bytes);
  void Flush();
  void FinishAnswer();
  void Linger();
  void Close();
  void ArmTimer();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  DoorPolicy& policy_;
  Handler handler_;
  std::string chunk_;
  std::string input_;
  std::optional<RequestReader> reader_;
  std::string method_;
  bool is_serving_ = false;
  bool keeps_alive_ = true;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_lingering_ = false;
  bool is_closed_ = false;
  std::string outgoing_;
  std::string in_writing_;
  std::function<void()> gone_;
  std::function<void()> drained_;
};

}  // namespace dogwoodlatch::dataplane
