// The HTTP server for callers. Adds limits that the HTTP library lacks: number
// of connections, time for one request to arrive, and rejection of a request
// before its body is read.
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
  std::chrono::milliseconds read_timeout{0};     // between two reads
  std::chrono::milliseconds request_timeout{0};  // from first to last byte
  std::chrono::milliseconds write_timeout{0};
  std::chrono::milliseconds idle_timeout{0};  // until the next request
};

// Error response for a request that is rejected on arrival.
struct Rejection {
  int status = 0;
  std::string_view code;
  std::string_view message;
};

// Checks the headers before the body is read. Returns the rejection, or none if
// the request is accepted.
using HeaderCheck =
    std::function<std::optional<Rejection>(const httplib::Request& request)>;

class CallerServer : public httplib::Server {
 public:
  CallerServer(const CallerLimits& limits, HeaderCheck check);

  // Returns whether the caller whose request is handled on this thread is still
  // connected; true on threads that handle no request.
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
