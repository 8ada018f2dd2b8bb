/// The process on every entry VM: door, readiness, metrics and the view of the
/// platform, on one event loop.
#pragma once

#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/exchange.h"
#include "dogwoodlatch/daemon/object_feed.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/dataplane/http_server_session.h"
#include "dogwoodlatch/serving/news_plan.h"
#include "platform/node_settings.h"

namespace dogwoodlatch::daemon {

/// Bounds the cost of telling others where there are many.
inline constexpr size_t kMaxRoutersTold = 32;

class Router {
 public:
  Router(asio::io_context& context, platform::NodeSettings settings);

  /// Opens the addresses and follows the platform. Fails with kIo.
  Result<void> Start();

  /// Takes nothing new from the balancer, lets requests finish and stops the
  /// event loop.
  void Stop();

  /// Other bounds are in force.
  void Reload(const platform::NodeSettings& settings);

 private:
  struct Listener {
    explicit Listener(asio::io_context& context)
        : acceptor(context), retry_timer(context) {}
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry_timer;
    dataplane::HttpServerState policy;
    dataplane::HttpServerSession::Handler handler;
    std::vector<std::weak_ptr<dataplane::HttpServerSession>> sessions;
  };

  Result<void> Listen(Listener& listener, const std::string& address);
  void Accept(Listener& listener);
  void FollowPlatform();
  void OpenAgentLink();
  void Subscribe(TimePoint now);
  void OnDatagram(const asio::ip::udp::endpoint& from,
                  std::span<const uint8_t> bytes);
  void OnTargetNews(const TargetNews& news);
  void OnRouterNews(uint64_t router, const RouterNews& news);
  void TellRouters(TimePoint now);
  void Tick();
  void TickStop(TimePoint now);
  void ShareRetries(size_t routers);
  void SendNews(const RouterNews& news, const std::vector<size_t>& receivers);
  bool IsReady() const;

  asio::io_context& io_;
  platform::NodeSettings settings_;
  PlatformView view_;
  dataplane::ConnectionPool pool_;
  Metrics metrics_;
  ExchangeContext context_;
  Listener door_;
  Listener operations_;
  Listener scrape_;
  std::vector<std::unique_ptr<ObjectFeed>> feeds_;
  std::unique_ptr<AgentLink> link_;
  asio::steady_timer tick_timer_;
  TimePoint next_subscription_{};
  TimePoint next_sweep_{};
  std::map<asio::ip::udp::endpoint, TimePoint> routers_;  ///< last named
  std::map<std::string, Duration> told_backlogs_;         ///< by target
  TimePoint next_news_{};
  serving::TurnList routers_told_{kMaxRoutersTold};
  size_t sharing_routers_ = 0;
  bool is_stopping_ = false;
};

}  // namespace dogwoodlatch::daemon
