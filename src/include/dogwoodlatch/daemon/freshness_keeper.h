/// Keeps the proof that a router's configuration is current. Asks other routers
/// for it or reads from the store, and answers the questions of others.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/serving/freshness_relay.h"
#include "dogwoodlatch/serving/lag_detector.h"
#include "dogwoodlatch/serving/relay_plan.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

class FreshnessKeeper {
 public:
  using Endpoint = asio::ip::udp::endpoint;

  struct Actions {
    /// Starts a linearizable read of the configuration; returns false if one is
    /// in progress. OnConfigurationRead follows when it has succeeded.
    std::function<bool()> read_configuration;
    std::function<void()> list_targets;
    std::function<void()> list_weights;
    std::function<void(const Endpoint&, std::span<const uint8_t>)> send;
  };

  /// Keys are accepted for `revocation_bound` at most after they were revoked.
  FreshnessKeeper(Duration revocation_bound, PlatformView& view,
                  Actions actions);

  /// Where this router receives datagrams; without it, it has no helpers.
  void SetOwnEndpoint(const Endpoint& endpoint) { self_ = endpoint; }

  /// Asks or reads if a proof is due. `routers` are the other routers.
  void Tick(const serving::RelayPlan& routers, TimePoint now);

  void OnQuestion(const Endpoint& from, const FreshnessQuestion& question);
  void OnAnswer(const FreshnessAnswer& answer);

  /// Reads now: a proof counts from now on.
  void Read();

  /// A read that was sent at `sent` has been applied to the view.
  void OnConfigurationRead(TimePoint sent);

 private:
  void ChooseHelpers(const serving::RelayPlan& routers, TimePoint now);
  void Ask(TimePoint boot_now);
  void FollowPeerState(const FreshnessAnswer& answer);

  PlatformView& view_;
  Actions actions_;
  std::optional<Endpoint> self_;
  serving::FreshnessAsker asker_;
  serving::FreshnessHelper<Endpoint> helper_;
  std::vector<Endpoint> helpers_;  ///< without this router
  bool is_helper_ = false;
  TimePoint next_choice_{};
  serving::LagDetector targets_lag_;
  serving::LagDetector weights_lag_;
};

}  // namespace dogwoodlatch::daemon
