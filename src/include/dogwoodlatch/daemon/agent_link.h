/// Datagrams between agents and routers: agents publish the status of their
/// targets; routers subscribe to it and send updates to each other. A lost
/// datagram makes routing decisions less informed but never fails a request.
/// Statuses and updates reach other failure domains through a router there; see
/// serving/relay_plan.h and docs/design/0016-control-traffic.md.
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

#include "dogwoodlatch/daemon/control_traffic.h"
#include "dogwoodlatch/error.h"
#include "dogwoodlatch/serving/engine_estimator.h"
#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/serving/peer_stops.h"
#include "dogwoodlatch/serving/poison_guard.h"
#include "dogwoodlatch/serving/quota_ledger.h"
#include "dogwoodlatch/serving/relay_plan.h"
#include "dogwoodlatch/serving/rollout.h"
#include "dogwoodlatch/serving/saved_parts.h"
#include "dogwoodlatch/serving/startup_proof.h"
#include "dogwoodlatch/serving/target_index.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

/// A router, as others list it.
struct ListedRouter {
  uint64_t router = 0;  ///< RouterKey
  serving::DomainKey domain = 0;

  bool operator==(const ListedRouter&) const = default;
};

/// Status of a target, as published by its agent.
struct TargetStatus {
  /// 0 in a heartbeat: the agent runs but has no target to report.
  serving::TargetKey target = 0;
  /// Version loaded, by model; empty if it has not changed.
  std::map<std::string, uint64_t> weights;
  serving::RolloutPhase phase = serving::RolloutPhase::kServing;
  int queued = 0;            ///< requests waiting to run
  int active = 0;            ///< running requests
  int prefilling = 0;        ///< running requests without a first token yet
  int64_t memory_used = 0;   ///< tokens that cannot be evicted
  int64_t memory_total = 0;  ///< tokens
  std::vector<ListedRouter> routers;  ///< some of those that subscribe
  bool is_leaving = false;  ///< the target says that it is about to exit

  bool operator==(const TargetStatus&) const = default;
};

/// Returns a CBOR map of the protocol version and the fields that are not
/// empty, under keys of one letter.
std::vector<uint8_t> Encode(const TargetStatus& status);

/// What a router sends to the other routers: the prompt parts that it has sent
/// to each target, saved and fetched since its last update, the time that the
/// targets still need to prefill its requests, what it knows of requests and
/// parts that crash targets, the targets that said to it that they leave, and
/// whether it serves.
struct RouterUpdate {
  struct TargetLoad {
    serving::TargetKey target = 0;
    Duration prefill_backlog{0};         ///< of this router's requests
    std::vector<uint64_t> parts_used{};  ///< PartKeys
    /// This router's observations of the target's speed.
    std::vector<serving::SlownessSample> slowness{};
    /// The backlog by priority; empty if a router of an earlier build sent it.
    std::optional<serving::PriorityBacklog> by_priority{};

    bool operator==(const TargetLoad&) const = default;
  };
  struct Leaving {
    serving::TargetKey target = 0;
    WallTime started{};  ///< of the incarnation

    bool operator==(const Leaving&) const = default;
  };
  std::vector<TargetLoad> targets;
  std::vector<Leaving> targets_leaving{};
  std::vector<serving::PartSave> parts_saved;  ///< saved to the cache stores
  std::vector<uint64_t> parts_fetched{};  ///< fetched from the cache stores
  std::vector<serving::SuspectReport> suspects{};
  serving::RouterPhase phase = serving::RouterPhase::kStarting;
  Duration stopping_for{0};  ///< since the router's stop began
  std::optional<serving::QuotaReport> quota{};  ///< use of limited workspaces
  /// Increases with each round of updates and wraps around. Forwarded updates
  /// may overtake each other.
  uint8_t sequence = 0;

  bool operator==(const RouterUpdate&) const = default;
};

std::vector<uint8_t> Encode(const RouterUpdate& update);

/// Sent by a router to an agent, to receive the status of the agent's target.
struct Subscription {
  /// Fence of the newest weights that the router knows. An agent that knows
  /// less has lost its connection to the store.
  uint64_t newest_fence = 0;
  serving::DomainKey domain = 0;  ///< of the router
  /// How long ago the router heard the agent; none if it never did. Agents
  /// order weights only while they are heard.
  std::optional<Duration> heard_ago{};
  /// Fence of the last order that the router, as the coordinator, gave to
  /// `ordered_target` at the agent's VM; 0 if it gave none.
  uint64_t order_fence = 0;
  serving::TargetKey ordered_target = 0;

