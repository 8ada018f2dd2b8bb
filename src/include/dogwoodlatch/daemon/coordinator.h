/// The part of a router that stands in for agents that do not exist or do not
/// respond. One router, the holder of a lease in the platform's store, orders
/// weights for their targets and sends the routers a directory of them all.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/serving/coordination.h"
#include "dogwoodlatch/serving/order_ownership.h"
#include "platform/node_settings.h"
#include "platform/weights_orders.h"

namespace dogwoodlatch::daemon {

class Coordinator {
 public:
  /// `address` is where this router receives datagrams. `publish` is called
  /// with the status of targets whose weights this process changes.
  Coordinator(asio::io_context& context, const platform::NodeSettings& settings,
              std::string address, PlatformView& view,
              std::function<void(const TargetStatus&)> publish);

  /// The agent at `vm` has sent something. Returns false if the VM has no model
  /// target.
  bool OnAgentHeard(std::string_view vm, TimePoint now);

  /// Time since the agent at `vm` was heard; none if it never was.
  std::optional<Duration> AgentHeardAgo(std::string_view vm,
                                        TimePoint now) const;

  /// Fence of the last order that this process gave to the target; 0 if none.
  uint64_t LastFence(const std::string& target_id) const;

  void SetLease(Duration lease) { attendance_.SetLease(lease); }

  /// The coordinator has listed the routers.
  void OnCoordinatorHeard();

  /// The store was restored from an older copy.
  void OnStoreRestored();

  /// Advances the election and the orders. `agents_list_routers`: agents tell
  /// the routers of each other, so no directory is needed.
  void Tick(bool agents_list_routers, TimePoint now);

  /// True while this router is the coordinator.
  bool IsActive() const;

  /// Where another router that is the coordinator receives datagrams; empty if
  /// there is none or none is needed.
  std::string OtherAddress() const;

 private:
  // One order to one target, from the report before it to its effect.
  struct Order {
    explicit Order(asio::io_context& context, const std::string& address)
        : client(context, address) {}

    dataplane::HttpClient client;
    std::string model;
    uint64_t version = 0;
    bool is_calling = false;
    bool is_accepted = false;
    TimePoint started{};
    TimePoint next_call{};
    platform::TargetReport report;
  };

  bool IsUnattended(const serving::Target& target, TimePoint now) const;
  void UpdateAttendance(bool agents_list_routers, TimePoint now);
  void AdvanceElection(TimePoint now);
  void ReadLease();
  void WriteLease(serving::CoordinatorElection::Step step);
  void OnLeaseWritten(const Result<dataplane::CallResponse>& response,
                      TimePoint sent);
  void StartOrders(TimePoint now);
  void AdvanceOrders(TimePoint now);
  void RequestReport(const std::string& target_id, Order& order);
  void OnReport(const std::string& target_id,
                const Result<dataplane::CallResponse>& response);
  void SendOrder(const std::string& target_id, Order& order);
  void OnOrderAnswered(const std::string& target_id,
                       const Result<dataplane::CallResponse>& response);
  void PublishPhase(const std::string& target_id, const Order& order);

  asio::io_context& io_;
  std::string own_name_;
  std::string address_;
  PlatformView& view_;
  std::function<void(const TargetStatus&)> publish_;
  serving::CoordinatorElection election_;
  dataplane::HttpClient lease_client_;
  bool is_lease_call_pending_ = false;
  uint64_t renewals_ = 0;
  bool was_active_ = false;
  bool is_needed_ = false;
  TimePoint started_{};
  TimePoint last_needed_{};  ///< when a duty was last without an agent
  serving::VmAttendance attendance_;
  std::map<std::string, uint64_t> fences_;  ///< of last orders, by target id
  std::map<std::string, std::unique_ptr<Order>> orders_;  ///< by target id
};

}  // namespace dogwoodlatch::daemon
