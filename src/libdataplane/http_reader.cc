#include "dogwoodlatch/dataplane/http_reader.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <charconv>
#include <limits>
#include <utility>

#include "dogwoodlatch/heap_block.h"

namespace dogwoodlatch::dataplane {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

// Response heads of targets normally have a few hundred bytes.
constexpr uint32_t kMaxResponseHeadBytes = 16 * 1024;

// Bytes of interim and discarded responses before a response. A late second
// answer is as long as an answer; anything longer belongs to no request.
constexpr size_t kMaxSkippedBytes = 512UL * 1024;

// The parser consumes a chunk header with its extensions, and the trailers,
// only as a whole. Longer ones are refused.
constexpr size_t kMaxChunkHeaderBytes = 16UL * 1024;

// Fields of most requests; room for them is reserved at once, as growing the
// list costs more than the accounting does.
constexpr size_t kUsualFields = 16;

// Strings up to this capacity hold their text in themselves, in libstdc++; more
// in other libraries, where the sum is then too high.
constexpr size_t kInlineCapacity = 15;

size_t HeapBytes(const std::string& text) {
  return text.capacity() <= kInlineCapacity ? 0
                                            : BlockBytes(text.capacity() + 1);
}

std::string ToStd(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// RFC 9110: other numbers are no status. A protocol switch is never asked for,
// and no HTTP response would follow it.
bool IsStatus(int code) {
  constexpr int kSwitchingProtocols = 101;
  return code >= 100 && code <= 599 && code != kSwitchingProtocols;
}

std::optional<std::chrono::seconds> ParseIdleLimit(const HeaderList& headers) {
  const std::string_view value = FindHeader(headers, "keep-alive");
  constexpr std::string_view kTimeout = "timeout=";
  const size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view number = value.substr(at + kTimeout.size());
  int64_t seconds = 0;
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (parsed.ec != std::errc{}) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

std::string_view Request::path() const {
  const std::string_view target_view = target;
  return target_view.substr(0, target_view.find('?'));
}

class RequestReader::Parser final : public http::basic_parser<true> {
 public:
  Request request;
  bool expects_continue = false;
  size_t max_header_lines = 0;
  size_t max_body_bytes = 0;  // the limit, or the announced length
  size_t longest_value = 0;

  size_t HeldBytes() const {
    return sizeof(*this) + kBlockOverhead + field_bytes_ +
           BlockBytes(request.headers.capacity() * sizeof(Header)) +
           HeapBytes(request.method) + HeapBytes(request.target) +
           HeapBytes(request.body);
  }

 private:
  size_t field_bytes_ = 0;  // outside of the list of headers
  // Grows no further than to the body's greatest length, which the usual
  // doubling would exceed by up to as much again.
  void AppendBody(boost::beast::string_view bytes) {
    const size_t size = request.body.size() + bytes.size();
    if (size > request.body.capacity()) {
      request.body.reserve(std::clamp(request.body.capacity() * 2, size,
                                      std::max(size, max_body_bytes)));
    }
    request.body.append(bytes.data(), bytes.size());
  }
  void on_request_impl(http::verb /*verb*/, boost::beast::string_view method,
                       boost::beast::string_view target, int /*version*/,
                       error_code& /*ec*/) override {
    request.method = ToStd(method);
    request.target = ToStd(target);
    request.headers.reserve(kUsualFields);
  }
  void on_response_impl(int /*code*/, boost::beast::string_view /*reason*/,
                        int /*version*/, error_code& /*ec*/) override {}
  void on_field_impl(http::field /*field*/, boost::beast::string_view name,
                     boost::beast::string_view value, error_code& ec) override {
    if (request.headers.size() >= max_header_lines) {
      ec = http::error::header_limit;
      return;
    }
    request.headers.push_back({ToStd(name), ToStd(value)});
    const Header& header = request.headers.back();
    field_bytes_ += HeapBytes(header.name) + HeapBytes(header.value);
    longest_value = std::max(longest_value, header.value.size());
  }
  void on_header_impl(error_code& ec) override {
    const auto is_host = [](const Header& header) {
      return EqualsIgnoringCase(header.name, "host");
    };
    const auto is_transfer_encoding = [](const Header& header) {
      return EqualsIgnoringCase(header.name, "transfer-encoding");
    };
    // Rejects requests whose framing or host a target could interpret
    // differently from this process (request smuggling).
    const bool is_ambiguous =
        std::ranges::count_if(request.headers, is_host) != 1 ||
        std::ranges::any_of(request.headers, [&](const Header& header) {
          return is_transfer_encoding(header) &&
                 !EqualsIgnoringCase(header.value, "chunked");
        });
    if (is_ambiguous) ec = http::error::bad_value;
    expects_continue = EqualsIgnoringCase(FindHeader(request.headers, "expect"),
                                          "100-continue");
  }
  void on_body_init_impl(boost::optional<uint64_t> const& length,
                         error_code& /*ec*/) override {
    if (length) max_body_bytes = *length;
  }
  size_t on_body_impl(boost::beast::string_view body,
                      error_code& /*ec*/) override {
    AppendBody(body);
    return body.size();
  }
  void on_chunk_header_impl(uint64_t /*size*/,
                            boost::beast::string_view /*extensions*/,
                            error_code& /*ec*/) override {}
  size_t on_chunk_body_impl(uint64_t /*remain*/, boost::beast::string_view body,
                            error_code& /*ec*/) override {
    AppendBody(body);
    return body.size();
  }
  void on_finish_impl(error_code& /*ec*/) override {}
};

RequestReader::RequestReader(ReaderLimits limits)
    : parser_(std::make_unique<Parser>()) {
  parser_->eager(true);
  parser_->header_limit(limits.header_bytes);
  parser_->body_limit(limits.body_bytes);
  parser_->max_header_lines = limits.header_lines;
  parser_->max_body_bytes = limits.body_bytes;
}

RequestReader::~RequestReader() = default;

ReadState RequestReader::Feed(std::string& input) {
  while (!input.empty()) {
    // Skip empty lines before the request line.
    if (!started_ && input.starts_with("\r\n")) {
      input.erase(0, 2);
      continue;
    }
    started_ = true;
    error_code ec;
    const size_t consumed =
        parser_->put(boost::asio::const_buffer(input.data(), input.size()), ec);
    input.erase(0, consumed);
    if (ec == http::error::need_more) {
      const bool is_too_long =
          parser_->is_header_done() && input.size() > kMaxChunkHeaderBytes;
      return is_too_long ? ReadState::kHeaderTooLong : ReadState::kNeedMore;
    }
    if (ec == http::error::header_limit) return ReadState::kHeaderTooLong;
    if (ec == http::error::body_limit) return ReadState::kBodyTooLong;
    if (ec) return ReadState::kMalformed;
    if (parser_->is_done()) return ReadState::kDone;
  }
  return ReadState::kNeedMore;
}

bool RequestReader::has_head() const { return parser_->is_header_done(); }

size_t RequestReader::held_bytes() const { return parser_->HeldBytes(); }

size_t RequestReader::longest_value() const { return parser_->longest_value; }

const Request& RequestReader::head() const { return parser_->request; }

bool RequestReader::TakeContinueExpectation() {
  return parser_->is_header_done() &&
         std::exchange(parser_->expects_continue, false);
}

Request RequestReader::Take() {
  parser_->request.keep_alive = parser_->keep_alive();
  return std::move(parser_->request);
}

class ResponseReader::Parser final : public http::basic_parser<false> {
 public:
  ResponseHead head;
  ResponseListener* listener = nullptr;
  bool is_skipped = false;

 private:
  void on_request_impl(http::verb /*verb*/,
                       boost::beast::string_view /*method*/,
                       boost::beast::string_view /*target*/, int /*version*/,
                       error_code& /*ec*/) override {}
  void on_response_impl(int code, boost::beast::string_view /*reason*/,
                        int /*version*/, error_code& ec) override {
    head.status = code;
    if (!IsStatus(code)) ec = http::error::bad_status;
  }
  void on_field_impl(http::field /*field*/, boost::beast::string_view name,
                     boost::beast::string_view value,
                     error_code& /*ec*/) override {
    head.headers.push_back({ToStd(name), ToStd(value)});
  }
  void on_body_init_impl(boost::optional<uint64_t> const& /*length*/,
                         error_code& /*ec*/) override {}
  void on_header_impl(error_code& /*ec*/) override {
    head.keep_alive = keep_alive();
    head.ends_at_close = need_eof();
    head.idle_limit = ParseIdleLimit(head.headers);
    const bool is_interim = head.status < 200;
    is_skipped = is_interim || !listener->OnHead(head);
  }
  void Deliver(boost::beast::string_view body) {
    if (!is_skipped) listener->OnBody({body.data(), body.size()});
  }
  size_t on_body_impl(boost::beast::string_view body,
                      error_code& /*ec*/) override {
    Deliver(body);
    return body.size();
  }
  void on_chunk_header_impl(uint64_t /*size*/,
                            boost::beast::string_view /*extensions*/,
                            error_code& /*ec*/) override {}
  size_t on_chunk_body_impl(uint64_t /*remain*/, boost::beast::string_view body,
                            error_code& /*ec*/) override {
    Deliver(body);
    return body.size();
  }
  void on_finish_impl(error_code& /*ec*/) override {}
};

ResponseReader::ResponseReader() { Reset(); }
ResponseReader::~ResponseReader() = default;

void ResponseReader::Reset() {
  skipped_bytes_ = 0;
  StartParser();
}

void ResponseReader::StartParser() {
  parser_ = std::make_unique<Parser>();
  parser_->eager(true);
  parser_->header_limit(kMaxResponseHeadBytes);
  parser_->body_limit(std::numeric_limits<uint64_t>::max());
}

bool ResponseReader::Feed(std::string& input, ResponseListener& listener) {
  while (!input.empty()) {
    parser_->listener = &listener;
    error_code ec;
    const size_t consumed =
        parser_->put(boost::asio::const_buffer(input.data(), input.size()), ec);
    input.erase(0, consumed);
    if (parser_->is_skipped) skipped_bytes_ += consumed;
    if (skipped_bytes_ > kMaxSkippedBytes) return false;
    if (ec == http::error::need_more) {
      return !parser_->is_header_done() || input.size() <= kMaxChunkHeaderBytes;
    }
    if (ec) return false;
    if (!parser_->is_done()) continue;
    if (!parser_->is_skipped) return true;
    // The end of a skipped response without framing cannot be distinguished
    // from the start of the next response.
    if (parser_->head.ends_at_close) return false;
    StartParser();
  }
  return true;
}

bool ResponseReader::FinishAtClose() {
  if (!parser_->got_some() || parser_->is_done()) return false;
  error_code ec;
  parser_->put_eof(ec);
  return !ec && !parser_->is_skipped && parser_->is_done();
}

bool ResponseReader::done() const { return parser_->is_done(); }
const ResponseHead& ResponseReader::head() const { return parser_->head; }

bool ResponseReader::awaits_close() const {
  return parser_->is_header_done() && !parser_->is_done() &&
         !parser_->is_skipped && parser_->head.ends_at_close;
}

}  // namespace dogwoodlatch::dataplane
