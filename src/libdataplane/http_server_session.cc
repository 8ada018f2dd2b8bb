#include "dogwoodlatch/dataplane/http_server_session.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <utility>

namespace dogwoodlatch::dataplane {
namespace {

constexpr size_t kReadBufferBytes = 16UL * 1024;

// Limit of pipelined input buffered while a request is served. Reading stops at
// the limit until the request has ended.
constexpr size_t kReadAheadBytes = 64UL * 1024;

// Unsent response bytes above which the session is congested.
constexpr size_t kCongestionThresholdBytes = 128UL * 1024;

// Time to wait for the caller to close its side after the last response.
constexpr std::chrono::milliseconds kLingerTimeout{1000};

// Margin beyond the configured time for a request head, for its way here.
constexpr std::chrono::milliseconds kHeadMargin{1000};

// Longest time for which a request body may be read. A body that makes progress
// is not cut before.
constexpr std::chrono::seconds kMaxBodyTime{60};

// Retry-After, in seconds, of requests refused because too many bodies are
// held.
constexpr const char* kOverloadedRetryAfter = "0.3";

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

std::string_view ToString(CloseReason reason) {
  static constexpr std::array<std::string_view, 8> kNames = {
      "by_caller", "idle",       "head_too_slow",       "body_too_slow",
      "stop",      "unreadable", "after_last_response", "aborted"};
  return kNames.at(static_cast<size_t>(reason));
}

// A caller that leaves gives up its response. Requests that are unreadable or
// broken off have events of their own.
bool MayHaveLostRequest(const ConnectionEnd& end) {
  switch (end.reason) {
    case CloseReason::kByCaller:
      return end.unread_bytes > 0;
    case CloseReason::kUnreadable:
    case CloseReason::kAborted:
      return false;
    default:
      return end.unread_bytes + end.partial_bytes + end.unsent_bytes +
                 end.dropped_bytes >
             0;
  }
}

HttpServerSession::HttpServerSession(asio::ip::tcp::socket socket,
                                     HttpServerState& state, Handler handler)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      state_(state),
      handler_(std::move(handler)),
      read_buffer_(kReadBufferBytes, '\0'),
      body_bytes_(state.body_budget) {
  ++state_.sessions;
}

HttpServerSession::~HttpServerSession() { --state_.sessions; }

void HttpServerSession::Start() {
  std::error_code ignored;  // failure costs latency only
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  ParseNext();
}

void HttpServerSession::ReadMore() {
  if (is_reading_ || is_closed_) return;
  if (is_serving_ && input_.size() >= kReadAheadBytes) return;
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](std::error_code error, size_t count) {
        self->is_reading_ = false;
        self->OnBytes(error, count);
      });
}

void HttpServerSession::OnBytes(std::error_code error, size_t count) {
  if (is_closed_) return;
  if (error) {
    Close(is_lingering_ ? ReasonOfLingering() : CloseReason::kByCaller);
    return;
  }
  if (is_lingering_) {
    dropped_bytes_ += count;
    ReadMore();
    return;
  }
  input_.append(read_buffer_, 0, count);
  if (!is_serving_) request_bytes_ += count;
  if (is_serving_) {
    ReadMore();
  } else {
    ParseNext();
  }
}

void HttpServerSession::ParseNext() {
  if (is_closed_ || is_serving_) return;
  if (!reader_) {
    reader_.emplace(
        ReaderLimits{state_.limits.header_bytes, state_.limits.body_bytes});
  }
  const bool was_started = reader_->has_started();
  const ReadState state = reader_->Feed(input_);
  if (!was_started) request_started_ = SteadyNow();
  const size_t body_growth = reader_->body_size() - counted_body_bytes_;
  const bool is_readable =
      state == ReadState::kNeedMore || state == ReadState::kDone;
  if (is_readable && !body_bytes_.Grow(body_growth, state_.limits.body_bytes)) {
    RejectUnreadable(503, {{"Retry-After", kOverloadedRetryAfter}});
    return;
  }
  counted_body_bytes_ += body_growth;
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
      RejectUnreadable(431);
      return;
    case ReadState::kBodyTooLong:
      RejectUnreadable(413);
      return;
    case ReadState::kDone:
      break;
  }
  timer_.cancel();
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
  SendResponse(status, headers, "");
}

