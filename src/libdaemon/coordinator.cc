#include "dogwoodlatch/daemon/coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/util/log.h"
#include "platform/coordinator_lease.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {
namespace {

using serving::CoordinatorElection;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{300};
constexpr milliseconds kLeaseCallTimeout{700};

// Agents list the routers several times a second.
constexpr Duration kNeverListedLimit = milliseconds(3000);

// The coordinator keeps its lease for this time after it was last needed.
constexpr Duration kReleaseDelay = std::chrono::seconds(10);

// Period of the calls for one order: reports until it may be sent and has taken
// effect, and repetitions.
constexpr milliseconds kOrderCallPeriod{300};
constexpr milliseconds kOrderRetryPause{600};

// An accepted order that has had no effect by then is given up and sent anew.
// Runs in progress end within a few seconds.
constexpr Duration kOrderTimeout = std::chrono::seconds(8);

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusAccepted = 202;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

bool RunsModel(const serving::Target& target) {
  return !target.record.weights.empty();
}

}  // namespace

Coordinator::Coordinator(asio::io_context& context,
                         const platform::NodeSettings& settings,
                         std::string address, PlatformView& view,
                         std::function<void(const TargetStatus&)> publish)
    : io_(context),
      own_name_(settings.vm),
      address_(std::move(address)),
      view_(view),
      publish_(std::move(publish)),
      election_(settings.vm, settings.bounds.order_lease,
                std::random_device{}()),
      lease_client_(context, settings.store_address),
      attendance_(settings.bounds.order_lease) {}

bool Coordinator::OnAgentHeard(std::string_view vm, TimePoint now) {
  return attendance_.OnHeard(vm, now);
}

std::optional<Duration> Coordinator::AgentHeardAgo(std::string_view vm,
                                                   TimePoint now) const {
  return attendance_.HeardAgo(vm, now);
}

uint64_t Coordinator::LastFence(const std::string& target_id) const {
  const auto found = fences_.find(target_id);
  return found == fences_.end() ? 0 : found->second;
}

void Coordinator::OnCoordinatorHeard() { election_.OnHolderHeard(BootNow()); }

void Coordinator::OnStoreRestored() {
  lease_client_.Cancel();
  is_lease_call_pending_ = false;
  election_.OnStoreRestored(BootNow());
}

bool Coordinator::IsActive() const { return election_.Holds(BootNow()); }

std::string Coordinator::OtherAddress() const {
  const auto& lease = election_.known();
  const bool is_other = is_needed_ && lease && lease->holder != own_name_;
  return is_other ? lease->address : std::string();
}

bool Coordinator::IsUnattended(const serving::Target& target,
                               TimePoint now) const {
  return attendance_.IsUnattended(serving::VmOfAddress(target.record.address),
                                  now);
}

void Coordinator::UpdateAttendance(bool agents_list_routers, TimePoint now) {
  const auto& targets = view_.fleet().targets();
  std::erase_if(fences_, [&](const auto& entry) {
    return !targets.contains(entry.first);
  });
  std::set<std::string, std::less<>> vms;
  for (const auto& [id, target] : targets) {
    if (!RunsModel(*target)) continue;
    vms.emplace(serving::VmOfAddress(target->record.address));
  }
  attendance_.OnListed(vms, now);
  if (started_ == TimePoint{}) started_ = now;
  bool is_needed = !agents_list_routers && now - started_ > kNeverListedLimit;
  for (const auto& [id, target] : targets) {
    if (!RunsModel(*target) || target->IsLeaving()) continue;
    is_needed |=
        attendance_.IsSilent(serving::VmOfAddress(target->record.address), now);
  }
  if (is_needed) last_needed_ = now;
  is_needed_ =
      last_needed_ != TimePoint{} && now - last_needed_ < kReleaseDelay;
}

void Coordinator::Tick(bool agents_list_routers, TimePoint now) {
  UpdateAttendance(agents_list_routers, now);
  AdvanceElection(BootNow());
  const bool is_active = IsActive();
  if (is_active != std::exchange(was_active_, is_active)) {
    LogEvent(EventId::kCoordinatorChanged,
             {{"coordinator", is_active ? "yes" : "no"},
              {"revision",
               std::to_string(election_.known() ? election_.known()->revision
                                                : 0)}});
  }
  if (is_active) {
    StartOrders(now);
    AdvanceOrders(now);
  } else {
    orders_.clear();
  }
}

