#include "dogwoodlatch/dataplane/upstream_connection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstddef>
#include <numeric>
#include <utility>

namespace dogwoodlatch::dataplane {
namespace {

constexpr size_t kReadBufferBytes = 16UL * 1024;

// TCP_USER_TIMEOUT: a connection whose data stays unacknowledged for this long
// is closed. Round trips take milliseconds, and TCP retransmits a lost packet
// after a few hundred.
constexpr std::chrono::milliseconds kTcpUserTimeout{1500};

// Idle connections are closed this long before the peer's idle timeout, so that
// a request does not race with the peer's close.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

// Used for peers that announce no idle timeout; they close idle connections
// after a few seconds.
constexpr Duration kDefaultIdleLimit = std::chrono::seconds(3);

constexpr size_t kMaxIdlePerTarget = 64;

// A connection that has carried this many requests is not used again, which
// bounds what it remembers of them.
constexpr size_t kMaxCarried = 256;

uint64_t HashId(std::string_view request_id) {
  return std::hash<std::string_view>{}(request_id);
}

template <int kLevel, int kName>
using IntegerOption = asio::detail::socket_option::integer<kLevel, kName>;

void ConfigureSocket(asio::ip::tcp::socket& socket) {
  std::error_code ignored;  // the connection works without these options too
  // Closing resets the connection. An orderly close would have the kernel go on
  // to deliver a request that was cancelled, or whose router has ended, to a
  // target that reads again seconds later.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                        static_cast<int>(kTcpUserTimeout.count())),
                    ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(1), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(1), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(2), ignored);
}

}  // namespace

std::string BuildRequestHead(std::string_view method, std::string_view target,
                             const HeaderList& headers, size_t body_bytes) {
  std::string head;
  head.reserve(512);
  head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(headers, head);
  const bool has_body = body_bytes > 0 || method == "POST" || method == "PUT";
  if (has_body) {
    head.append("Content-Length: ").append(std::to_string(body_bytes));
    head.append("\r\n");
  }
  return head.append("\r\n");
}

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  uint16_t port = 0;
  const std::string_view digits = address.substr(colon + 1);
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  std::error_code error;
  const auto ip =
      asio::ip::make_address_v4(std::string(address.substr(0, colon)), error);
  const bool is_complete_number =
      parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
  if (error || !is_complete_number || port == 0) return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

UpstreamConnection::UpstreamConnection(
    asio::io_context& context, std::shared_ptr<ByteBudget> pending_input)
    : socket_(context),
      connect_timer_(context),
      pending_input_budget_(std::move(pending_input)),
      read_buffer_(kReadBufferBytes, '\0') {
  if (pending_input_budget_) pending_input_.emplace(*pending_input_budget_);
}

// A socket that Asio's destructor closes would linger in the background.
UpstreamConnection::~UpstreamConnection() { Cancel(); }

void UpstreamConnection::Connect(const asio::ip::tcp::endpoint& endpoint,
                                 std::chrono::milliseconds timeout,
                                 std::function<void(std::error_code)> done) {
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait([self = shared_from_this()](std::error_code error) {
    if (error || self->is_open_) return;
    std::error_code ignored;
    self->socket_.close(ignored);
  });
  socket_.async_connect(endpoint,
                        [self = shared_from_this(),
                         done = std::move(done)](std::error_code error) {
                          self->connect_timer_.cancel();
                          if (!error && !self->socket_.is_open()) {
                            error = asio::error::timed_out;
                          }
                          if (!error) {
                            self->is_open_ = true;
                            ConfigureSocket(self->socket_);
                            self->idle_since_ = SteadyNow();
                          }
                          done(error);
                        });
}

void UpstreamConnection::Send(std::string head,
                              std::shared_ptr<const std::string> body,
                              ResponseListener* listener) {
  listener_ = listener;
  is_writing_ = true;
  is_paused_ = false;
  has_received_ = false;
  has_write_failed_ = false;
  reader_.Reset();
  head_ = std::move(head);
  body_ = std::move(body);
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head_), body_ ? asio::buffer(*body_) : asio::const_buffer()};
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](std::error_code error, size_t /*count*/) {
        self->OnWritten(error);
      });
  ReadMore();
}

// The read side reports the lost connection, after it has delivered any
// response that arrived before the failure.
void UpstreamConnection::OnWritten(std::error_code error) {
  is_writing_ = false;
  if (error) {
    keeps_alive_ = false;
    has_write_failed_ = true;
  }
  if (has_input_ended_ && is_open_) OnInputEnded(true);
}

void UpstreamConnection::RecordRequest(std::string_view request_id) {
  carried_.push_back(HashId(request_id));
}

bool UpstreamConnection::HasCarried(std::string_view request_id) const {
  return std::ranges::find(carried_, HashId(request_id)) != carried_.end();
}

void UpstreamConnection::Cancel() {
  listener_ = nullptr;
  is_open_ = false;
  if (pending_input_) pending_input_->Release();
  std::error_code ignored;
  socket_.close(ignored);
}

std::optional<size_t> UpstreamConnection::UnacknowledgedBytes() {
  int bytes = 0;
  const bool is_known =
      is_open_ && ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0;
  if (!is_known) return std::nullopt;
  return static_cast<size_t>(bytes);
}

void UpstreamConnection::ResumeReading() {
  is_paused_ = false;
  if (is_open_) ReadMore();
}

bool UpstreamConnection::IsReusable() const {
  return is_open_ && keeps_alive_ && !is_writing_ && input_.empty() &&
         listener_ == nullptr && carried_.size() < kMaxCarried;
}

