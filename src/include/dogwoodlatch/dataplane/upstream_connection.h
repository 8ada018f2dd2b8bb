/// A connection to a target or to the platform, which carries one request at a
/// time.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/dataplane/http_reader.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::dataplane {

/// Builds the head of a request with the body's length.
std::string BuildRequestHead(std::string_view method, std::string_view target,
                             const HeaderList& headers, size_t body_bytes);

/// "ip:port" as an endpoint; none when it is not written so.
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

class UpstreamConnection final
    : private ResponseListener,
      public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Pointer = std::shared_ptr<UpstreamConnection>;

  explicit UpstreamConnection(asio::io_context& context);
  ~UpstreamConnection() override = default;
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// Calls `done` once, with an error when no connection was made in time.
  void Connect(const asio::ip::tcp::endpoint& endpoint,
               std::chrono::milliseconds timeout,
               std::function<void(std::error_code)> done);

  /// Sends a request; `listener` hears the answer and must stay alive until its
  /// last call or Cancel.
  void Send(std::string head, std::shared_ptr<const std::string> body,
            ResponseListener* listener);

  /// Ends the connection now. The listener hears nothing more.
  void Cancel();

  /// Stops or resumes reading, for a reader that lags.
  void PauseReading() { is_paused_ = true; }
  void ResumeReading();

  /// True when the last answer left the connection fit for another request.
  bool IsReusable() const;

  /// How long it has been idle, and how long the peer keeps it so.
  Duration IdleFor(TimePoint now) const { return now - idle_since_; }
  std::optional<std::chrono::seconds> idle_limit() const { return idle_limit_; }

  /// True once a request has been answered on it.
  bool is_used() const { return is_used_; }

 private:
  // The reader's calls reach the listener until it has cancelled.
  bool OnHead(const ResponseHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd() override {}
  void OnBroken() override {}

  void ReadMore();
  void OnBytes(std::error_code error, size_t count);
  void Consume();
  void FinishResponse();
  void BreakConnection();

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::string input_;
  std::string read_buffer_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
  ResponseReader reader_;
  ResponseListener* listener_ = nullptr;
  bool is_open_ = false;
  bool is_used_ = false;
  bool is_reading_ = false;
  bool is_paused_ = false;
  bool is_writing_ = false;
  bool answer_ended_ = false;
  bool keeps_alive_ = true;
  std::optional<std::chrono::seconds> idle_limit_;
  TimePoint idle_since_{};
};

/// Kept connections, by target.
class ConnectionPool {
 public:
  explicit ConnectionPool(asio::io_context& context) : context_(context) {}

  /// A kept connection that has been idle for at most `longest_idle` and less
  /// than its peer's limit, or null.
  UpstreamConnection::Pointer TakeIdle(const std::string& key, TimePoint now,
                                       Duration longest_idle);

  UpstreamConnection::Pointer Make();

  /// Keeps the connection for later if it is fit for it.
  void Return(const std::string& key, UpstreamConnection::Pointer connection);

  /// Ends all idle connections of a target.
  void Drop(const std::string& key) { idle_.erase(key); }

  /// Ends idle connections that the peer is about to close.
  void Sweep(TimePoint now);

  size_t idle_count() const;

 private:
  asio::io_context& context_;
  std::unordered_map<std::string, std::vector<UpstreamConnection::Pointer>>
      idle_;
};

}  // namespace dogwoodlatch::dataplane