void Coordinator::AdvanceElection(TimePoint now) {
  using Step = CoordinatorElection::Step;
  if (is_lease_call_pending_) return;
  switch (const Step step = election_.NextStep(is_needed_, now)) {
    case Step::kNone:
      return;
    case Step::kRead:
      ReadLease();
      return;
    case Step::kCreate:
    case Step::kReplace:
      WriteLease(step);
      return;
  }
}

void Coordinator::ReadLease() {
  is_lease_call_pending_ = true;
  lease_client_.Start(
      dataplane::Call::Get(platform::LeasePath(true), kLeaseCallTimeout),
      [this](const Result<dataplane::CallResponse>& response) {
        is_lease_call_pending_ = false;
        const TimePoint now = BootNow();
        if (response && response.value().status == kStatusNotFound) {
          election_.OnRead(std::nullopt, now);
          return;
        }
        const auto lease = response && response.value().status == kStatusOk
                               ? platform::DecodeLease(response.value().body)
                               : Error{ErrorCode::kUnavailable, "lease", ""};
        if (lease) {
          election_.OnRead(lease.value(), now);
        } else {
          election_.OnFailed(now);
        }
      });
}

void Coordinator::WriteLease(CoordinatorElection::Step step) {
  const bool creates = step == CoordinatorElection::Step::kCreate;
  const serving::CoordinatorLease lease{own_name_, address_, 0};
  const auto expected =
      creates ? std::nullopt : std::optional(election_.known()->revision);
  is_lease_call_pending_ = true;
  dataplane::Call call;
  call.method = creates ? "POST" : "PUT";
  call.target =
      creates ? platform::LeaseCreationPath() : platform::LeasePath(false);
  call.headers = {{"Content-Type", "application/json"}};
  call.body = platform::EncodeLease(lease, expected, ++renewals_);
  call.timeout = kLeaseCallTimeout;
  call.may_repeat = true;  // both writes depend on the revision that they end
  lease_client_.Start(std::move(call),
                      [this, sent = BootNow()](
                          const Result<dataplane::CallResponse>& response) {
                        is_lease_call_pending_ = false;
                        OnLeaseWritten(response, sent);
                      });
}

void Coordinator::OnLeaseWritten(
    const Result<dataplane::CallResponse>& response, TimePoint sent) {
  const TimePoint now = BootNow();
  const int status = response ? response.value().status : 0;
  if (status == kStatusNotFound) {
    election_.OnRead(std::nullopt, now);
    return;
  }
  const bool is_written = status == kStatusOk || status == kStatusCreated;
  if (!is_written && status != kStatusConflict) {
    election_.OnFailed(now);
    return;
  }
  const auto lease = platform::DecodeLease(response.value().body);
  if (!lease) {
    LogEvent(EventId::kBadObject, {{"object", "coordinator lease"},
                                   {"fault", ToString(lease.error())}});
    election_.OnFailed(now);
  } else if (is_written) {
    election_.OnWritten(lease.value(), sent);
  } else {
    election_.OnRead(lease.value(), now);
  }
}

void Coordinator::StartOrders(TimePoint now) {
  for (const auto& [model, named] : view_.weights()) {
    std::vector<serving::UnattendedTarget> unattended;
    size_t model_targets = 0;
    for (const auto& [id, target] : view_.fleet().targets()) {
      const auto loaded = target->record.weights.find(model);
      if (loaded == target->record.weights.end() || target->IsLeaving()) {
        continue;
      }
      ++model_targets;
      const bool is_paused = target->signals.PushbackLeft(now) > Duration{0} ||
                             target->signals.IsAvoided(now);
      if (!IsUnattended(*target, now) || is_paused) continue;
      unattended.push_back({.id = id,
                            .version = loaded->second,
                            .is_in_progress = orders_.contains(id)});
    }
    for (const std::string& id : serving::ChooseTargetsToOrder(
             unattended, named.newest(), model_targets,
             serving::kDefaultRolloutLimits)) {
      const auto target = view_.fleet().Find(id);
      auto order = std::make_unique<Order>(io_, target->record.address);
      order->model = model;
      order->version = named.newest();
      order->started = now;
      orders_.emplace(id, std::move(order));
    }
  }
}

void Coordinator::AdvanceOrders(TimePoint now) {
  std::erase_if(orders_, [&](const auto& entry) {
    const auto& [id, order] = entry;
    const auto target = view_.fleet().Find(id);
    const bool is_done =
        target && target->LoadedVersion(order->model) >= order->version;
    return !target || target->IsLeaving() || is_done ||
           !IsUnattended(*target, now) || now - order->started > kOrderTimeout;
  });
  for (const auto& [id, order] : orders_) {
    if (order->is_calling || now < order->next_call) continue;
    RequestReport(id, *order);
  }
}

