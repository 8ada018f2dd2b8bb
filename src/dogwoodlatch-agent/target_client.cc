#include "target_client.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "dogwoodlatch/util/address.h"

namespace dogwoodlatch::agent {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneMark = "[DONE]";

httplib::Client Open(const AgentSettings& settings,
                     std::chrono::milliseconds timeout) {
  const Address address = ParseAddress(settings.target_address);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(timeout);
  client.set_tcp_nodelay(true);
  return client;
}

// The engine's order: the caller's body as a stream, continued from the text
// that was delivered already.
std::string EngineBody(const Submit& order) {
  Json body = Json::parse(order.body, nullptr, false);
  body["stream"] = true;
  body["request_id"] = RunIdOf(order).value;
  // Workspaces share no cached pieces, even for the same text.
  body["cache_salt"] = order.workspace.value;
  body["priority"] = order.priority;
  if (!order.delivered_text.empty()) {
    body["messages"].push_back(
        {{"role", "assistant"}, {"content", order.delivered_text}});
    body["continue_final_message"] = true;
  }
  return body.dump();
}

// Reads server-sent events out of arbitrary cuts of the byte stream.
class EventReader {
 public:
  EventReader(CallResult& result, const PartHandler& on_part)
      : result_(result), on_part_(on_part) {}

  void Read(std::string_view bytes) {
    buffer_ += bytes;
    size_t end = 0;
    while ((end = buffer_.find('\n')) != std::string::npos) {
      ReadLine({buffer_.data(), end});
      buffer_.erase(0, end + 1);
    }
  }

 private:
  void ReadLine(std::string_view line) {
    if (!line.starts_with(kDataPrefix)) return;
    line.remove_prefix(kDataPrefix.size());
    if (line == kDoneMark) {
      result_.end = CallEnd::kWhole;
      return;
    }
    const Json event = Json::parse(line, nullptr, false);
    if (!event.is_object()) return;
    if (event.contains("usage")) ReadUsage(event["usage"]);
    for (const Json& choice : event.value("choices", Json::array())) {
      std::string text =
          choice.value("delta", Json::object()).value("content", "");
      if (!text.empty()) on_part_(std::move(text));
    }
  }

  void ReadUsage(const Json& usage) {
    result_.prompt_tokens = usage.value("prompt_tokens", 0U);
    result_.cached_tokens = usage.value("cached_tokens", 0U);
    result_.output_tokens = usage.value("completion_tokens", 0U);
  }

  CallResult& result_;
  const PartHandler& on_part_;
  std::string buffer_;
};

}  // namespace

RequestId RunIdOf(const Submit& order) {
  return {order.request_id.value + "." + std::to_string(order.attempt)};
}

std::optional<TargetHealth> TargetClient::CheckHealth() const {
  httplib::Client client = Open(settings_, kConnectTimeout);
  const bool is_engine = settings_.target_kind == RequestKind::kChat;
  const auto answer =
      client.Get(is_engine ? "/engine/state" : "/service/state");
  if (!answer || answer->status != 200) return std::nullopt;
  const Json state = Json::parse(answer->body, nullptr, false);
  if (!state.is_object()) return std::nullopt;
  return TargetHealth{state.value("boot_id", ""),
                      state.value("weights_version", ""),
                      state.value("prefill_tokens_per_second", uint64_t{1})};
}

CallResult TargetClient::Run(const Submit& order,
                             const std::atomic<bool>& cancelled,
                             const PartHandler& on_part) const {
  if (order.kind == RequestKind::kChat) {
    return RunChat(order, cancelled, on_part);
  }
  return RunService(order, cancelled, on_part);
}

CallResult TargetClient::RunChat(const Submit& order,
                                 const std::atomic<bool>& cancelled,
                                 const PartHandler& on_part) const {
  CallResult result;
  result.end = CallEnd::kCrashed;
  EventReader reader(result, on_part);
  httplib::Client client = Open(settings_, settings_.target_timeout);
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.body = EngineBody(order);
  request.set_header("Content-Type", "application/json");
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    reader.Read({data, size});
    return !cancelled;
  };
  const auto answer = client.send(request);
  if (answer) result.status = answer->status;
  if (cancelled) result.end = CallEnd::kCancelled;
  // An answer that ended in good order but said something else than a
  // completion.
  if (answer && result.end == CallEnd::kCrashed) result.end = CallEnd::kError;
  return result;
}

CallResult TargetClient::RunService(const Submit& order,
                                    const std::atomic<bool>& cancelled,
                                    const PartHandler& on_part) const {
  CallResult result;
  httplib::Client client = Open(settings_, settings_.target_timeout);
  httplib::Request request;
  request.method = order.method;
  request.path = order.path;
  request.body = order.body;
  if (!order.content_type.empty()) {
    request.set_header("Content-Type", order.content_type);
  }
  if (!order.idempotency_key.empty()) {
    request.set_header("Idempotency-Key", order.idempotency_key);
  }
  const auto answer = client.send(request);
  if (!answer) {
    result.end = cancelled ? CallEnd::kCancelled : CallEnd::kCrashed;
    if (answer.error() == httplib::Error::Connection) {
      result.end = CallEnd::kNotSent;
    }
    return result;
  }
  result.end = CallEnd::kWhole;
  result.status = answer->status;
  result.content_type = answer->get_header_value("Content-Type");
  if (!answer->body.empty()) on_part(answer->body);
  return result;
}

}  // namespace dogwoodlatch::agent
