#include "dogwoodlatch/daemon/agent_link.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dogwoodlatch::daemon {
namespace {

using nlohmann::json;

// Raised when a field changes its meaning.
constexpr int kProtocolVersion = 1;

json DecodeAny(std::span<const uint8_t> bytes) {
  return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

bool HasVersion(const json& message) {
  return message.is_object() && message.contains("v") &&
         message["v"].is_number_integer() &&
         message["v"].get<int>() == kProtocolVersion;
}

}  // namespace

std::vector<uint8_t> Encode(const TargetNews& news) {
  return json::to_cbor(json{{"v", kProtocolVersion},
                            {"target", news.target_id},
                            {"weights", news.weights},
                            {"loading", news.is_loading},
                            {"queued", news.queued},
                            {"active", news.active},
                            {"kv_used", news.kv_used_tokens},
                            {"kv_total", news.kv_total_tokens}});
}

Result<TargetNews> DecodeNews(std::span<const uint8_t> bytes) {
  const json message = DecodeAny(bytes);
  if (!message.is_object()) return Error{ErrorCode::kBadMessage, "news", ""};
  if (!HasVersion(message)) return Error{ErrorCode::kBadVersion, "news", ""};
  TargetNews news;
  // The JSON library reports wrong types by exception only.
  try {
    message.at("target").get_to(news.target_id);
    message.at("weights").get_to(news.weights);
    message.at("loading").get_to(news.is_loading);
    message.at("queued").get_to(news.queued);
    message.at("active").get_to(news.active);
    message.at("kv_used").get_to(news.kv_used_tokens);
    message.at("kv_total").get_to(news.kv_total_tokens);
  } catch (const json::exception& fault) {
    return Error{ErrorCode::kBadMessage, "news", fault.what()};
  }
  return news;
}

std::vector<uint8_t> EncodeSubscription() {
  return json::to_cbor(json{{"v", kProtocolVersion}, {"subscribe", true}});
}

bool IsSubscription(std::span<const uint8_t> bytes) {
  const json message = DecodeAny(bytes);
  return HasVersion(message) && message.contains("subscribe");
}

AgentLink::AgentLink(asio::io_context& context, Receiver receiver)
    : socket_(context), receiver_(std::move(receiver)) {}

Result<std::unique_ptr<AgentLink>> AgentLink::Open(asio::io_context& context,
                                                   std::string_view ip,
                                                   uint16_t port,
                                                   Receiver receiver) {
  std::unique_ptr<AgentLink> link(new AgentLink(context, std::move(receiver)));
  std::error_code error;
  const auto address = asio::ip::make_address_v4(std::string(ip), error);
  if (!error) link->socket_.open(asio::ip::udp::v4(), error);
  if (!error) link->socket_.bind({address, port}, error);
  if (!error) link->socket_.non_blocking(true, error);
  if (error) {
    return Error{ErrorCode::kIo,
                 std::string(ip) + ":" + std::to_string(port),
                 error.message()};
  }
  link->port_ = link->socket_.local_endpoint().port();
  link->Receive();
  return link;
}

void AgentLink::Send(const asio::ip::udp::endpoint& to,
                     std::span<const uint8_t> bytes) {
  std::error_code lost;  // datagrams may be lost anyway
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, lost);
}

void AgentLink::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [this](std::error_code error, size_t count) {
        if (error == asio::error::operation_aborted) return;
        if (!error) receiver_(from_, std::span(buffer_).first(count));
        Receive();
      });
}

}  // namespace dogwoodlatch::daemon