UpstreamConnection::Input UpstreamConnection::Peek() {
  if (!is_open_) return Input::kEnd;
  char byte = 0;
  const ssize_t count =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return Input::kBytes;
  const bool is_empty =
      count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return is_empty ? Input::kNone : Input::kEnd;
}

bool UpstreamConnection::MayCarry(TimePoint now) const {
  const Duration limit =
      idle_limit_ ? Duration(*idle_limit_) - kIdleMargin : kDefaultIdleLimit;
  return IsReusable() && IdleFor(now) <= limit;
}

bool UpstreamConnection::OnHead(const ResponseHead& head) {
  return listener_ != nullptr && listener_->OnHead(head);
}

void UpstreamConnection::OnBody(std::string_view bytes) {
  if (listener_ != nullptr) listener_->OnBody(bytes);
}

void UpstreamConnection::ReadMore() {
  if (is_reading_ || is_paused_) return;
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](std::error_code error, size_t count) {
        self->is_reading_ = false;
        self->OnBytes(error, count);
      });
}

void UpstreamConnection::OnBytes(std::error_code error, size_t count) {
  if (!is_open_) return;
  if (error) {
    OnInputEnded(error == asio::error::eof);
    return;
  }
  has_received_ = true;
  input_.append(read_buffer_, 0, count);
  // Input without a pending request belongs to no response.
  if (listener_ == nullptr) {
    BreakConnection();
    return;
  }
  Consume();
}

// Without a length, only an orderly end of the connection shows that a response
// is complete. The system reports a reset once: to the write of the request if
// one is pending, after which reads find an orderly end. So the end counts only
// once the peer has taken the whole request.
void UpstreamConnection::OnInputEnded(bool is_orderly) {
  keeps_alive_ = false;
  if (is_orderly && is_writing_ && reader_.awaits_close()) {
    has_input_ended_ = true;
    return;
  }
  const bool is_complete = is_orderly && !has_write_failed_ &&
                           listener_ != nullptr && reader_.FinishAtClose();
  if (is_complete) FinishResponse();
  BreakConnection();
}

void UpstreamConnection::Consume() {
  // The listener's callbacks may cancel this connection or release its last
  // reference.
  const Pointer self = shared_from_this();
  const bool is_valid = reader_.Feed(input_, *this);
  if (listener_ == nullptr) return;
  const bool has_room =
      !pending_input_ || pending_input_->Resize(input_.size(), input_.size());
  if (!is_valid || !has_room) {
    BreakConnection();
    return;
  }
  if (reader_.done()) {
    FinishResponse();
    if (is_open_ && keeps_alive_ && input_.empty()) ReadMore();
    return;
  }
  ReadMore();
}

void UpstreamConnection::FinishResponse() {
  is_used_ = true;
  idle_since_ = SteadyNow();
  idle_limit_ = reader_.head().idle_limit;
  if (!reader_.head().keep_alive || is_writing_ || !input_.empty()) {
    keeps_alive_ = false;
  }
  ResponseListener* listener = std::exchange(listener_, nullptr);
  listener->OnEnd();
}

void UpstreamConnection::BreakConnection() {
  ResponseListener* listener = std::exchange(listener_, nullptr);
  Cancel();
  broken_at_ = SteadyNow();
  if (listener != nullptr) listener->OnConnectionLost();
}

UpstreamConnection::Pointer ConnectionPool::TakeIdle(
    const std::string& key, TimePoint now, Duration max_idle,
    std::string_view request_id) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  // From the one that has been idle for the shortest time, as each look costs a
  // system call.
  for (size_t i = connections.size(); i-- > 0;) {
    const auto at = connections.begin() + static_cast<std::ptrdiff_t>(i);
    UpstreamConnection::Pointer connection = *at;
    if (!connection->MayCarry(now) || !connection->IsQuiet()) {
      connection->Cancel();
      connections.erase(at);
      continue;
    }
    if (connection->IdleFor(now) > max_idle) return nullptr;
    if (connection->HasCarried(request_id)) continue;
    connections.erase(at);
    return connection;
  }
  return nullptr;
}

UpstreamConnection::Pointer ConnectionPool::Make() {
  return std::make_shared<UpstreamConnection>(context_, pending_input_);
}

void ConnectionPool::Return(const std::string& key,
                            UpstreamConnection::Pointer connection) {
  auto& connections = idle_[key];
  if (!connection->IsReusable() || connections.size() >= kMaxIdlePerTarget) {
    connection->Cancel();
    return;
  }
  connections.push_back(std::move(connection));
}

int ConnectionPool::DropBroken(const std::string& key, TimePoint since) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) return 0;
  int fresh = 0;
  std::erase_if(
      found->second, [&](const UpstreamConnection::Pointer& connection) {
        if (!connection->IsClosedByPeer()) return false;
        const TimePoint unread = TimePoint::max();
        const TimePoint broken_at = connection->broken_at().value_or(unread);
        if (broken_at >= since) ++fresh;
        connection->Cancel();
        return true;
      });
  return fresh;
}

// A pending read would keep a connection open that is only released.
void ConnectionPool::Drop(const std::string& key) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) return;
  for (const UpstreamConnection::Pointer& connection : found->second) {
    connection->Cancel();
  }
  idle_.erase(found);
}

void ConnectionPool::Sweep(TimePoint now) {
  for (auto& [key, connections] : idle_) {
    std::erase_if(connections,
                  [&](const UpstreamConnection::Pointer& connection) {
                    const bool is_expired = !connection->MayCarry(now);
                    if (is_expired) connection->Cancel();
                    return is_expired;
                  });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

size_t ConnectionPool::idle_count() const {
  return std::accumulate(
      idle_.begin(), idle_.end(), size_t{0},
      [](size_t sum, const auto& entry) { return sum + entry.second.size(); });
}

}  // namespace dogwoodlatch::dataplane
