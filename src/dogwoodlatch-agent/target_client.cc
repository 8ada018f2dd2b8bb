#include "target_client.h"

#include <httplib.h>

#include <asio.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "dogwoodlatch/agent_core.h"
#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/percent_encoding.h"
#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::agent {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr size_t kMaxServiceBodyBytes = 64UL * 1024 * 1024;
constexpr std::string_view kEventDataPrefix = "data: ";
constexpr std::string_view kDoneMarker = "[DONE]";

httplib::Client MakeClient(const AgentSettings& settings,
                           std::chrono::milliseconds timeout) {
  const Address address = ParseAddress(settings.target_address);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(timeout);
  client.set_tcp_nodelay(true);
  return client;
}

// Builds the body of an engine request: the caller's body with streaming
// enabled, continued from the text that has already been delivered.
// Returns nothing if the order's body is not of a chat request.
std::optional<std::string> BuildEngineBody(const Submit& order) {
  Json body = ParseExactJson(order.body);
  if (!body.is_object()) return std::nullopt;
  const bool is_continued = !order.delivered_text.empty();
  if (is_continued && !body["messages"].is_array()) return std::nullopt;
  body["stream"] = true;
  body["request_id"] = MakeRunId(order).value;
  // The salt keeps workspaces from sharing cached pieces of identical text.
  body["cache_salt"] = order.workspace.value;
  body["priority"] = order.priority;
  if (is_continued) {
    body["messages"].push_back(
        {{"role", "assistant"}, {"content", order.delivered_text}});
    body["continue_final_message"] = true;
  }
  return body.dump();
}

// Parses server-sent events from a byte stream that may be split at any
// position.
class EventReader {
 public:
  EventReader(const Submit& order, CallResult& result,
              const PartHandler& on_part)
      : order_(order), result_(result), on_part_(on_part) {}

  // Returns false once an event shows that the response comes from another
  // incarnation of the target or from other weights than the order names.
  bool Read(std::string_view bytes) {
    buffer_ += bytes;
    size_t end = 0;
    while (!is_from_other_incarnation_ &&
           (end = buffer_.find('\n')) != std::string::npos) {
      ReadLine({buffer_.data(), end});
      buffer_.erase(0, end + 1);
    }
    return !is_from_other_incarnation_;
  }

  bool is_from_other_incarnation() const { return is_from_other_incarnation_; }

 private:
  void ReadLine(std::string_view line) {
    if (!line.starts_with(kEventDataPrefix)) return;
    line.remove_prefix(kEventDataPrefix.size());
    if (line == kDoneMarker) {
      result_.outcome = CallOutcome::kComplete;
      return;
    }
    const Json event = ParseJson(line);
    if (!event.is_object()) return;
    // The JSON library reports fields of another type only by exceptions.
    try {
      ReadEvent(event);
    } catch (const Json::exception& fault) {
      LogEvent(EventId::kBadMessage,
               {{"request", order_.request_id.value}, {"fault", fault.what()}});
    }
  }

  void ReadEvent(const Json& event) {
    const auto fingerprint = event.find("system_fingerprint");
    if (fingerprint != event.end() && fingerprint->is_string() &&
        IsFromOtherIncarnation(fingerprint->get_ref<const std::string&>())) {
      is_from_other_incarnation_ = true;
      return;
    }
    if (event.contains("usage")) ReadUsage(event["usage"]);
    for (const Json& choice : event.value("choices", Json::array())) {
      std::string text =
          choice.value("delta", Json::object()).value("content", "");
      if (!text.empty()) on_part_(std::move(text));
    }
  }

  // The fingerprint is "<boot id>/<weights version>". Engines that do not
  // report it in this form are accepted.
  bool IsFromOtherIncarnation(std::string_view fingerprint) const {
    const size_t slash = fingerprint.find('/');
    if (slash == std::string_view::npos) return false;
    return !MatchesRoutedTarget(order_, fingerprint.substr(0, slash),
                                fingerprint.substr(slash + 1));
  }

  void ReadUsage(const Json& usage) {
    result_.prompt_tokens = usage.value("prompt_tokens", 0U);
    result_.cached_tokens = usage.value("cached_tokens", 0U);
    result_.output_tokens = usage.value("completion_tokens", 0U);
  }

  const Submit& order_;
  CallResult& result_;
  const PartHandler& on_part_;
  bool is_from_other_incarnation_ = false;
  std::string buffer_;
};

// Returns the outcome of a call that yielded no complete response.
CallOutcome ClassifyFailure(const httplib::Result& response,
                            const Cancellation& cancellation) {
  if (cancellation.is_cancelled()) return CallOutcome::kCancelled;
  // The HTTP exchange succeeded, but the event stream ended without the done
  // marker.
  if (response) return CallOutcome::kError;
  return response.error() == httplib::Error::Connection ? CallOutcome::kNotSent
                                                        : CallOutcome::kLost;
}

httplib::Result SendCancellable(httplib::Client& client,
                                const httplib::Request& request,
                                Cancellation& cancellation) {
  cancellation.Attach([&client] { client.stop(); });
  if (cancellation.is_cancelled()) {
    cancellation.Detach();
    return httplib::Result(nullptr, httplib::Error::Canceled);
  }
  httplib::Result response = client.send(request);
  cancellation.Detach();
  return response;
}

