#include "dogwoodlatch/daemon/listener.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "dogwoodlatch/dataplane/upstream_connection.h"

namespace dogwoodlatch::daemon {
namespace {

constexpr int kListenBacklog = 512;

}  // namespace

Result<void> OpenAcceptor(asio::ip::tcp::acceptor& acceptor,
                          const std::string& address) {
  const auto endpoint = dataplane::ParseEndpoint(address);
  std::error_code error;
  if (!endpoint) return Error{ErrorCode::kIo, address, "not an address"};
  acceptor.open(asio::ip::tcp::v4(), error);
  // Lets a restarted process bind the port while old connections still exist.
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(kListenBacklog, error);
  if (!error) acceptor.non_blocking(true, error);
  if (error) return Error{ErrorCode::kIo, address, error.message()};
  return boost::outcome_v2::success();
}

Result<void> Listener::Listen(const std::string& address) {
  Result<void> opened = OpenAcceptor(acceptor_, address);
  if (opened) Accept();
  return opened;
}

void Listener::Accept() {
  acceptor_.async_accept(
      [this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) {
          // Usually the process is out of file descriptors. Connections in
          // progress release some when they end.
          dataplane::HttpServerSession::Evict(*server_state_);
          retry_timer_.expires_after(kAcceptRetryDelay);
          retry_timer_.async_wait([this](std::error_code timer_error) {
            if (!timer_error && acceptor_.is_open()) Accept();
          });
          return;
        }
        Serve(std::move(socket));
        Accept();
      });
}

void Listener::AcceptWaiting() {
  std::error_code error;
  if (!acceptor_.is_open()) return;
  while (!error) {
    asio::ip::tcp::socket socket(io_);
    // Fails when the queue is empty. Other errors end the accept operation that
    // is pending, too.
    acceptor_.accept(socket, error);
    if (!error) Serve(std::move(socket));
  }
}

void Listener::Close() {
  AcceptWaiting();
  std::error_code ignored;  // a failed close leaves nothing to do
  acceptor_.close(ignored);
}

void Listener::CloseIdle() {
  std::ranges::for_each(sessions_, [](const auto& weak) {
    if (const auto session = weak.lock()) session->CloseIfIdle();
  });
}

bool Listener::IsBusy() const {
  return std::ranges::any_of(sessions_, [](const auto& weak) {
    const auto session = weak.lock();
    return session && session->IsBusy();
  });
}

void Listener::Serve(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<dataplane::HttpServerSession>(
      std::move(socket), server_state_, handler_);
  std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
  sessions_.push_back(session);
  session->Start();
}

}  // namespace dogwoodlatch::daemon