void Coordinator::RequestReport(const std::string& target_id, Order& order) {
  order.is_calling = true;
  order.next_call = SteadyNow() + kOrderCallPeriod;
  dataplane::Call call =
      dataplane::Call::Get(std::string(platform::kReportPath), kCallTimeout);
  call.headers = platform::OrderHeaders(target_id);
  order.client.Start(
      std::move(call),
      [this, target_id](const Result<dataplane::CallResponse>& response) {
        OnReport(target_id, response);
      });
}

void Coordinator::OnReport(const std::string& target_id,
                           const Result<dataplane::CallResponse>& response) {
  const auto entry = orders_.find(target_id);
  const auto target = view_.fleet().Find(target_id);
  if (entry == orders_.end() || !target) return;
  Order& order = *entry->second;
  order.is_calling = false;
  if (!response || response.value().status != kStatusOk) return;
  if (platform::IsLeaving(response.value().headers)) {
    view_.fleet().OnLeaving(target_id, target->record.started);
    return;
  }
  const auto report = platform::DecodeReport(response.value().body);
  if (!report) {
    LogEvent(EventId::kBadMessage, {{"fault", ToString(report.error())}});
    return;
  }
  order.report = report.value();
  const auto loaded = order.report.weights.find(order.model);
  const bool is_behind =
      loaded != order.report.weights.end() && loaded->second < order.version;
  if (is_behind && !order.report.is_loading && !order.is_accepted) {
    SendOrder(target_id, order);
  }
  PublishPhase(target_id, order);
  if (is_behind) return;
  LogEvent(EventId::kWeightsLoaded,
           {{"target", target_id},
            {"model", order.model},
            {"version", std::to_string(order.version)},
            {"took_ms", FormatMilliseconds(SteadyNow() - order.started)}});
}

void Coordinator::SendOrder(const std::string& target_id, Order& order) {
  const uint64_t fence =
      serving::MakeFence(view_.era().current(), election_.known()->revision);
  // An agent may have used the naming's revision. The next renewal of the lease
  // gives a higher fence.
  if (!IsActive() || fence <= view_.newest_fence()) return;
  // The report was asked for a moment ago; its agent may have been heard since.
  const auto target = view_.fleet().Find(target_id);
  if (!target || !IsUnattended(*target, SteadyNow())) return;
  order.is_calling = true;
  fences_[target_id] = fence;
  platform::WeightsOrder message;
  message.model = order.model;
  message.version = order.version;
  message.holder = own_name_;
  message.fence = fence;
  message.orders_taken = order.report.orders_taken;
  LogEvent(EventId::kWeightsOrdered,
           {{"target", target_id},
            {"model", order.model},
            {"version", std::to_string(order.version)},
            {"fence", std::to_string(fence)},
            {"orders_taken", std::to_string(message.orders_taken)}});
  order.client.Start(
      {.method = "POST",
       .target = std::string(platform::kOrderPath),
       .headers = platform::OrderHeaders(target_id),
       .body = platform::EncodeOrder(message),
       .timeout = kCallTimeout},
      [this, target_id](const Result<dataplane::CallResponse>& response) {
        OnOrderAnswered(target_id, response);
      });
}

void Coordinator::OnOrderAnswered(
    const std::string& target_id,
    const Result<dataplane::CallResponse>& response) {
  LogEvent(EventId::kWeightsOrderAnswered,
           {{"target", target_id},
            {"answer", response ? std::to_string(response.value().status)
                                : ToString(response.error())}});
  const auto entry = orders_.find(target_id);
  if (entry == orders_.end()) return;
  Order& order = *entry->second;
  order.is_calling = false;
  const int status = response ? response.value().status : 0;
  order.is_accepted = status == kStatusAccepted || status == kStatusOk;
  if (!order.is_accepted) {
    order.next_call = SteadyNow() + kOrderRetryPause;
    return;
  }
  order.report.is_loading = true;
  PublishPhase(target_id, order);
}

void Coordinator::PublishPhase(const std::string& target_id,
                               const Order& order) {
  using serving::RolloutPhase;
  const platform::TargetReport& report = order.report;
  TargetStatus status;
  status.target = serving::MakeTargetKey(target_id);
  status.weights = report.weights;
  if (report.is_loading) {
    status.phase =
        report.active > 0 ? RolloutPhase::kDraining : RolloutPhase::kLoading;
  }
  status.queued = report.queued;
  status.active = report.active;
  status.prefilling = report.prefilling;
  status.memory_used = report.kv_used_tokens;
  status.memory_total = report.kv_total_tokens;
  publish_(status);
}

}  // namespace dogwoodlatch::daemon
