#include "caller_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace dogwoodlatch::router {
namespace {

using std::chrono::milliseconds;

// Allowance for the request line and headers in addition to the body limit.
constexpr size_t kMaxHeaderBytes = 65536;
constexpr milliseconds kStopPollInterval{100};

// Returns whether `events` or an error occur on the socket within `wait`.
bool Poll(socket_t sock, int16_t events, milliseconds wait) {
  pollfd entry{sock, events, 0};
  int ready = 0;
  do {
    ready = poll(&entry, 1,
                 static_cast<int>(
                     std::max<int64_t>(0, static_cast<int64_t>(wait.count()))));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

// Signature of getpeername and getsockname.
using AddressGetter = int (*)(int, sockaddr*, socklen_t*);

// Stores the address that `get_address` reports; leaves `ip` and `port`
// unchanged if it fails or the address is not IPv4.
void ReadIpv4Address(socket_t sock, AddressGetter get_address, std::string& ip,
                     int& port) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  auto* address = reinterpret_cast<sockaddr*>(&storage);
  if (get_address(sock, address, &size) != 0 || address->sa_family != AF_INET) {
    return;
  }
  const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&storage);
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(ipv4->sin_port);
}

}  // namespace

CallerStream::CallerStream(socket_t sock, const CallerLimits& limits,
                           std::function<bool()> is_stopping)
    : socket_(sock), limits_(limits), is_stopping_(std::move(is_stopping)) {}

// Polls in short intervals so that a stop is not delayed.
bool CallerStream::WaitForInput(TimePoint end) const {
  while (!is_stopping_() && SteadyNow() < end) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - SteadyNow());
    if (WaitReadable(std::min(left, kStopPollInterval))) return true;
  }
  return WaitReadable(milliseconds(0));
}

bool CallerStream::WaitReadable(milliseconds wait) const {
  return begin_ < end_ || Poll(socket_, POLLIN, wait);
}

void CallerStream::StartRequest(TimePoint now) {
  request_deadline_ = now + limits_.request_timeout;
  request_bytes_ = 0;
}

void CallerStream::WriteAll(std::string_view data) {
  while (!data.empty() && WaitWritable()) {
    const ssize_t sent = send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0) return;
    data.remove_prefix(static_cast<size_t>(sent));
  }
}

// Closing a socket with unread input resets the connection and the caller loses
// the response. Input is therefore read and discarded for a limited time.
void CallerStream::Close(milliseconds linger) {
  shutdown(socket_, SHUT_WR);
  const TimePoint end = SteadyNow() + linger;
  while (linger.count() > 0) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - SteadyNow());
    if (left.count() <= 0 || !Poll(socket_, POLLIN, left)) break;
    if (recv(socket_, buffer_.data(), buffer_.size(), 0) <= 0) break;
  }
  close(socket_);
}

bool CallerStream::is_readable() const {
  return WaitReadable(limits_.read_timeout);
}

// Called by the library before each part of a streamed response. Peeks at the
// input to detect a disconnect, which appears as end of stream.
bool CallerStream::is_writable() const {
  if (!WaitWritable()) return false;
  char byte = 0;
  const ssize_t seen = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return seen > 0 || (seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

ssize_t CallerStream::read(char* ptr, size_t size) {
  if (begin_ == end_ && !Fill()) return -1;
  const size_t count = std::min(size, end_ - begin_);
  std::memcpy(ptr, buffer_.data() + begin_, count);
  begin_ += count;
  request_bytes_ += count;
  if (request_bytes_ > limits_.max_body_bytes + kMaxHeaderBytes) {
    fault_ = ReadFault::kTooLarge;
    return -1;
  }
  return static_cast<ssize_t>(count);
}

ssize_t CallerStream::write(const char* ptr, size_t size) {
  if (fault_ != ReadFault::kNone) return static_cast<ssize_t>(size);
  if (!WaitWritable()) return -1;
  return send(socket_, ptr, size, MSG_NOSIGNAL);
}

void CallerStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ReadIpv4Address(socket_, getpeername, ip, port);
}

void CallerStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ReadIpv4Address(socket_, getsockname, ip, port);
}

bool CallerStream::Fill() {
  if (!WaitForInput(
          std::min(request_deadline_, SteadyNow() + limits_.read_timeout))) {
    fault_ = is_stopping_() ? ReadFault::kStopped : ReadFault::kTooSlow;
    return false;
  }
  const ssize_t count = recv(socket_, buffer_.data(), buffer_.size(), 0);
  if (count <= 0) return false;
  begin_ = 0;
  end_ = static_cast<size_t>(count);
  return true;
}

bool CallerStream::WaitWritable() const {
  return Poll(socket_, POLLOUT, limits_.write_timeout);
}

}  // namespace dogwoodlatch::router