// Returns "ip:port", or nothing if the host has no IPv4 address.
std::optional<std::string> Resolve(asio::io_context& context,
                                   std::string_view target) {
  if (dataplane::ParseEndpoint(target)) return std::string(target);
  const Address address = ParseAddress(std::string(target));
  std::error_code error;
  const auto found = asio::ip::tcp::resolver(context).resolve(
      asio::ip::tcp::v4(), address.host, std::to_string(address.port), error);
  if (error || found.empty()) return std::nullopt;
  const asio::ip::tcp::endpoint endpoint = found.begin()->endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

dataplane::Call MakeServiceCall(const Submit& order,
                                std::chrono::milliseconds timeout) {
  dataplane::Call call;
  call.method = order.method;
  // The front end has decoded the path.
  call.target = PercentEncodePath(order.path);
  call.body = order.body;
  call.timeout = timeout;
  call.max_body_bytes = kMaxServiceBodyBytes;
  call.headers.push_back({"Connection", "close"});
  if (!order.content_type.empty()) {
    call.headers.push_back({"Content-Type", order.content_type});
  }
  if (!order.idempotency_key.empty()) {
    call.headers.push_back({"Idempotency-Key", order.idempotency_key});
  }
  return call;
}

}  // namespace

void Cancellation::Cancel(BreakCause cause) {
  const std::lock_guard lock(mutex_);
  if (cancelled_) return;
  cause_ = cause;
  cancelled_ = true;
  if (stop_) stop_();
}

BreakCause Cancellation::cause() const {
  const std::lock_guard lock(mutex_);
  return cause_;
}

void Cancellation::Attach(std::function<void()> stop) {
  const std::lock_guard lock(mutex_);
  stop_ = std::move(stop);
  if (cancelled_ && stop_) stop_();
}

RequestId MakeRunId(const Submit& order) {
  return {order.request_id.value + "." + std::to_string(order.attempt)};
}

std::optional<TargetHealth> TargetClient::CheckHealth() const {
  httplib::Client client = MakeClient(settings_, kConnectTimeout);
  const bool is_engine = settings_.target_kind == RequestKind::kChat;
  const auto response =
      client.Get(is_engine ? "/engine/state" : "/service/state");
  if (!response || response->status != 200) return std::nullopt;
  const Json state = ParseJson(response->body);
  if (!state.is_object()) return std::nullopt;
  TargetHealth health{
      .boot_id = "", .weights_version = "", .prefill_tokens_per_second = 1};
  ReadText(state, "boot_id", health.boot_id);
  ReadText(state, "weights_version", health.weights_version);
  ReadNumber(state, "prefill_tokens_per_second",
             health.prefill_tokens_per_second);
  return health;
}

CallResult TargetClient::Run(const Submit& order, Cancellation& cancellation,
                             const PartHandler& on_part) const {
  if (order.kind == RequestKind::kChat) {
    return RunChat(order, cancellation, on_part);
  }
  return RunService(order, cancellation, on_part);
}

CallResult TargetClient::RunChat(const Submit& order,
                                 Cancellation& cancellation,
                                 const PartHandler& on_part) const {
  CallResult result;
  EventReader reader(order, result, on_part);
  httplib::Client client = MakeClient(settings_, settings_.target_timeout);
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  std::optional<std::string> body = BuildEngineBody(order);
  if (!body) {
    result.outcome = CallOutcome::kError;
    return result;
  }
  request.body = *std::move(body);
  request.set_header("Content-Type", "application/json");
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    return reader.Read({data, size}) && !cancellation.is_cancelled();
  };
  const auto response = SendCancellable(client, request, cancellation);
  if (response) result.status = response->status;
  if (result.outcome != CallOutcome::kComplete) {
    result.outcome = reader.is_from_other_incarnation()
                         ? CallOutcome::kError
                         : ClassifyFailure(response, cancellation);
  }
  return result;
}

// cpp-httplib takes a chunked body that ends in the line break after a chunk
// for a whole one, so the data plane's client, which does not, is used here.
CallResult TargetClient::RunService(const Submit& order,
                                    Cancellation& cancellation,
                                    const PartHandler& on_part) const {
  CallResult result;
  asio::io_context context;
  const std::optional<std::string> address =
      Resolve(context, settings_.target_address);
  if (!address) {
    result.outcome = CallOutcome::kNotSent;
    return result;
  }
  dataplane::HttpClient client(context, *address);
  std::optional<Result<dataplane::CallResponse>> response;
  client.Start(MakeServiceCall(order, settings_.target_timeout),
               [&](Result<dataplane::CallResponse> received) {
                 response = std::move(received);
                 context.stop();
               });
  cancellation.Attach([&context] { context.stop(); });
  if (!cancellation.is_cancelled()) context.run();
  cancellation.Detach();
  if (!response || !*response) {
    result.outcome =
        cancellation.is_cancelled() ? CallOutcome::kCancelled
        : response && response->error().code == ErrorCode::kUnavailable
            ? CallOutcome::kNotSent
            : CallOutcome::kLost;
    return result;
  }
  dataplane::CallResponse& answer = response->value();
  result.outcome = CallOutcome::kComplete;
  result.status = answer.status;
  result.content_type =
      std::string(dataplane::FindHeader(answer.headers, "content-type"));
  if (!answer.body.empty()) on_part(std::move(answer.body));
  return result;
}

}  // namespace dogwoodlatch::agent
