/// Sends statuses and updates to routers: within the own failure domain
/// directly, to others through one router there, which forwards them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/router_key.h"
#include "dogwoodlatch/serving/relay_plan.h"
#include "dogwoodlatch/serving/update_period.h"

namespace dogwoodlatch::daemon {

/// Distributes what a forwarder passes on among as few datagrams as their
/// bounds allow.
std::vector<ForwardedBatch> MakeBatches(
    std::vector<serving::RelayQueue::Batch> messages,
    std::vector<TargetStatus> statuses);

class RelayLink {
 public:
  /// At most `max_direct` routers receive one message directly, in turn.
  RelayLink(serving::RelayPlan plan, size_t max_direct)
      : plan_(std::move(plan)), rotation_(max_direct) {}

  /// Nothing is sent before. `link` must outlive this object.
  void SetLink(AgentLink& link) { link_ = &link; }
  bool is_open() const { return link_ != nullptr; }

  serving::RelayPlan& plan() { return plan_; }
  const serving::RelayPlan& plan() const { return plan_; }

  /// Sends to all routers, through forwarders where they are.
  void SendRelayed(std::span<const uint8_t> message, ControlKind kind,
                   TimePoint now);

  /// Sends to these routers directly, for what is urgent.
  void SendDirect(std::span<const uint64_t> routers,
                  std::span<const uint8_t> message, ControlKind kind);

  /// Keeps a message of another process for the routers of the own domain.
  void Forward(uint64_t origin, std::span<const uint8_t> message);

  /// Keeps a plain status of an agent for them.
  void Forward(const TargetStatus& status);

  /// Sends what was kept.
  void FlushForwarded();

  DomainRelation Relation(uint64_t router) const;

  /// Messages that were not forwarded, as too many were waiting.
  uint64_t dropped() const { return dropped_; }

 private:
  AgentLink* link_ = nullptr;
  serving::RelayPlan plan_;
  serving::RoundRobinSelector rotation_;
  serving::RelayQueue queue_;
  std::map<serving::TargetKey, TargetStatus> statuses_;  ///< the last of each
  uint64_t dropped_ = 0;
};

}  // namespace dogwoodlatch::daemon
