/// Message connections between the project's own processes: websocket frames of
/// bytes, many connections a node. The header is valid C++17, since the library
/// behind it does not compile as C++20.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dogwoodlatch {

using ConnectionId = uint64_t;

/// Called on the node's own thread; a handler must not block.
struct TransportHandlers {
  std::function<void(ConnectionId)> opened;
  std::function<void(ConnectionId, const std::string&)> received;
  std::function<void(ConnectionId)>
      closed;  ///< also after a connect that failed
};

struct TransportOptions {
  size_t max_message_bytes = 0;
  std::chrono::milliseconds open_timeout{0};
};

/// Accepts connections and opens them. Thread-safe.
class TransportNode {
 public:
  TransportNode(TransportOptions options, TransportHandlers handlers);
  ~TransportNode();
  TransportNode(const TransportNode&) = delete;
  TransportNode& operator=(const TransportNode&) = delete;

  /// Listens on "ip:port", with port 0 on any free one. Returns the port, or 0
  /// when the address cannot be bound.
  uint16_t Listen(const std::string& address);

  /// Starts to open a connection to "ip:port"; `opened` or `closed` follows.
  ConnectionId Connect(const std::string& address);

  /// Queues one message; false when the connection is not open.
  bool Send(ConnectionId connection, const std::string& bytes);

  /// Closes one connection; `closed` follows.
  void Close(ConnectionId connection);

  /// Closes all and ends the node's thread; no handler runs after it.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodlatch
