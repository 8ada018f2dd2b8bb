#include "dogwoodlatch/dataplane/http_server_session.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <utility>

namespace dogwoodlatch::dataplane {
namespace {

// Unsent response bytes above which the session is congested while memory for
// them is scarce.
constexpr size_t kScarceUnsentBytes = 16UL * 1024;

// Bytes of a request that count as progress: a caller that sends a byte now and
// then makes none.
constexpr size_t kProgressBytes = 4UL * 1024;

// Bytes that one write operation passes to the system at most.
constexpr size_t kMaxWriteBytes = 64UL * 1024;

// Idle time after which a stopping process closes a connection. Callers that
// have just connected or are in the middle of a series send a request sooner,
// and its response tells them to use the connection no more.
constexpr std::chrono::milliseconds kStopIdleTime{1000};

// Time in which a request follows the setup of its connection.
constexpr std::chrono::milliseconds kCrossingTime{20};

// Time to wait for the caller to close its side after the last response.
constexpr std::chrono::milliseconds kLingerTimeout{1000};

// Margin beyond the configured time for a request head, for its way here.
constexpr std::chrono::milliseconds kHeadMargin{1000};

// Longest time for which a request body may be read. A body that makes progress
// is not cut before.
constexpr std::chrono::seconds kMaxBodyTime{60};

std::string StatusLine(int status) {
  const auto reason = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(status));
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  line.append(reason.data(), reason.size());
  return line.append("\r\n");
}

std::string EncodeChunk(std::string_view bytes) {
  char size[20];
  const int length = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  std::string chunk;
  chunk.reserve(bytes.size() + 24);
  chunk.append(size, static_cast<size_t>(length)).append(bytes);
  return chunk.append("\r\n");
}

}  // namespace

HttpServerSession::HttpServerSession(asio::ip::tcp::socket socket,
                                     std::shared_ptr<HttpServerState> state,
                                     Handler handler)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      state_(std::move(state)),
      handler_(std::move(handler)),
      ledger_(*state_->ledger),
      ledger_position_(ledger_.Add(this)),
      open_position_(
          state_->open_sessions.insert(state_->open_sessions.end(), this)),
      input_bytes_(ledger_.input()),
      output_bytes_(ledger_.output()) {
  ++state_->sessions;
}

HttpServerSession::~HttpServerSession() {
  LeaveIdle();
  ledger_.Remove(ledger_position_);
  if (is_closed_) return;
  state_->open_sessions.erase(open_position_);
  --state_->sessions;
}

void HttpServerSession::Start() {
  std::error_code error;  // failure costs latency only
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  if (error) {
    Close(CloseReason::kByCaller);
    return;
  }
  if (state_->sessions > state_->max_sessions) {
    ledger_.Report(RefusalReason::kDescriptors);
    if (!Evict(*state_)) {
      Close(CloseReason::kEvicted);
      return;
    }
  }
  ParseNext();
}

// Waits for input before it takes the buffer, which all sessions share: idle
// connections hold no memory for input.
void HttpServerSession::ReadMore() {
  if (is_reading_ || is_closed_ || !MayRead()) return;
  is_reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code error) {
                       self->is_reading_ = false;
                       self->OnReadable(error);
                     });
}

void HttpServerSession::OnReadable(std::error_code error) {
  if (is_closed_) return;
  if (error) {
    Close(is_lingering_ ? ReasonOfLingering() : CloseReason::kByCaller);
    return;
  }
  ReadAvailable();
  ReadMore();
}

bool HttpServerSession::ReadAvailable() {
  if (is_closed_ || !MayRead()) return false;
  std::error_code error;
  const size_t count =
      socket_.read_some(asio::buffer(state_->read_buffer, ReadSize()), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    return false;
  }
  if (error) {
    Close(is_lingering_ ? ReasonOfLingering() : CloseReason::kByCaller);
    return false;
  }
  last_read_ = SteadyNow();
  const std::string_view bytes(state_->read_buffer.data(), count);
  if (is_serving_) {
    input_.append(bytes);
    input_bytes_.Record(HeldInput());
  } else if (!keeps_alive_) {
    dropped_bytes_ += count;
  } else {
    LeaveIdle();
    input_.append(bytes);
    request_bytes_ += count;
    if (request_bytes_ - progress_bytes_ >= kProgressBytes) {
      progress_bytes_ = request_bytes_;
      progress_at_ = last_read_;
    }
    ParseNext();
  }
  return true;
}

void HttpServerSession::StartRequest() {
  reader_.emplace(ReaderLimits{.header_bytes = state_->limits.header_bytes,
                               .body_bytes = state_->limits.body_bytes,
                               .header_lines = ledger_.limits().header_lines});
  request_started_ = SteadyNow();
  progress_at_ = request_started_;
  progress_bytes_ = request_bytes_;
  is_head_checked_ = false;
}

