/// Datagrams between agents and from agents to routers: what a target has
/// loaded and how busy it is. Losing one costs knowledge, never a request.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/serving/poison_guard.h"
#include "dogwoodlatch/serving/rollout.h"
#include "dogwoodlatch/serving/saved_parts.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

/// What an agent says of its target.
struct TargetStatus {
  std::string target_id;
  std::map<std::string, uint64_t> weights;  ///< version loaded, by model
  serving::RolloutPhase phase = serving::RolloutPhase::kServing;
  int queued = 0;                    ///< requests that wait to run
  int active = 0;                    ///< requests that run
  int prefilling = 0;                ///< of these, without a first token yet
  int64_t memory_used = 0;           ///< tokens that cannot yield
  int64_t memory_total = 0;          ///< tokens
  std::vector<std::string> routers;  ///< "ip:port" that ask for these news

  bool operator==(const TargetStatus&) const = default;
};

/// CBOR, with the protocol's version first.
std::vector<uint8_t> Encode(const TargetStatus& news);

/// What a router tells the others: where it sent prompt parts since its last
/// news, how long its requests' prompts still take to be read there, and which
/// requests broke a target.
struct RouterUpdate {
  struct TargetLoad {
    std::string target_id;
    Duration prefill_backlog{0};         ///< time to read prompts sent there
    std::vector<uint64_t> used_parts{};  ///< keys inside their cache groups

    bool operator==(const TargetLoad&) const = default;
  };
  std::vector<TargetLoad> targets;
  std::vector<serving::PartSave> parts_saved;  ///< in the cache stores
  std::vector<uint64_t> parts_fetched{};       ///< from the cache stores
  std::vector<serving::BrokenRun> runs_broken{};

  bool operator==(const RouterUpdate&) const = default;
};

std::vector<uint8_t> Encode(const RouterUpdate& news);

/// A router asks an agent for its news.
struct Subscription {
  bool operator==(const Subscription&) const = default;
};

std::vector<uint8_t> Encode(Subscription subscription);

using Datagram = std::variant<TargetStatus, RouterUpdate, Subscription>;

/// Fails with kBadMessage or kBadVersion.
Result<Datagram> DecodeDatagram(std::span<const uint8_t> bytes);

/// A UDP socket on the port of our own processes.
class AgentLink {
 public:
  using Receiver = std::function<void(const asio::ip::udp::endpoint& from,
                                      std::span<const uint8_t> bytes)>;

  /// Fails with kIo when the address cannot be bound.
  static Result<std::unique_ptr<AgentLink>> Open(asio::io_context& context,
                                                 std::string_view ip,
                                                 uint16_t port,
                                                 Receiver receiver);

  /// Sends if the socket takes it at once; otherwise the datagram is lost.
  void Send(const asio::ip::udp::endpoint& to, std::span<const uint8_t> bytes);

  uint16_t port() const { return port_; }

 private:
  AgentLink(asio::io_context& context, Receiver receiver);
  void Receive();

  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  std::array<uint8_t, 8192> buffer_{};
  Receiver receiver_;
  uint16_t port_ = 0;
};

}  // namespace dogwoodlatch::daemon
