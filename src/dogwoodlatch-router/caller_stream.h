// Stream of one caller's connection for the HTTP library, with limits on the
// time and size of a request.
#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "caller_server.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::router {

// Why a request was not read to its end: a limit that it exceeded, or the end
// of the server.
enum class ReadFault { kNone, kTooSlow, kTooLarge, kStopped };

class CallerStream : public httplib::Stream {
 public:
  // Once `is_stopping` returns true, only input that has arrived is read.
  CallerStream(socket_t sock, const CallerLimits& limits,
               std::function<bool()> is_stopping);

  // Waits until `end` for input or an error. Returns whether either arrived.
  bool WaitForInput(TimePoint end) const;

  // Restarts the time and size limits for a new request.
  void StartRequest(TimePoint now);

  // Why the request was not read to its end. From then on write() discards the
  // library's own error response, so that the server can send a typed one.
  ReadFault fault() const { return fault_; }

  // Writes directly to the socket, also after a fault. Gives up on an error or
  // at the write timeout.
  void WriteAll(std::string_view data);

  // Closes the connection. Before that, reads and discards input for at most
  // `linger`, so that the caller can read the response.
  void Close(std::chrono::milliseconds linger);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, size_t size) override;
  ssize_t write(const char* ptr, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  bool Fill();
  bool WaitReadable(std::chrono::milliseconds wait) const;
  bool WaitWritable() const;

  socket_t socket_;
  CallerLimits limits_;
  std::function<bool()> is_stopping_;
  std::array<char, 4096> buffer_{};
  size_t begin_ = 0;
  size_t end_ = 0;
  size_t request_bytes_ = 0;
  TimePoint request_deadline_{};
  ReadFault fault_ = ReadFault::kNone;
};

}  // namespace dogwoodlatch::router
