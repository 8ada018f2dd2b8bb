/// Incremental HTTP/1.1 readers based on Boost.Beast's parser.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dogwoodlatch/dataplane/headers.h"

namespace dogwoodlatch::dataplane {

struct Request {
  std::string method;
  std::string target;  ///< request target: path and query as received
  HeaderList headers;
  std::string body;
  bool keep_alive = true;
  /// The body was not read, as the head is to be refused.
  bool lacks_body = false;

  /// Returns the path of `target` without the query.
  std::string_view path() const;
};

struct ReaderLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 4UL * 1024 * 1024;
  size_t header_lines = 4096;
};

enum class ReadState {
  kNeedMore,
  kDone,
  kMalformed,      ///< not valid HTTP/1.1, or ambiguous framing
  kHeaderTooLong,  ///< exceeds ReaderLimits::header_bytes or header_lines
  kBodyTooLong     ///< exceeds ReaderLimits::body_bytes
};

/// Reads one request: head and body.
class RequestReader {
 public:
  explicit RequestReader(ReaderLimits limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Consumes bytes from the front of `input`. Bytes after the end of the
  /// request stay in `input`.
  ReadState Feed(std::string& input);

  /// True once Feed has seen the first byte of the request.
  bool has_started() const { return started_; }

  /// True once the head is complete.
  bool has_head() const;

  /// Upper bound of the memory that the request occupies as parsed so far, with
  /// the reader itself.
  size_t held_bytes() const;

  /// Length of the longest value of a header field.
  size_t longest_value() const;

  /// The request without its body. Valid once has_head is true.
  const Request& head() const;

  /// Returns whether the header is complete and has `Expect: 100-continue`.
  /// True at most once per request.
  bool TakeContinueExpectation();

  /// Moves the request out. Valid once Feed has returned kDone, or once
  /// has_head is true for a request that is refused.
  Request Take();

 private:
  class Parser;

  std::unique_ptr<Parser> parser_;
  bool started_ = false;
};

struct ResponseHead {
  int status = 0;
  HeaderList headers;
  bool keep_alive = false;
  /// The response has neither a length nor chunks; it ends when the peer closes
  /// the connection.
  bool ends_at_close = false;
  /// Idle timeout that the peer announces in its Keep-Alive field, if any.
  std::optional<std::chrono::seconds> idle_limit;
};

/// Receives one response as it is read.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;

  /// The response head is complete. Returns false if the response belongs to
  /// another request: its body is then read and discarded without further
  /// calls, and the reader goes on to the next response.
  virtual bool OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;

  /// The response is complete. No further call follows.
  virtual void OnEnd() = 0;

  /// The connection was lost, or closed because of invalid input, before the
  /// response was complete. No further call follows.
  virtual void OnConnectionLost() = 0;
};

/// Reads the responses of one connection one at a time.
class ResponseReader {
 public:
  ResponseReader();
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Prepares for the next response.
  void Reset();

  /// Consumes bytes from the front of `input` and passes head and body to
  /// `listener`. Stops at the end of a response that the listener has accepted;
  /// done() is then true. Returns false if the bytes are not a valid response,
  /// if a discarded response has no known end, or if heads, discarded bytes,
  /// chunk extensions or trailers exceed their bounds.
  bool Feed(std::string& input, ResponseListener& listener);

  /// Handles an orderly close by the peer. Returns true if the close completes
  /// the current response.
  bool FinishAtClose();

  bool done() const;
  const ResponseHead& head() const;

  /// True once the head of a response has been read that a close completes.
  bool awaits_close() const;

 private:
  class Parser;

  void StartParser();

  std::unique_ptr<Parser> parser_;
  size_t skipped_bytes_ = 0;  ///< of interim and discarded responses
};

}  // namespace dogwoodlatch::dataplane
