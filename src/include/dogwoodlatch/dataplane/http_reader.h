/// Incremental readers of HTTP/1.1 messages, over Boost.Beast's parser.
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
  std::string target;  ///< path and query as sent
  HeaderList headers;
  std::string body;
  bool keep_alive = true;

  /// The path without its query.
  std::string_view path() const;
};

struct ReaderLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 4UL * 1024 * 1024;
};

enum class ReadState {
  kNeedMore,
  kDone,
  kMalformed,      ///< not a request of the protocol, or ambiguous framing
  kHeaderTooLong,  ///< over the limit
  kBodyTooLong     ///< over the limit
};

/// Reads one request, head and body.
class RequestReader {
 public:
  explicit RequestReader(ReaderLimits limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Takes bytes from the front of `input`; what follows the request stays.
  ReadState Feed(std::string& input);

  /// True once any byte of the request was taken or waits for the rest.
  bool has_started() const { return started_; }

  /// True while the caller waits for leave to send its body.
  bool TakeContinueExpectation();

  /// The request, once kDone was returned.
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
  bool ends_at_close = false;  ///< no length: the peer's close ends it
  /// How long the peer keeps an idle connection, if it says so.
  std::optional<std::chrono::seconds> idle_limit;
};

/// Receives one answer as it is read.
class ResponseListener {
 public:
  virtual ~ResponseListener() = default;

  /// The head is here. False: the answer belongs to another request; it is
  /// read to its end without further calls, and the next one is awaited.
  virtual bool OnHead(const ResponseHead& head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;

  /// The answer is complete. No call follows.
  virtual void OnEnd() = 0;

  /// The connection ended before the answer did. No call follows.
  virtual void OnBroken() = 0;
};

/// Reads answers of one connection in turn.
class ResponseReader {
 public:
  ResponseReader();
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Starts on the next answer.
  void Reset();

  /// Takes bytes from the front of `input` and calls `listener`. False when
  /// they are no answer of the protocol. Stops after OnEnd's answer.
  bool Feed(std::string& input, ResponseListener& listener);

  /// The peer has closed the connection in order. True when that completes the
  /// answer in progress.
  bool FinishAtClose();

  bool done() const;
  const ResponseHead& head() const;

 private:
  class Parser;

  std::unique_ptr<Parser> parser_;
};

}  // namespace dogwoodlatch::dataplane