void HttpServerSession::ParseNext() {
  if (is_closed_ || is_serving_ || !keeps_alive_) return;
  is_parse_pending_ = IsCongested();
  if (is_parse_pending_) return;
  if (!reader_ && input_.empty()) {
    BecomeIdle();
    return;
  }
  LeaveIdle();
  if (!reader_) StartRequest();
  const ReadState state = reader_->Feed(input_);
  // Empty lines between requests.
  if (state == ReadState::kNeedMore && !reader_->has_started() &&
      input_.empty()) {
    reader_.reset();
    BecomeIdle();
    return;
  }
  const bool awaits_body = state == ReadState::kNeedMore && reader_->has_head();
  if (awaits_body && !AcceptHead()) return;
  const bool is_readable =
      state == ReadState::kNeedMore || state == ReadState::kDone;
  if (is_readable && !AccountInput()) return;
  if (reader_->TakeContinueExpectation() && state == ReadState::kNeedMore) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  switch (state) {
    case ReadState::kNeedMore:
      ArmTimer();
      ReadMore();
      return;
    case ReadState::kMalformed:
      RejectUnreadable(400);
      return;
    case ReadState::kHeaderTooLong:
      ledger_.Report(RefusalReason::kHeaderLines);
      RejectUnreadable(431);
      return;
    case ReadState::kBodyTooLong:
      RejectUnreadable(413);
      return;
    case ReadState::kDone:
      break;
  }
  is_serving_ = true;
  request_bytes_ = 0;
  Request request = reader_->Take();
  reader_.reset();
  keeps_alive_ = request.keep_alive;
  method_ = request.method;
  ReadMore();
  handler_(shared_from_this(), std::move(request));
}

// The start of the next request is unknown after one that could not be parsed,
// so the connection closes after this response.
void HttpServerSession::RejectUnreadable(int status,
                                         const HeaderList& headers) {
  is_serving_ = true;
  is_unreadable_ = true;
  request_bytes_ = 0;
  keeps_alive_ = false;
  reader_.reset();
  dropped_bytes_ += input_.size();
  FreeMemory(input_);
  SendResponse(status, headers, "");
}

void HttpServerSession::BecomeIdle() {
  if (!idle_position_) {
    idle_since_ = SteadyNow();
    idle_position_ =
        state_->idle_sessions.insert(state_->idle_sessions.end(), this);
    request_bytes_ = 0;
    FreeMemory(input_);
    input_bytes_.Release();
  }
  ArmTimer();
  ReadMore();
}

void HttpServerSession::LeaveIdle() {
  if (!idle_position_) return;
  state_->idle_sessions.erase(*idle_position_);
  idle_position_.reset();
}

bool HttpServerSession::CloseUnlessReadable(CloseReason reason) {
  if (ReadAvailable()) {
    ReadMore();
    return false;
  }
  Close(reason);
  return true;
}

// The idle timeout is what a caller may use, and its last request may still be
// on its way when it ends; so an idle connection is kept well beyond it. Always
// computed from the limits that are in force now.
TimePoint HttpServerSession::CloseTime() const {
  const Duration limit = state_->limits.idle_timeout;
  if (is_lingering_) return linger_end_;
  if (!reader_) {
    const TimePoint since =
        is_writing_ ? std::max(idle_since_, write_progress_at_) : idle_since_;
    return since + limit + std::max<Duration>(limit, state_->min_idle_margin);
  }
  if (!reader_->has_head()) {
    return request_started_ + state_->limits.header_timeout + kHeadMargin;
  }
  return std::min(std::max(last_read_, request_started_) + limit,
                  request_started_ + kMaxBodyTime);
}

// A wait that ends too early is repeated, so that most requests need no change
// of the timer.
void HttpServerSession::ArmTimer() {
  const TimePoint end = CloseTime();
  if (timer_end_ <= end) return;
  timer_end_ = end;
  timer_.expires_at(end);
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const Pointer self = weak.lock();
    if (!error && self) self->OnTimer();
  });
}

// The handler may have been queued when the state changed, and the process may
// have stood still while input arrived. So input is read before the decision,
// which is made from the present state.
void HttpServerSession::OnTimer() {
  timer_end_ = TimePoint::max();
  if (is_closed_ || is_serving_) return;
  if (keeps_alive_ && ReadAvailable()) {
    // Posted, so that a caller that sends without end does not hold the loop.
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->OnTimer(); });
    return;
  }
  if (is_closed_) return;
  if (SteadyNow() < CloseTime()) {
    ArmTimer();
    return;
  }
  Close(ReasonOfTimer());
}

CloseReason HttpServerSession::ReasonOfTimer() const {
  if (!keeps_alive_) return ReasonOfLingering();
  if (!reader_) return CloseReason::kIdle;
  return reader_->has_head() ? CloseReason::kBodyTooSlow
                             : CloseReason::kHeadTooSlow;
}

CloseReason HttpServerSession::ReasonOfLingering() const {
  return is_unreadable_ ? CloseReason::kUnreadable
                        : CloseReason::kAfterLastResponse;
}

