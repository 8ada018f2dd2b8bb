/// The agent that runs next to each model target. It rolls out published
/// weights to the target and publishes the target's status to routers and other
/// agents.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/object_feed.h"
#include "dogwoodlatch/daemon/order_fence.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/daemon/relay_link.h"
#include "dogwoodlatch/daemon/vm_prober.h"
#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/serving/lag_detector.h"
#include "dogwoodlatch/serving/order_ownership.h"
#include "dogwoodlatch/serving/rollout.h"
#include "dogwoodlatch/serving/update_period.h"
#include "platform/node_settings.h"
#include "platform/weights_orders.h"

namespace dogwoodlatch::daemon {

/// Maximum number of router addresses in one status datagram, so that it fits
/// into one packet.
inline constexpr size_t kMaxRoutersPerStatus = 40;

class Agent {
 public:
  Agent(asio::io_context& context, platform::NodeSettings settings);

  /// Binds the datagram socket and starts to follow the object store and the
  /// target. Fails with kIo when the socket cannot be bound.
  Result<void> Start();

  void Stop();
  void Reload(const platform::NodeSettings& settings);

 private:
  struct Peer {
    TargetStatus status;
    TimePoint received{};
  };

  void FollowPlatform();
  void OnDatagram(const asio::ip::udp::endpoint& from,
                  std::span<const uint8_t> bytes);
  void FollowRouterState(const Subscription& subscription, TimePoint now);
  void Tick();
  void RequestReport();
  void OnReport(Result<dataplane::CallResponse> response);
  void ConsiderRollout(TimePoint now);
  /// True if the target is idle or the drain time is over.
  bool IsDrained(TimePoint now) const;
  void SendWeightsOrder(const std::string& model, uint64_t version);
  void OnOrderResponse(Result<dataplane::CallResponse> response);
  bool MayOrder(const serving::Target& own) const;
  /// Highest fence known for orders; none if one has to be obtained first.
  std::optional<uint64_t> Fence() const;
  void PublishStatus(TimePoint now);
  void PublishHeartbeat(TimePoint now);
  void LogTraffic(TimePoint now);
  std::vector<ListedRouter> NextRouters(TimePoint now);
  bool IsRolloutInProgress(TimePoint now) const;
  void SendToPeers(const serving::Target& own,
                   std::span<const uint8_t> datagram);
  std::vector<serving::RolloutPeer> CollectRolloutPeers(
      const std::string& model, TimePoint now) const;
  serving::Fleet::TargetPtr OwnTarget();

  asio::io_context& io_;
  platform::NodeSettings settings_;
  PlatformView view_;
  std::vector<std::unique_ptr<ObjectFeed>> feeds_;
  ObjectFeed* weights_feed_ = nullptr;  ///< one of `feeds_`
  serving::LagDetector weights_lag_;
  std::unique_ptr<AgentLink> link_;
  DatagramFaults datagram_faults_;
  ProbePort probe_port_;
  dataplane::HttpClient report_client_;
  dataplane::HttpClient order_client_;
  asio::steady_timer tick_timer_;
  serving::AgentOwnership ownership_;
  OrderFence order_fence_;
  /// The coordinator's last order to a target here, as far as routers tell.
  serving::TargetKey ordered_target_ = 0;
  uint64_t other_fence_ = 0;
  std::map<serving::TargetKey, Peer> peers_;
  RelayLink relay_;  ///< to the routers that subscribe
  std::optional<platform::TargetReport> report_;
  TimePoint ordered_at_{};
  /// When runs were last active while a load was in progress.
  TimePoint last_active_run_at_{};
  TimePoint next_report_{};
  TimePoint published_at_{};
  TimePoint next_router_list_{};
  TimePoint next_traffic_log_{};
  serving::RoundRobinSelector router_list_rotation_{kMaxRoutersPerStatus};
  TimePoint next_order_{};
  bool is_report_pending_ = false;
  bool is_order_pending_ = false;
  serving::RolloutPhase phase_ = serving::RolloutPhase::kServing;
  TimePoint drain_started_{};
  TargetStatus last_published_;
};

}  // namespace dogwoodlatch::daemon
