/// The process beside every model target: brings the target to the weights
/// named last and tells routers and other agents what it has.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/object_feed.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/serving/news_plan.h"
#include "dogwoodlatch/serving/rollout.h"
#include "platform/node_settings.h"
#include "platform/weights_orders.h"

namespace dogwoodlatch::daemon {

/// Routers named in one datagram, which is to fit into one packet.
inline constexpr size_t kMaxNamedRouters = 40;

class Agent {
 public:
  Agent(asio::io_context& context, platform::NodeSettings settings);

  /// Follows the platform and the target. Fails with kIo when its own port
  /// cannot be bound.
  Result<void> Start();

  void Stop();
  void Reload(const platform::NodeSettings& settings);

 private:
  struct Peer {
    TargetNews news;
    TimePoint heard{};
  };

  void FollowPlatform();
  void OnDatagram(const asio::ip::udp::endpoint& from,
                  std::span<const uint8_t> bytes);
  void Tick();
  void AskForReport();
  void OnReport(Result<dataplane::CallResponse> answer);
  void ConsiderRollout(TimePoint now);
  bool IsDrained(TimePoint now) const;
  void GiveOrder(const std::string& model, uint64_t version);
  void OnOrderAnswered(Result<dataplane::CallResponse> answer);
  void TellNews(TimePoint now);
  std::vector<std::string> NameRouters();
  std::vector<serving::RolloutPeer> PeersOf(const std::string& model,
                                            TimePoint now) const;
  serving::Fleet::TargetPtr OwnTarget();

  asio::io_context& io_;
  platform::NodeSettings settings_;
  PlatformView view_;
  std::vector<std::unique_ptr<ObjectFeed>> feeds_;
  std::unique_ptr<AgentLink> link_;
  dataplane::HttpClient report_caller_;
  dataplane::HttpClient order_caller_;
  asio::steady_timer tick_timer_;
  std::map<std::string, Peer> peers_;  ///< by target id
  std::map<asio::ip::udp::endpoint, TimePoint> subscribers_;
  std::optional<platform::TargetReport> report_;
  TimePoint ordered_at_{};
  TimePoint runs_ended_at_{};  ///< of the load in progress, as far as known
  TimePoint next_report_{};
  TimePoint next_news_{};
  TimePoint next_naming_{};
  serving::TurnList routers_named_{kMaxNamedRouters};
  TimePoint order_pause_until_{};
  bool is_asking_ = false;
  bool is_ordering_ = false;
  serving::RolloutPhase phase_ = serving::RolloutPhase::kServing;
  TimePoint drain_began_{};
  TargetNews last_told_;
};

}  // namespace dogwoodlatch::daemon
