/// The router process on every entry VM: serves callers, the readiness check
/// and the metrics, and follows the platform, on one event loop.
#pragma once

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/client_refusals.h"
#include "dogwoodlatch/daemon/coordinator.h"
#include "dogwoodlatch/daemon/engine_watch.h"
#include "dogwoodlatch/daemon/exchange.h"
#include "dogwoodlatch/daemon/freshness_keeper.h"
#include "dogwoodlatch/daemon/listener.h"
#include "dogwoodlatch/daemon/object_feed.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/daemon/relay_link.h"
#include "dogwoodlatch/daemon/router_stop.h"
#include "dogwoodlatch/daemon/update_publisher.h"
#include "dogwoodlatch/daemon/vm_prober.h"
#include "dogwoodlatch/dataplane/http_server_session.h"
#include "dogwoodlatch/serving/target_index.h"
#include "dogwoodlatch/serving/update_period.h"
#include "platform/node_settings.h"

namespace dogwoodlatch::daemon {

/// Maximum number of addresses in a directory, so that it fits into one packet.
inline constexpr size_t kMaxRoutersPerDirectory = 40;

/// Number of processes that a router that starts asks at a time.
inline constexpr size_t kAskedForState = 4;

class Router {
 public:
  Router(asio::io_context& context, platform::NodeSettings settings);

  /// Opens the listening sockets and starts to follow the platform. Fails with
  /// kIo when the frontend or readiness address cannot be opened.
  Result<void> Start();

  /// Reports not ready to the balancer, waits for requests in progress and then
  /// stops the event loop.
  void Stop();

  /// Applies the bounds of newly read settings.
  void Reload(const platform::NodeSettings& settings);

 private:
  /// Bounds what clients of all listening ports may hold.
  void BoundClients();
  void OnConnectionEnd(const dataplane::ConnectionEnd& end);
  void FollowPlatform();
  void AddFeed(const FeedOptions& options);
  void OpenAgentLink();
  void Subscribe(TimePoint now);
  void SendFreshness(const asio::ip::udp::endpoint& to,
                     std::span<const uint8_t> bytes);
  void AskForState(TimePoint now);
  void OnStateAnswer(const serving::KnownState& state);
  void OnDatagram(const asio::ip::udp::endpoint& from,
                  std::span<const uint8_t> bytes);
  void OnSubscription(const asio::ip::udp::endpoint& from,
                      const Subscription& subscription, TimePoint now);
  void OnRelayRequest(const asio::ip::udp::endpoint& from,
                      const RelayRequest& request, TimePoint now);
  void OnForwarded(const asio::ip::udp::endpoint& from,
                   const ForwardedBatch& batch, TimePoint now);
  /// Handles a status or update that `origin` has sent, and that another
  /// router has forwarded unless `is_direct`. Returns false if the sender is
  /// unknown or the message is of another kind.
  bool OnRelayed(uint64_t origin, const Datagram& message, bool is_direct,
                 TimePoint now);
  void RecordFault(const Error& fault, const asio::ip::udp::endpoint& from,
                   TimePoint now);
  void OnTargetStatus(const TargetStatus& status, TimePoint now);
  void OnRoutersListed(const std::vector<ListedRouter>& routers, TimePoint now);
  void PublishDirectory(TimePoint now);
  void PublishTargetStatus(const TargetStatus& status);
  void OnRouterUpdate(uint64_t router, const RouterUpdate& update,
                      bool is_known, TimePoint now);
  /// True if a newer update of the router has been received.
  bool IsOutdated(uint64_t router, const RouterUpdate& update, TimePoint now);
  void CountRouters(TimePoint now);
  UpdatePublisher::State OwnState(TimePoint now) const;
  void Tick();
  /// What a tick does besides stopping the router.
  void UpdateState(TimePoint now);
  void RegisterRetryGauges();
  bool IsReady() const;
  std::string MetricsText();

  asio::io_context& io_;
  platform::NodeSettings settings_;
  PlatformView view_;
  dataplane::ConnectionPool pool_;
  Metrics metrics_;
  ClientRefusals client_refusals_;
  ExchangeContext context_;
  Listener frontend_;
  Listener readiness_;
  Listener metrics_endpoint_;
  std::vector<std::unique_ptr<ObjectFeed>> feeds_;
  ObjectFeed* configuration_reader_ = nullptr;  ///< one of `feeds_`
  ObjectFeed* target_feed_ = nullptr;           ///< one of `feeds_`
  ObjectFeed* weights_feed_ = nullptr;          ///< one of `feeds_`
  FreshnessKeeper freshness_keeper_;
  VmProber vm_prober_;
  EngineWatch engine_watch_;
  std::unique_ptr<AgentLink> link_;
  DatagramFaults datagram_faults_;
  asio::steady_timer tick_timer_;
  TimePoint next_subscription_{};
  TimePoint next_state_question_{};
  serving::RoundRobinSelector state_rotation_{kAskedForState};
  TimePoint next_sweep_{};
  RelayLink relay_;
  UpdatePublisher publisher_;
  serving::TargetIndex target_index_;
  struct LastUpdate {
    uint8_t sequence = 0;
    TimePoint at{};
  };
  std::unordered_map<uint64_t, LastUpdate> last_updates_;  ///< by RouterKey
  TimePoint routers_listed_at_{};
  TimePoint agents_listed_at_{};  ///< when an agent last listed the routers
  Coordinator coordinator_;
  /// Routers that take this one for the coordinator, with the time of their
  /// last subscription.
  std::map<asio::ip::udp::endpoint, TimePoint> subscribers_;
  TimePoint next_directory_{};
  serving::RoundRobinSelector directory_rotation_{kMaxRoutersPerDirectory};
  size_t known_routers_ = 0;        ///< this one included; 0 while unknown
  std::optional<RouterStop> stop_;  ///< set once the router is stopping
};

}  // namespace dogwoodlatch::daemon
