// What a session holds, and how it gives way when memory or descriptors run
// short.
#include <algorithm>
#include <iterator>
#include <limits>
#include <vector>

#include "dogwoodlatch/dataplane/http_server_session.h"

namespace dogwoodlatch::dataplane {
namespace {

// Limit of pipelined input buffered while a request is served. Reading stops at
// the limit until the request has ended.
constexpr size_t kReadAheadBytes = 64UL * 1024;

// Largest read while a request is served and memory is scarce: enough to see
// that the caller has left.
constexpr size_t kScarceReadBytes = 1024;

// A list of prompt parts in a field, of four bytes each, takes this many times
// its text in the lists that are made from it. Shorter fields do not count.
constexpr size_t kDecodedFactor = 16;
constexpr size_t kUncountedFieldBytes = 256;

// Retry-After, in seconds, of requests refused because what is held for
// clients exceeds its limit.
constexpr const char* kOverloadedRetryAfter = "0.3";

// Age at which a connection that has had its last answer counts as stalled: its
// descriptor goes before that of any request.
constexpr Duration kLingeringStall = std::chrono::hours(1);

// Sent, as far as the system takes it, before the connection of a request that
// is not complete is closed.
constexpr std::string_view kNoDescriptorResponse =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n";

}  // namespace

ConnectionLoad HttpServerSession::InputLoad(TimePoint now) const {
  const bool is_refusable = reader_ && !is_serving_ && !is_closed_;
  return {.has_key = has_key_,
          .held_bytes = is_refusable ? input_bytes_.counted() : 0,
          .stalled = now - progress_at_};
}

ConnectionLoad HttpServerSession::OutputLoad(TimePoint now) const {
  return {.has_key = has_key_,
          .held_bytes = is_closed_ ? 0 : output_bytes_.counted(),
          .stalled = is_writing_ ? now - write_progress_at_ : Duration{0}};
}

// A request that is served may be running, and idle connections are judged by
// themselves.
ConnectionLoad HttpServerSession::DescriptorLoad(TimePoint now) const {
  Duration stalled{0};
  if (is_lingering_) {
    stalled = kLingeringStall;
  } else if (reader_ && !is_serving_) {
    stalled = now - progress_at_;
  } else if (is_writing_) {
    stalled = is_serving_ ? Duration{0} : now - write_progress_at_;
  }
  return {.has_key = has_key_, .held_bytes = 1, .stalled = stalled};
}

bool HttpServerSession::Evict(HttpServerState& state) {
  return EvictIdle(state) || EvictStalled(state);
}

bool HttpServerSession::EvictIdle(HttpServerState& state) {
  while (true) {
    const auto is_keyless = [](const HttpServerSession* session) {
      return session->IsIdle() && !session->has_key_;
    };
    auto oldest = std::ranges::find_if(state.idle_sessions, is_keyless);
    if (oldest == state.idle_sessions.end()) {
      oldest =
          std::ranges::find_if(state.idle_sessions, &HttpServerSession::IsIdle);
    }
    if (oldest == state.idle_sessions.end()) return false;
    const Pointer session = (*oldest)->shared_from_this();
    // A session that has input is idle no longer.
    if (session->CloseUnlessReadable(CloseReason::kEvicted)) return true;
  }
}

bool HttpServerSession::EvictStalled(HttpServerState& state) {
  const TimePoint now = SteadyNow();
  std::vector<ConnectionLoad> loads;
  std::ranges::transform(state.open_sessions, std::back_inserter(loads),
                         [&](const HttpServerSession* session) {
                           return session->DescriptorLoad(now);
                         });
  const auto chosen = ConnectionPressure(std::move(loads)).LeastActive();
  if (!chosen) return false;
  const Pointer session = (*std::next(state.open_sessions.begin(),
                                      static_cast<std::ptrdiff_t>(*chosen)))
                              ->shared_from_this();
  if (session->reader_ && !session->is_writing_) {
    std::error_code ignored;  // the caller gets no answer at worst
    session->socket_.write_some(asio::buffer(kNoDescriptorResponse.data(),
                                             kNoDescriptorResponse.size()),
                                ignored);
  }
  session->Close(CloseReason::kEvicted);
  return true;
}

bool HttpServerSession::MayRead() const {
  if (is_serving_) {
    return input_.size() < kReadAheadBytes &&
           (input_.empty() || !ledger_.IsInputScarce());
  }
  return !keeps_alive_ || !IsCongested();
}

size_t HttpServerSession::ReadSize() const {
  return is_serving_ && ledger_.IsInputScarce() ? kScarceReadBytes
                                                : state_->read_buffer.size();
}

size_t HttpServerSession::HeldInput() const {
  return (reader_ ? reader_->held_bytes() : served_bytes_) + input_.capacity();
}

void HttpServerSession::RefuseRequest() {
  RejectUnreadable(503, {{"Retry-After", kOverloadedRetryAfter}});
}

bool HttpServerSession::AcceptHead() {
  if (is_head_checked_ || !state_->check_head) return true;
  is_head_checked_ = true;
  const HeadVerdict verdict = state_->check_head(reader_->head());
  if (verdict == HeadVerdict::kValidKey) OnValidKey();
  if (verdict != HeadVerdict::kDenied) return true;
  ledger_.Report(RefusalReason::kDenied);
  Request request = reader_->Take();
  request.lacks_body = true;
  is_serving_ = true;
  is_unreadable_ = true;
  request_bytes_ = 0;
  keeps_alive_ = false;
  method_ = request.method;
  reader_.reset();
  dropped_bytes_ += input_.size();
  FreeMemory(input_);
  input_bytes_.Release();
  handler_(shared_from_this(), std::move(request));
  return false;
}

// Almost all requests are small and need no room.
bool HttpServerSession::AccountInput() {
  const size_t decoded = reader_->longest_value() > kUncountedFieldBytes
                             ? reader_->longest_value() * kDecodedFactor
                             : 0;
  served_bytes_ = reader_->held_bytes() + decoded;
  const size_t held = served_bytes_ + input_.capacity();
  constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();
  if (input_bytes_.Resize(held, kUnlimited)) return true;
  if (reader_->has_head() && !AcceptHead()) return false;
  if (ledger_.MakeRoom(*this, input_bytes_.Growth(held), SteadyNow()) &&
      input_bytes_.Resize(held, kUnlimited)) {
    return true;
  }
  ledger_.Report(RefusalReason::kMemory);
  RefuseRequest();
  return false;
}

void HttpServerSession::AccountOutput() {
  if (is_closed_) return;
  output_bytes_.Record(pending_output_.capacity() + write_buffer_.capacity());
  if (!ledger_.ExceedsOutput() || state_->is_relief_posted) return;
  // Posted, as the end of a connection may end the request whose handler is
  // writing.
  state_->is_relief_posted = true;
  asio::post(socket_.get_executor(), [state = state_] {
    state->is_relief_posted = false;
    state->ledger->RelieveOutput(SteadyNow());
  });
}

}  // namespace dogwoodlatch::dataplane
