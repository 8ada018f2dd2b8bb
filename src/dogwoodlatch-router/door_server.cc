#include "door_server.h"

#include <sstream>
#include <string>
#include <utility>

#include "dogwoodlatch/util/program.h"
#include "door_stream.h"
#include "http_answers.h"

namespace dogwoodlatch::router {
namespace {

using std::chrono::milliseconds;

// Threads beyond the limit of connections: they refuse the rest.
constexpr size_t kRefusingThreads = 4;
constexpr milliseconds kStopPoll{100};
// How long a refused sender may go on before its connection is cut.
constexpr milliseconds kLinger{1000};
constexpr milliseconds kLingerWhenFull{100};

constexpr Refusal kTooManyConnections{503, "too_many_connections",
                                      "the router serves as many connections "
                                      "as it may; come back later"};
constexpr Refusal kTooSlow{408, "request_timeout",
                           "the request came too slowly"};
constexpr Refusal kTooLarge{413, "body_too_large",
                            "the body is larger than the limit"};

// An answer that does not go through the library.
std::string RawAnswer(const Refusal& refusal) {
  httplib::Response response;
  Reject(response, refusal.status, refusal.code, refusal.message);
  std::ostringstream text;
  text << "HTTP/1.1 " << refusal.status
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

// Counts a connection while it is served.
class ConnectionCount {
 public:
  explicit ConnectionCount(std::atomic<size_t>& count)
      : count_(count), place_(++count) {}
  ~ConnectionCount() { --count_; }
  ConnectionCount(const ConnectionCount&) = delete;
  ConnectionCount& operator=(const ConnectionCount&) = delete;

  // Which of the open connections this one was when it came.
  size_t place() const { return place_; }

 private:
  std::atomic<size_t>& count_;
  size_t place_;
};

// Waits for the next request in short steps, so that a stop is not held up.
template <typename IsStopping>
bool WaitForRequest(const DoorStream& stream, milliseconds wait,
                    const IsStopping& is_stopping) {
  const TimePoint end = SteadyNow() + wait;
  while (!is_stopping() && SteadyNow() < end) {
    if (stream.WaitReadable(kStopPoll)) return true;
  }
  return false;
}

// The connection that this thread serves. The library shows a handler no sign
// of its caller otherwise.
thread_local const DoorStream* served_stream = nullptr;

class ServedStream {
 public:
  explicit ServedStream(const DoorStream& stream) { served_stream = &stream; }
  ~ServedStream() { served_stream = nullptr; }
  ServedStream(const ServedStream&) = delete;
  ServedStream& operator=(const ServedStream&) = delete;
};

}  // namespace

bool DoorServer::IsCallerConnected() {
  return served_stream == nullptr || served_stream->is_writable();
}

DoorServer::DoorServer(const DoorLimits& limits, DoorCheck check)
    : limits_(limits), check_(std::move(check)) {
  new_task_queue = [this] {
    return new httplib::ThreadPool(limits_.max_connections + kRefusingThreads);
  };
  set_payload_max_length(limits_.max_body_bytes);
  set_tcp_nodelay(true);
  set_socket_options(SetExclusiveBind);
  set_pre_routing_handler(
      [this](const httplib::Request& request, httplib::Response& response) {
        const std::optional<Refusal> refusal = Check(request);
        if (!refusal) return HandlerResponse::Unhandled;
        Reject(response, refusal->status, refusal->code, refusal->message);
        return HandlerResponse::Handled;
      });
}

std::optional<Refusal> DoorServer::Check(
    const httplib::Request& request) const {
  if (request.get_header_value<uint64_t>("Content-Length") >
      limits_.max_body_bytes) {
    return kTooLarge;
  }
  return check_(request);
}

bool DoorServer::process_and_close_socket(socket_t sock) {
  Serve(sock);
  return true;
}

void DoorServer::Serve(socket_t sock) {
  DoorStream stream(sock, limits_);
  const ServedStream served(stream);
  const ConnectionCount count(connections_);
  if (count.place() > limits_.max_connections) {
    stream.WriteAll(RawAnswer(kTooManyConnections));
    return stream.Close(kLingerWhenFull);
  }
  bool is_open = true;
  bool leaves_rest = false;
  while (is_open && WaitForRequest(stream, limits_.idle_timeout,
                                   [this] { return is_stopping(); })) {
    stream.StartRequest(SteadyNow());
    bool wants_close = false;
    // A refused request's body is left unread, so nothing can follow it on
    // this connection.
    bool has_headers = false;
    const auto look_at_headers = [&](httplib::Request& request) {
      has_headers = true;
      leaves_rest = HasBody(request) && Check(request).has_value();
      if (leaves_rest) request.set_header("Connection", "close");
    };
    const bool served =
        process_request(stream, is_stopping(), wants_close, look_at_headers);
    // Where the next request would begin is unknown after a malformed one.
    leaves_rest = leaves_rest || !has_headers;
    is_open = served && !wants_close && !leaves_rest &&
              stream.fault() == ReadFault::kNone;
  }
  if (stream.fault() == ReadFault::kTooSlow) {
    stream.WriteAll(RawAnswer(kTooSlow));
  }
  if (stream.fault() == ReadFault::kTooLarge) {
    stream.WriteAll(RawAnswer(kTooLarge));
  }
  const bool was_read = stream.fault() == ReadFault::kNone && !leaves_rest;
  stream.Close(was_read ? milliseconds(0) : kLinger);
}

}  // namespace dogwoodlatch::router