  bool operator==(const Subscription&) const = default;
};

std::vector<uint8_t> Encode(const Subscription& subscription);

/// Sent by the coordinator to the routers that subscribe to it.
struct RouterDirectory {
  std::vector<ListedRouter> routers;

  bool operator==(const RouterDirectory&) const = default;
};

std::vector<uint8_t> Encode(const RouterDirectory& directory);

/// Asks another router for a proof that the configuration is current; see
/// serving/freshness_relay.h.
struct FreshnessQuestion {
  uint64_t nonce = 0;

  bool operator==(const FreshnessQuestion&) const = default;
};

std::vector<uint8_t> Encode(const FreshnessQuestion& question);

/// What a linearizable read after the question has shown, and the newest state
/// that the answering router knows.
struct FreshnessAnswer {
  uint64_t nonce = 0;
  uint64_t configuration = 0;     ///< version in force
  uint64_t era = 0;               ///< of the store
  uint64_t targets_revision = 0;  ///< newest change of a target's entry
  uint64_t newest_fence = 0;      ///< of the newest weights

  bool operator==(const FreshnessAnswer&) const = default;
};

std::vector<uint8_t> Encode(const FreshnessAnswer& answer);

/// Asks another router what it knows of the store; see serving/startup_proof.h.
struct StateQuestion {
  bool operator==(const StateQuestion&) const = default;
};

std::vector<uint8_t> Encode(const StateQuestion& question);

/// Answers a StateQuestion.
std::vector<uint8_t> Encode(const serving::KnownState& state);

/// A status or update that the receiver forwards to the routers of its failure
/// domain. Its sender is the sender of the datagram.
struct RelayRequest {
  std::vector<uint8_t> message;

  bool operator==(const RelayRequest&) const = default;
};

std::vector<uint8_t> EncodeRelayRequest(std::span<const uint8_t> message);

/// Statuses and updates of others, as they were sent. They are never forwarded
/// again. Their origins are RouterKeys of routers or agents.
struct ForwardedBatch {
  static constexpr size_t kMaxStatuses = 64;

  serving::RelayQueue::Batch messages;
  /// Plain statuses; the sender of each is the agent of its target.
  std::vector<TargetStatus> statuses{};

  bool operator==(const ForwardedBatch&) const = default;
};

std::vector<uint8_t> Encode(const ForwardedBatch& batch);

/// True if the status says nothing beyond the load of its target, and
/// `message`, which was decoded to it, has no field that this build ignores.
bool IsPlain(const TargetStatus& status, std::span<const uint8_t> message);

using Datagram =
    std::variant<TargetStatus, RouterUpdate, Subscription, RouterDirectory,
                 FreshnessQuestion, FreshnessAnswer, RelayRequest,
                 ForwardedBatch, StateQuestion, serving::KnownState>;

/// Fails with kBadMessage or kBadVersion.
Result<Datagram> DecodeDatagram(std::span<const uint8_t> bytes);

/// Logs datagrams that cannot be decoded, at a bounded rate.
class DatagramFaults {
 public:
  void Record(const Error& fault, const asio::ip::udp::endpoint& from,
              TimePoint now);

 private:
  TimePoint next_log_{};
  uint64_t unlogged_ = 0;
};

/// A UDP socket for datagrams between routers and agents.
class AgentLink {
 public:
  using Receiver = std::function<void(const asio::ip::udp::endpoint& from,
                                      std::span<const uint8_t> bytes)>;

  /// Fails with kIo when the address cannot be bound.
  static Result<std::unique_ptr<AgentLink>> Open(asio::io_context& context,
                                                 std::string_view ip,
                                                 uint16_t port,
                                                 Receiver receiver);

  /// How a datagram is counted.
  struct Label {
    ControlKind kind{};
    DomainRelation relation = DomainRelation::kUnknown;
  };

  /// Sends without blocking; the datagram is dropped when the socket is not
  /// writable.
  void Send(const asio::ip::udp::endpoint& to, std::span<const uint8_t> bytes,
            Label label);

  ControlTraffic& traffic() { return traffic_; }

  uint16_t port() const { return port_; }

 private:
  AgentLink(asio::io_context& context, Receiver receiver);
  void Receive();

  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint from_;
  std::array<uint8_t, 8192> buffer_{};
  Receiver receiver_;
  uint16_t port_ = 0;
  ControlTraffic traffic_;
};

}  // namespace dogwoodlatch::daemon
