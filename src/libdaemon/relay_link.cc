#include "dogwoodlatch/daemon/relay_link.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace dogwoodlatch::daemon {
namespace {

// Bytes of a plain status in a batch.
constexpr size_t kStatusBytes = 16;

constexpr size_t kMaxKeptStatuses = 4096;

size_t CountBytes(const serving::RelayQueue::Batch& batch) {
  return std::accumulate(batch.begin(), batch.end(), size_t{0},
                         [](size_t sum, const auto& message) {
                           return sum + message.bytes.size();
                         });
}

}  // namespace

std::vector<ForwardedBatch> MakeBatches(
    std::vector<serving::RelayQueue::Batch> messages,
    std::vector<TargetStatus> statuses) {
  std::vector<ForwardedBatch> batches;
  batches.reserve(messages.size());
  for (serving::RelayQueue::Batch& batch : messages) {
    batches.push_back({std::move(batch), {}});
  }
  size_t bytes = batches.empty() ? 0 : CountBytes(batches.back().messages);
  for (TargetStatus& status : statuses) {
    const bool fits =
        !batches.empty() &&
        batches.back().statuses.size() < ForwardedBatch::kMaxStatuses &&
        bytes + kStatusBytes <= serving::RelayQueue::kMaxBatchBytes;
    if (!fits) {
      batches.emplace_back();
      bytes = 0;
    }
    batches.back().statuses.push_back(std::move(status));
    bytes += kStatusBytes;
  }
  return batches;
}

void RelayLink::SendRelayed(std::span<const uint8_t> message, ControlKind kind,
                            TimePoint now) {
  const serving::RelayPlan::Recipients recipients = plan_.Next(now);
  std::vector<uint64_t> direct;
  for (const size_t index : rotation_.Next(recipients.direct.size())) {
    direct.push_back(recipients.direct[index]);
  }
  SendDirect(direct, message, kind);
  if (recipients.forwarders.empty()) return;
  SendDirect(recipients.forwarders, EncodeRelayRequest(message), kind);
}

void RelayLink::SendDirect(std::span<const uint64_t> routers,
                           std::span<const uint8_t> message, ControlKind kind) {
  if (link_ == nullptr) return;
  for (const uint64_t router : routers) {
    link_->Send(RouterEndpoint(router), message, {kind, Relation(router)});
  }
}

void RelayLink::Forward(uint64_t origin, std::span<const uint8_t> message) {
  if (!queue_.Add(origin, message)) ++dropped_;
}

void RelayLink::Forward(const TargetStatus& status) {
  if (statuses_.size() < kMaxKeptStatuses) {
    statuses_.insert_or_assign(status.target, status);
  } else {
    ++dropped_;
  }
}

void RelayLink::FlushForwarded() {
  std::vector<TargetStatus> statuses;
  std::ranges::transform(std::exchange(statuses_, {}),
                         std::back_inserter(statuses),
                         [](const auto& entry) { return entry.second; });
  const std::vector<ForwardedBatch> batches =
      MakeBatches(queue_.Take(), std::move(statuses));
  if (batches.empty()) return;
  const std::vector<uint64_t> receivers = plan_.OwnDomain();
  for (const ForwardedBatch& batch : batches) {
    SendDirect(receivers, Encode(batch), ControlKind::kForwarded);
  }
}

DomainRelation RelayLink::Relation(uint64_t router) const {
  const auto found = plan_.members().find(router);
  if (found == plan_.members().end() || found->second.domain == 0) {
    return DomainRelation::kUnknown;
  }
  return found->second.domain == plan_.own_domain() ? DomainRelation::kOwn
                                                    : DomainRelation::kOther;
}

}  // namespace dogwoodlatch::daemon