void HttpServerSession::SendResponse(int status, const HeaderList& headers,
                                     std::string_view body) {
  if (is_closed_) return;
  if (state_->is_closing) keeps_alive_ = false;
  std::string bytes = StatusLine(status);
  AppendHeaders(headers, bytes);
  if (!keeps_alive_) bytes.append("Connection: close\r\n");
  bytes.append("Content-Length: ").append(std::to_string(body.size()));
  bytes.append("\r\n\r\n");
  if (method_ != "HEAD") bytes.append(body);
  Write(std::move(bytes));
  FinishResponse();
}

void HttpServerSession::StartChunkedResponse(int status,
                                             const HeaderList& headers) {
  if (is_closed_) return;
  if (state_->is_closing) keeps_alive_ = false;
  std::string bytes = StatusLine(status);
  AppendHeaders(headers, bytes);
  if (!keeps_alive_) bytes.append("Connection: close\r\n");
  bytes.append("Transfer-Encoding: chunked\r\n\r\n");
  Write(std::move(bytes));
}

void HttpServerSession::SendChunk(std::string_view bytes) {
  if (is_closed_ || bytes.empty()) return;
  Write(EncodeChunk(bytes));
}

void HttpServerSession::EndChunkedResponse() {
  if (is_closed_) return;
  Write("0\r\n\r\n");
  FinishResponse();
}

void HttpServerSession::Abort() {
  on_disconnect_ = nullptr;
  Close(CloseReason::kAborted);
}

bool HttpServerSession::IsCongested() const {
  const size_t unsent = pending_output_.size() + write_buffer_.size();
  return unsent > ledger_.limits().unsent_bytes ||
         (unsent > kScarceUnsentBytes && ledger_.IsOutputScarce());
}

void HttpServerSession::CloseIfIdle() {
  if (!IsIdle()) return;
  if (SteadyNow() - idle_since_ < kStopIdleTime) return;
  CloseUnlessReadable(CloseReason::kStop);
}

bool HttpServerSession::IsBusy() const {
  if (is_closed_ || is_lingering_) return false;
  return !IsIdle() || SteadyNow() - idle_since_ < kCrossingTime;
}

void HttpServerSession::Write(std::string bytes) {
  if (pending_output_.empty()) {
    pending_output_ = std::move(bytes);
  } else {
    pending_output_.append(bytes);
  }
  Flush();
  AccountOutput();
}

void HttpServerSession::Flush() {
  if (is_writing_ || is_closed_ || pending_output_.empty()) return;
  is_writing_ = true;
  write_buffer_ = std::exchange(pending_output_, {});
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [this](std::error_code error, size_t /*count*/) {
        write_progress_at_ = SteadyNow();
        return error ? 0 : kMaxWriteBytes;
      },
      [self = shared_from_this()](std::error_code error, size_t /*count*/) {
        self->is_writing_ = false;
        FreeMemory(self->write_buffer_);
        if (error) {
          self->Close(CloseReason::kByCaller);
          return;
        }
        self->Flush();
        self->AccountOutput();
        if (!self->IsCongested() && self->on_drained_) {
          std::exchange(self->on_drained_, nullptr)();
        }
        if (!self->is_serving_ && !self->keeps_alive_) self->Linger();
        if (self->is_parse_pending_) self->ParseNext();
      });
}

void HttpServerSession::FinishResponse() {
  is_serving_ = false;
  served_bytes_ = 0;
  input_bytes_.Record(HeldInput());
  on_disconnect_ = nullptr;
  on_drained_ = nullptr;
  idle_since_ = SteadyNow();
  ArmTimer();
  if (!keeps_alive_) return;
  // Posted to the event loop so that pipelined requests do not recurse.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->ParseNext(); });
}

// Closing a socket with unread input sends a reset, which can make the caller
// lose the response. Input is therefore drained until the caller closes its
// side or the timeout expires.
void HttpServerSession::Linger() {
  if (is_lingering_ || is_closed_ || is_writing_) return;
  is_lingering_ = true;
  dropped_bytes_ += input_.size();
  FreeMemory(input_);
  std::error_code ignored;  // the caller may have closed the connection
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  linger_end_ = SteadyNow() + kLingerTimeout;
  ArmTimer();
  ReadMore();
}

void HttpServerSession::ReportEnd(CloseReason reason) const {
  if (!state_->on_connection_end) return;
  std::error_code error;  // a socket that has failed holds nothing to read
  const size_t unread_bytes = socket_.available(error);
  state_->on_connection_end(
      {.reason = reason,
       .unread_bytes = error ? 0 : unread_bytes,
       .partial_bytes = is_serving_ ? 0 : request_bytes_,
       .unsent_bytes = pending_output_.size() + write_buffer_.size(),
       .dropped_bytes = dropped_bytes_});
}

void HttpServerSession::Close(CloseReason reason) {
  if (is_closed_) return;
  is_closed_ = true;
  ReportEnd(reason);
  state_->open_sessions.erase(open_position_);
  --state_->sessions;
  input_bytes_.Release();
  output_bytes_.Release();
  LeaveIdle();
  timer_.cancel();
  std::error_code ignored;  // a failed close leaves nothing to do
  socket_.close(ignored);
  on_drained_ = nullptr;
  if (auto handler = std::exchange(on_disconnect_, nullptr)) handler();
}

}  // namespace dogwoodlatch::dataplane
