#include "dogwoodlatch/transport.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace dogwoodlatch {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr auto kBinary = websocketpp::frame::opcode::binary;

}  // namespace

class TransportNode::Impl {
 public:
  Impl(TransportOptions options, TransportHandlers handlers)
      : options_(options), handlers_(std::move(handlers)) {
    ConfigureEndpoint(server_);
    ConfigureEndpoint(client_);
    server_.set_reuse_addr(true);
    server_.set_open_handler(
        [this](Handle handle) { OnAccepted(std::move(handle)); });
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Impl() { Stop(); }

  uint16_t Listen(const std::string& address) {
    const size_t colon = address.rfind(':');
    websocketpp::lib::error_code error;
    server_.listen(address.substr(0, colon), address.substr(colon + 1), error);
    if (error) return 0;
    server_.start_accept(error);
    if (error) return 0;
    asio::error_code endpoint_error;
    return server_.get_local_endpoint(endpoint_error).port();
  }

  ConnectionId Connect(const std::string& address) {
    const ConnectionId id = next_id_++;
    // The setup runs on the node's thread, because it calls `closed` if it
    // fails and handlers run on no other thread.
    asio::post(context_, [this, id, address] { StartConnect(id, address); });
    return id;
  }

  bool Send(ConnectionId connection, const std::string& bytes) {
    Peer peer;
    if (!FindPeer(connection, peer)) return false;
    websocketpp::lib::error_code error;
    if (peer.accepted) {
      server_.send(peer.handle, bytes, kBinary, error);
    } else {
      client_.send(peer.handle, bytes, kBinary, error);
    }
    return !error;
  }

  void Close(ConnectionId connection) {
    Peer peer;
    if (!FindPeer(connection, peer)) return;
    CloseHandle(peer);
  }

  void Stop() {
    if (stopped_.exchange(true)) return;
    asio::post(context_, [this] { CloseAll(); });
    work_guard_.reset();
    // Bounds the wait for peers that do not complete the closing handshake.
    asio::steady_timer timer(context_, kStopTimeout);
    timer.async_wait([this](const asio::error_code&) { context_.stop(); });
    if (thread_.joinable()) thread_.join();
  }

 private:
  static constexpr std::chrono::milliseconds kStopTimeout{200};

  struct Peer {
    Handle handle;
    bool accepted = false;
  };

  template <typename Endpoint>
  void ConfigureEndpoint(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context_);
    endpoint.set_max_message_size(options_.max_message_bytes);
    endpoint.set_open_handshake_timeout(
        static_cast<int>(options_.open_timeout.count()));
    // Disables Nagle's algorithm, so that small messages do not wait for the
    // peer's acknowledgement. The option requires an open socket, and the
    // library's socket init handler runs before the socket is open.
    endpoint.set_tcp_pre_init_handler([&endpoint](const Handle& handle) {
      asio::error_code ignored;
      endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(
          asio::ip::tcp::no_delay(true), ignored);
    });
  }

  void OnAccepted(Handle handle) {
    const ConnectionId id = next_id_++;
    auto connection = server_.get_con_from_hdl(handle);
    connection->set_message_handler(
        [this, id](const Handle&, const Server::message_ptr& message) {
          handlers_.received(id, message->get_payload());
        });
    connection->set_close_handler([this, id](const Handle&) { OnClosed(id); });
    InsertPeer(id, {std::move(handle), true});
    handlers_.opened(id);
  }

  void StartConnect(ConnectionId id, const std::string& address) {
    websocketpp::lib::error_code error;
    auto connection = client_.get_connection("ws://" + address + "/", error);
    if (error || stopped_) return handlers_.closed(id);
    connection->set_open_handler([this, id](Handle handle) {
      InsertPeer(id, {std::move(handle), false});
      handlers_.opened(id);
    });
    connection->set_message_handler(
        [this, id](const Handle&, const Client::message_ptr& message) {
          handlers_.received(id, message->get_payload());
        });
    connection->set_close_handler([this, id](const Handle&) { OnClosed(id); });
    connection->set_fail_handler([this, id](const Handle&) { OnClosed(id); });
    client_.connect(connection);
  }

  void OnClosed(ConnectionId id) {
    {
      const std::lock_guard lock(mutex_);
      peers_.erase(id);
    }
    handlers_.closed(id);
  }

  void InsertPeer(ConnectionId id, Peer peer) {
    const std::lock_guard lock(mutex_);
    peers_[id] = std::move(peer);
  }

  bool FindPeer(ConnectionId id, Peer& peer) const {
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(id);
    if (found == peers_.end()) return false;
    peer = found->second;
    return true;
  }

  void CloseHandle(const Peer& peer) {
    websocketpp::lib::error_code ignored;
    if (peer.accepted) {
      server_.close(peer.handle, websocketpp::close::status::going_away, "",
                    ignored);
    } else {
      client_.close(peer.handle, websocketpp::close::status::going_away, "",
                    ignored);
    }
  }

  void CloseAll() {
    websocketpp::lib::error_code ignored;
    if (server_.is_listening()) server_.stop_listening(ignored);
    std::map<ConnectionId, Peer> peers;
    {
      const std::lock_guard lock(mutex_);
      peers = peers_;
    }
    for (const auto& [id, peer] : peers) CloseHandle(peer);
  }

  TransportOptions options_;
  TransportHandlers handlers_;
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_ =
      asio::make_work_guard(context_);
  Server server_;
  Client client_;
  std::atomic<ConnectionId> next_id_{1};
  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::map<ConnectionId, Peer> peers_;
  std::thread thread_;
};

TransportNode::TransportNode(TransportOptions options,
                             TransportHandlers handlers)
    : impl_(std::make_unique<Impl>(options, std::move(handlers))) {}
TransportNode::~TransportNode() = default;
uint16_t TransportNode::Listen(const std::string& address) {
  return impl_->Listen(address);
}
ConnectionId TransportNode::Connect(const std::string& address) {
  return impl_->Connect(address);
}
bool TransportNode::Send(ConnectionId connection, const std::string& bytes) {
  return impl_->Send(connection, bytes);
}
void TransportNode::Close(ConnectionId connection) { impl_->Close(connection); }
void TransportNode::Stop() { impl_->Stop(); }

}  // namespace dogwoodlatch
