#include "caller_server.h"

#include <map>
#include <sstream>
#include <string>
#include <utility>

#include "caller_stream.h"
#include "dogwoodlatch/util/program.h"
#include "http_responses.h"

namespace dogwoodlatch::router {
namespace {

using std::chrono::milliseconds;

// Extra threads that reject connections above the limit.
constexpr size_t kRejectionThreads = 4;
// How long input of a rejected caller is read and discarded before its
// connection is closed.
constexpr milliseconds kLingerTimeout{1000};
// The same for connections above the limit.
constexpr milliseconds kLingerTimeoutAtLimit{100};

constexpr Rejection kTooManyConnections{503, "too_many_connections",
                                        "the router serves as many connections "
                                        "as it may; come back later"};
constexpr Rejection kTooSlow{408, "request_timeout",
                             "the request came too slowly"};
constexpr Rejection kStopping{503, "router_stopping",
                              "the router ends before the request has arrived; "
                              "it was not run"};
constexpr Rejection kTooLarge{413, "body_too_large",
                              "the body is larger than the limit"};

// What the caller is told when its request was not read to its end.
const std::map<ReadFault, Rejection> kRejections{
    {ReadFault::kTooSlow, kTooSlow},
    {ReadFault::kTooLarge, kTooLarge},
    {ReadFault::kStopped, kStopping}};

// Formats a rejection as a complete HTTP response that is sent without the
// library.
std::string FormatRejection(const Rejection& rejection) {
  httplib::Response response;
  Reject(response, rejection.status, rejection.code, rejection.message);
  std::ostringstream text;
  text << "HTTP/1.1 " << rejection.status
       << " Refused\r\nConnection: close\r\nContent-Length: "
       << response.body.size() << "\r\n";
  for (const auto& [name, value] : response.headers) {
    text << name << ": " << value << "\r\n";
  }
  text << "\r\n" << response.body;
  return text.str();
}

bool HasBody(const httplib::Request& request) {
  return request.has_header("Transfer-Encoding") ||
         request.get_header_value<uint64_t>("Content-Length") > 0;
}

// Counts a connection in `count` for the lifetime of this object.
class ConnectionCount {
 public:
  explicit ConnectionCount(std::atomic<size_t>& count)
      : count_(count), ordinal_(++count) {}
  ~ConnectionCount() { --count_; }
  ConnectionCount(const ConnectionCount&) = delete;
  ConnectionCount& operator=(const ConnectionCount&) = delete;

  // Number of open connections, including this one, at construction.
  size_t ordinal() const { return ordinal_; }

 private:
  std::atomic<size_t>& count_;
  size_t ordinal_;
};

// The connection served on this thread. The library gives a handler no other
// means to detect a disconnect of its caller.
thread_local const CallerStream* served_stream = nullptr;

// Sets `served_stream` for the lifetime of this object.
class ServedStream {
 public:
  explicit ServedStream(const CallerStream& stream) { served_stream = &stream; }
  ~ServedStream() { served_stream = nullptr; }
  ServedStream(const ServedStream&) = delete;
  ServedStream& operator=(const ServedStream&) = delete;
};

}  // namespace

bool CallerServer::IsCallerConnected() {
  return served_stream == nullptr || served_stream->is_writable();
}

CallerServer::CallerServer(const CallerLimits& limits, HeaderCheck check)
    : limits_(limits), check_(std::move(check)) {
  new_task_queue = [this] {
    return new httplib::ThreadPool(limits_.max_connections + kRejectionThreads);
  };
  set_payload_max_length(limits_.max_body_bytes);
  set_tcp_nodelay(true);
  set_socket_options(SetExclusiveBind);
  set_pre_routing_handler([this](const httplib::Request& request,
                                 httplib::Response& response) {
    const std::optional<Rejection> rejection = Check(request);
    if (!rejection) return HandlerResponse::Unhandled;
    Reject(response, rejection->status, rejection->code, rejection->message);
    return HandlerResponse::Handled;
  });
}

std::optional<Rejection> CallerServer::Check(
    const httplib::Request& request) const {
  if (request.get_header_value<uint64_t>("Content-Length") >
      limits_.max_body_bytes) {
    return kTooLarge;
  }
  return check_(request);
}

bool CallerServer::process_and_close_socket(socket_t sock) {
  Serve(sock);
  return true;
}

void CallerServer::Serve(socket_t sock) {
  CallerStream stream(sock, limits_, [this] { return is_stopping(); });
  const ServedStream registration(stream);
  const ConnectionCount count(connections_);
  if (count.ordinal() > limits_.max_connections) {
    stream.WriteAll(FormatRejection(kTooManyConnections));
    return stream.Close(kLingerTimeoutAtLimit);
  }
  bool is_open = true;
  bool leaves_body_unread = false;
  while (is_open && stream.WaitForInput(SteadyNow() + limits_.idle_timeout)) {
    stream.StartRequest(SteadyNow());
    bool wants_close = false;
    bool has_headers = false;
    const auto check_headers = [&](httplib::Request& request) {
      has_headers = true;
      // The body of a rejected request stays unread, so the connection cannot
      // carry another request.
      leaves_body_unread = HasBody(request) && Check(request).has_value();
      if (leaves_body_unread) request.set_header("Connection", "close");
    };
    const bool served =
        process_request(stream, is_stopping(), wants_close, check_headers);
    // The start of the next request is unknown after a malformed one.
    leaves_body_unread = leaves_body_unread || !has_headers;
    is_open = served && !wants_close && !leaves_body_unread &&
              stream.fault() == ReadFault::kNone;
  }
  const auto rejection = kRejections.find(stream.fault());
  if (rejection != kRejections.end()) {
    stream.WriteAll(FormatRejection(rejection->second));
  }
  const bool was_read =
      stream.fault() == ReadFault::kNone && !leaves_body_unread;
  stream.Close(was_read ? milliseconds(0) : kLingerTimeout);
}

}  // namespace dogwoodlatch::router
