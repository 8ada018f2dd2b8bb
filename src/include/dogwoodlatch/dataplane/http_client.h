/// Short calls with small answers over one kept connection, such as those to
/// the platform's store.
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

  static Call Get(std::string target, std::chrono::milliseconds timeout) {
    return Call{"GET", std::move(target), {}, {}, timeout};
  }
};

/// One call at a time. A connection on which a call failed is not used again.
class HttpClient {
 public:
  using Done = std::function<void(Result<CallResponse>)>;

  HttpClient(asio::io_context& context, std::string address);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls `done` once: with an answer, kUnavailable when no connection was
  /// made, or kUnknownOutcome when the call was sent and not answered.
  void Start(Call call, Done done);

  /// Ends the call in progress without its `done`.
  void Cancel();

 private:
  class Collector;

  asio::io_context& context_;
  std::string address_;
  UpstreamConnection::Pointer connection_;
  std::shared_ptr<Collector> current_;
};

}  // namespace dogwoodlatch::dataplane
