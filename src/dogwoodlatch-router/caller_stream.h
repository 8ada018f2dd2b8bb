// One caller's connection as the HTTP library reads and writes it.
#pragma once

#include <httplib.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>

#include "caller_server.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::router {

// Why the rest of a request was not read.
enum class ReadFault { kNone, kTooSlow, kTooLarge };

class CallerStream : public httplib::Stream {
 public:
  CallerStream(socket_t sock, const CallerLimits& limits);

  // Whether there is something to read within `wait`.
  bool WaitReadable(std::chrono::milliseconds wait) const;

  // The next bytes belong to a new request.
  void StartRequest(TimePoint now);

  // The limit that the request has broken. What the library says of such a
  // request is dropped, so that a typed answer can take its place.
  ReadFault fault() const { return fault_; }

  // Writes past the library.
  void WriteAll(std::string_view data);

  // Closes; for at most `linger` what the caller still sends is thrown away, so
  // that it can read the answer first.
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
  bool WaitWritable() const;

  socket_t socket_;
  CallerLimits limits_;
  std::array<char, 4096> buffer_{};
  size_t begin_ = 0;
  size_t end_ = 0;
  size_t request_bytes_ = 0;
  TimePoint request_deadline_{};
  ReadFault fault_ = ReadFault::kNone;
};

}  // namespace dogwoodlatch::router