void HttpServerSession::ArmTimer() {
  const bool has_started = reader_ && reader_->has_started();
  const TimePoint idle_end = SteadyNow() + state_.limits.idle_timeout;
  if (!has_started) {
    timer_.expires_at(idle_end);
  } else if (!reader_->has_head()) {
    timer_.expires_at(request_started_ + state_.limits.header_timeout +
                      kHeadMargin);
  } else {
    timer_.expires_at(std::min(idle_end, request_started_ + kMaxBodyTime));
  }
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const Pointer self = weak.lock();
    if (error || !self || self->is_serving_) return;
    self->Close(self->ReasonOfTimer());
  });
}

CloseReason HttpServerSession::ReasonOfTimer() const {
  if (!reader_ || !reader_->has_started()) return CloseReason::kIdle;
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
  if (state_.is_closing) keeps_alive_ = false;
  std::string bytes = StatusLine(status);
  AppendHeaders(headers, bytes);
  if (!keeps_alive_) bytes.append("Connection: close\r\n");
  bytes.append("Content-Length: ").append(std::to_string(body.size()));
  bytes.append("\r\n\r\n");
  if (method_ != "HEAD") bytes.append(body);
  Write(bytes);
  FinishResponse();
}

void HttpServerSession::StartChunkedResponse(int status,
                                             const HeaderList& headers) {
  if (is_closed_) return;
  if (state_.is_closing) keeps_alive_ = false;
  std::string bytes = StatusLine(status);
  AppendHeaders(headers, bytes);
  if (!keeps_alive_) bytes.append("Connection: close\r\n");
  bytes.append("Transfer-Encoding: chunked\r\n\r\n");
  Write(bytes);
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
  return pending_output_.size() + write_buffer_.size() >
         kCongestionThresholdBytes;
}

void HttpServerSession::CloseIfIdle() {
  const bool has_started = reader_ && reader_->has_started();
  if (!is_serving_ && !has_started && !is_writing_ && input_.empty()) {
    Close(CloseReason::kStop);
  }
}

void HttpServerSession::Write(std::string_view bytes) {
  pending_output_.append(bytes);
  Flush();
}

void HttpServerSession::Flush() {
  if (is_writing_ || is_closed_ || pending_output_.empty()) return;
  is_writing_ = true;
  write_buffer_ = std::exchange(pending_output_, {});
  asio::async_write(
      socket_, asio::buffer(write_buffer_),
      [self = shared_from_this()](std::error_code error, size_t /*count*/) {
        self->is_writing_ = false;
        self->write_buffer_.clear();
        if (error) {
          self->Close(CloseReason::kByCaller);
          return;
        }
        self->Flush();
        if (!self->IsCongested() && self->on_drained_) {
          std::exchange(self->on_drained_, nullptr)();
        }
        if (!self->is_serving_ && !self->keeps_alive_) self->Linger();
      });
}

void HttpServerSession::FinishResponse() {
  is_serving_ = false;
  body_bytes_.Release();
  counted_body_bytes_ = 0;
  on_disconnect_ = nullptr;
  on_drained_ = nullptr;
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
  dropped_bytes_ = input_.size();
  input_.clear();
  std::error_code ignored;  // the caller may have closed the connection
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  timer_.expires_after(kLingerTimeout);
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    const Pointer self = weak.lock();
    if (!error && self) self->Close(self->ReasonOfLingering());
  });
  ReadMore();
}

void HttpServerSession::ReportEnd(CloseReason reason) const {
  if (!state_.on_connection_end) return;
  std::error_code error;  // a socket that has failed holds nothing to read
  const size_t unread_bytes = socket_.available(error);
  state_.on_connection_end(
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
  body_bytes_.Release();
  timer_.cancel();
  std::error_code ignored;  // a failed close leaves nothing to do
  socket_.close(ignored);
  on_drained_ = nullptr;
  if (auto handler = std::exchange(on_disconnect_, nullptr)) handler();
}

}  // namespace dogwoodlatch::dataplane
