/// A listening socket and the sessions of the connections that it accepted.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodlatch/dataplane/http_server_session.h"
#include "dogwoodlatch/error.h"

namespace dogwoodlatch::daemon {

/// Time after which a socket accepts again when the process is out of file
/// descriptors. Connections in progress release some when they end.
inline constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

/// Opens a listening socket. Fails with kIo when the address cannot be bound.
Result<void> OpenAcceptor(asio::ip::tcp::acceptor& acceptor,
                          const std::string& address);

class Listener {
 public:
  explicit Listener(asio::io_context& context)
      : io_(context), acceptor_(context), retry_timer_(context) {}

  void SetHandler(dataplane::HttpServerSession::Handler handler) {
    handler_ = std::move(handler);
  }

  /// Opens the socket and accepts connections. Fails with kIo when the address
  /// cannot be bound.
  Result<void> Listen(const std::string& address);

  /// Accepts the connections that wait in the socket's queue.
  void AcceptWaiting();

  /// Accepts the connections that wait, and no more.
  void Close();

  /// Closes the connections that are idle; see HttpServerSession::CloseIfIdle.
  void CloseIdle();

  /// True if a request or response is on its way on any connection.
  bool IsBusy() const;

  bool is_open() const { return acceptor_.is_open(); }
  dataplane::HttpServerState& server_state() { return *server_state_; }

 private:
  void Accept();
  void Serve(asio::ip::tcp::socket socket);

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::shared_ptr<dataplane::HttpServerState> server_state_ =
      std::make_shared<dataplane::HttpServerState>();
  dataplane::HttpServerSession::Handler handler_;
  std::vector<std::weak_ptr<dataplane::HttpServerSession>> sessions_;
};

}  // namespace dogwoodlatch::daemon
