// The HTTP server behind the caller's address, with limits that the library
// lacks: of connections, of the time that one request may take to arrive, and
// of what is read before a request is refused.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string_view>

namespace dogwoodlatch::router {

struct CallerLimits {
  size_t max_connections = 0;
  size_t max_body_bytes = 0;
  std::chrono::milliseconds read_timeout{0};     // between two parts
  std::chrono::milliseconds request_timeout{0};  // from first byte to last
  std::chrono::milliseconds write_timeout{0};
  std::chrono::milliseconds idle_timeout{0};  // between two requests
};

// Why a request is not let in.
struct Rejection {
  int status = 0;
  std::string_view code;
  std::string_view message;
};

// Decides by the headers alone, before the body is read.
using HeaderCheck =
    std::function<std::optional<Rejection>(const httplib::Request& request)>;

class CallerServer : public httplib::Server {
 public:
  CallerServer(const CallerLimits& limits, HeaderCheck check);

  // Whether the caller whose request this thread handles is still connected.
  static bool IsCallerConnected();

 private:
  bool process_and_close_socket(socket_t sock) override;

  std::optional<Rejection> Check(const httplib::Request& request) const;
  void Serve(socket_t sock);
  bool is_stopping() const { return svr_sock_ == INVALID_SOCKET; }

  CallerLimits limits_;
  HeaderCheck check_;
  std::atomic<size_t> connections_{0};
};

}  // namespace dogwoodlatch::router
