/// HTTP client for short calls with small responses over one persistent
/// connection, such as calls to the platform's store.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "dogwoodlatch/dataplane/upstream_connection.h"
#include "dogwoodlatch/error.h"

namespace dogwoodlatch::dataplane {

struct CallResponse {
  int status = 0;
  HeaderList headers;
  std::string body;
};

struct Call {
  std::string method = "GET";
  std::string target;
  HeaderList headers;
  std::string body;
  std::chrono::milliseconds timeout{1000};
  /// A response with a longer body is an error.
  size_t max_body_bytes = 256UL * 1024;
  /// The call changes nothing, or only while a condition holds that its first
  /// success ends, so that it may be sent twice.
  bool may_repeat = false;

  static Call Get(std::string target, std::chrono::milliseconds timeout) {
    Call call;
    call.target = std::move(target);
    call.timeout = timeout;
    call.may_repeat = true;
    return call;
  }
};

/// Runs one call at a time. A connection on which a call failed is closed and
/// replaced at the next call. A call that may be repeated and meets the peer's
/// close of an idle connection is sent once more, on a new connection.
class HttpClient {
 public:
  using Done = std::function<void(Result<CallResponse>)>;

  HttpClient(asio::io_context& context, std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call and cancels the one in progress. Calls `done` once with the
  /// response, or with kUnavailable if no connection was made. All other errors
  /// mean that the call may have been carried out: kTooLong and kIncomplete if
  /// a part of the response's body has arrived, and kUnknownOutcome otherwise.
  void Start(Call call, Done done);

  /// Cancels the call in progress; its `done` is not called.
  void Cancel();

 private:
  class PendingCall;

  asio::io_context& context_;
  std::string address_;
  UpstreamConnection::Pointer connection_;
  std::shared_ptr<PendingCall> current_;
};

}  // namespace dogwoodlatch::dataplane
