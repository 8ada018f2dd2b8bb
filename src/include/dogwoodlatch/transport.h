/// Message connections between dogwoodlatch processes: binary websocket frames,
/// many connections per node. The header must stay valid C++17 because the
/// websocket library used by its source does not compile as C++20.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dogwoodlatch {

using ConnectionId = uint64_t;

/// Callbacks run on the node's thread and must not block.
struct TransportHandlers {
  std::function<void(ConnectionId)> opened;
  std::function<void(ConnectionId, const std::string&)> received;
  std::function<void(ConnectionId)>
      closed;  ///< also called after a failed connect
};

struct TransportOptions {
  size_t max_message_bytes = 0;
  std::chrono::milliseconds open_timeout{0};
};

/// Accepts and opens connections. Thread-safe.
class TransportNode {
 public:
  TransportNode(TransportOptions options, TransportHandlers handlers);
  ~TransportNode();
  TransportNode(const TransportNode&) = delete;
  TransportNode& operator=(const TransportNode&) = delete;

  /// Listens on "ip:port"; port 0 selects any free port. Returns the bound
  /// port, or 0 when the address cannot be bound.
  uint16_t Listen(const std::string& address);

  /// Starts connecting to "ip:port"; `opened` or `closed` is called later.
  ConnectionId Connect(const std::string& address);

  /// Queues one message; returns false when the connection is not open.
  bool Send(ConnectionId connection, const std::string& bytes);

  /// Starts closing a connection; `closed` is called later.
  void Close(ConnectionId connection);

  /// Closes all connections and joins the node's thread; no handler runs after
  /// it returns.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodlatch
