#include "dogwoodlatch/serving/fleet.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>
#include <span>

namespace dogwoodlatch::serving {
namespace {

// Weight of one outcome in the moving average of failures, which thus covers
// about the last twenty requests.
constexpr double kOutcomeWeight = 0.05;

// A target is avoided for this time after a failed connection. The time is
// short compared with 0.6 s, the shortest deadline of requests, and doubles
// with each further failure, up to the given number of doublings.
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(250);
constexpr int kMaxAvoidanceDoublings = 3;

// A single connection may break for reasons of its own.
constexpr int kCrashConnections = 2;

// A replaced target is avoided until the platform has dropped its entry, which
// takes three heartbeat intervals of 1.2 s.
constexpr Duration kReplacedTargetAvoidance = std::chrono::seconds(4);

// A target counts as refusing for this time after a refusal. It is then full or
// loads weights, which takes about a second. The time doubles with each further
// refusal, up to the given number of doublings, until a request succeeds there
// or none has been refused for the longest such time.
constexpr Duration kRefusalAvoidance = std::chrono::milliseconds(250);
constexpr int kMaxRefusalDoublings = 3;

// The backlog that another router reported counts for this time. Routers repeat
// a lasting backlog several times within it.
constexpr Duration kBacklogLifetime = std::chrono::milliseconds(400);

// An agent's report is outdated after this time. Agents send several reports a
// second.
constexpr Duration kReportLifetime = std::chrono::milliseconds(800);

// A target is assumed to hold a part for this time after its use: under load,
// unused cached parts are evicted after several seconds. The number of known
// parts is bounded for each target.
constexpr Duration kPartLifetime = std::chrono::seconds(8);
constexpr size_t kMaxKnownParts = 4096;

// A store comes back from a copy that is some seconds old, so it may list
// targets that were removed within about this time.
constexpr Duration kDepartureLifetime = std::chrono::seconds(60);
constexpr size_t kMaxDepartures = 4096;

// A report says what was so about this long before it arrived.
constexpr Duration kReportAge = std::chrono::milliseconds(200);

size_t PriorityIndex(int priority) {
  return static_cast<size_t>(std::clamp(priority, 0, kLastPriority));
}

Duration Sum(std::span<const Duration> backlogs) {
  return std::accumulate(backlogs.begin(), backlogs.end(), Duration{0});
}

// Links and header of a node of a map.
constexpr size_t kNodeOverhead = 6 * sizeof(void*);

}  // namespace

void TargetSignals::OnPlaced(Duration prefill, int priority) {
  ++placed_;
  prefill_backlog_[PriorityIndex(priority)] += prefill;
}

void TargetSignals::OnPlacementEnded(Duration prefill, int priority) {
  placed_ = std::max(0, placed_ - 1);
  OnFirstEvent(prefill, priority);
}

void TargetSignals::OnSent(TimePoint now, Duration prefill, int priority) {
  if (in_flight_ == 0) waiting_since_ = now;
  ++in_flight_;
  prefill_backlog_[PriorityIndex(priority)] += prefill;
}

void TargetSignals::OnMemoryTaken(int64_t tokens, TimePoint now) {
  while (!memory_taken_.empty() &&
         now - memory_taken_.front().at > kReportLifetime + kReportAge) {
    memory_taken_.pop_front();
  }
  memory_taken_.push_back({now, tokens});
}

int64_t TargetSignals::UnreportedMemory(TimePoint now) const {
  const TimePoint since =
      std::max(reported_at_, now - kReportLifetime) - kReportAge;
  int64_t tokens = 0;
  for (const MemoryTaken& taken : memory_taken_) {
    if (taken.at >= since) tokens += taken.tokens;
  }
  return tokens;
}

void TargetSignals::OnFirstEvent(Duration prefill, int priority) {
  Duration& backlog = prefill_backlog_[PriorityIndex(priority)];
  backlog = std::max(Duration{0}, backlog - prefill);
}

void TargetSignals::OnEnded() { in_flight_ = std::max(0, in_flight_ - 1); }

void TargetSignals::OnOutcome(bool failed) {
  if (!failed) refusal_streak_ = 0;
  failure_rate_ += kOutcomeWeight * ((failed ? 1.0 : 0.0) - failure_rate_);
}

void TargetSignals::OnUnreachable(TimePoint now) {
  const int doublings = std::min(unreachable_streak_, kMaxAvoidanceDoublings);
  avoid_until_ = now + kInitialAvoidance * (1 << doublings);
  ++unreachable_streak_;
}

bool TargetSignals::OnConnectionsBroken(int count, TimePoint now) {
  if (now - broken_since_ > kCrashWindow) {
    broken_since_ = now;
    broken_connections_ = 0;
  }
  broken_connections_ += count;
  if (broken_connections_ < kCrashConnections) return false;
  const bool was_avoided = IsAvoided(now);
  avoid_until_ = std::max(avoid_until_, now + kInitialAvoidance);
  return !was_avoided;
}

void TargetSignals::OnReplaced(TimePoint now) {
  avoid_until_ = now + kReplacedTargetAvoidance;
}

// Refusals of requests that were sent before the first one arrived are part of
// the same one.
void TargetSignals::OnRefused(TimePoint now) {
  const Duration longest = kRefusalAvoidance * (1 << kMaxRefusalDoublings);
  if (now - refusing_until_ > longest) refusal_streak_ = 0;
  if (!IsRefusing(now)) ++refusal_streak_;
  const int doublings =
      std::clamp(refusal_streak_ - 1, 0, kMaxRefusalDoublings);
  refusing_until_ = now + kRefusalAvoidance * (1 << doublings);
}

void TargetSignals::OnPushback(Duration pushback, TimePoint now) {
  pushback_until_ = std::max(pushback_until_, now + pushback);
}

Duration TargetSignals::PushbackLeft(TimePoint now) const {
  return std::max(Duration{0}, pushback_until_ - now);
}

void TargetSignals::OnPeerBacklog(uint64_t router, Duration backlog,
                                  TimePoint now) {
  // Of unknown priority: it may be ahead of any request.
  OnPeerBacklog(router, PriorityBacklog{backlog}, now);
}

void TargetSignals::OnPeerBacklog(uint64_t router,
                                  const PriorityBacklog& backlog,
                                  TimePoint now) {
  std::erase_if(peer_backlogs_, [&](const PeerBacklog& peer) {
    return peer.router == router || now - peer.heard >= kBacklogLifetime;
  });
  if (Sum(backlog) == Duration{0}) return;
  PeerBacklog peer{.router = router, .heard = now};
  std::partial_sum(backlog.begin(), backlog.end(), peer.up_to.begin());
  peer_backlogs_.push_back(peer);
}

Duration TargetSignals::TotalBacklog(TimePoint now) const {
  return BacklogFor(kLastPriority, now).total;
}

TargetSignals::Backlog TargetSignals::BacklogFor(int priority,
                                                 TimePoint now) const {
  const size_t index = PriorityIndex(priority);
  Backlog backlog{.ahead = Sum(std::span(prefill_backlog_).first(index + 1)),
                  .total = Sum(prefill_backlog_)};
  for (const PeerBacklog& peer : peer_backlogs_) {
    if (now - peer.heard >= kBacklogLifetime) continue;
    backlog.ahead += peer.up_to[index];
    backlog.total += peer.up_to.back();
  }
  backlog.ahead += std::min(backlog.total - backlog.ahead, ChunkWork());
  return backlog;
}

Duration TargetSignals::own_backlog() const { return Sum(prefill_backlog_); }

void TargetSignals::OnReport(const LoadReport& report, TimePoint now) {
  reported_at_ = now;
  report_ = report;
}

LoadReport TargetSignals::Report(TimePoint now) const {
  return now - reported_at_ < kReportLifetime ? report_ : LoadReport{};
}

Duration TargetSignals::UnresponsiveTime(TimePoint now) const {
  if (in_flight_ == 0) return Duration{0};
  return now - std::max(waiting_since_, last_received_);
}

void TargetSignals::OnPartUsed(uint64_t part, TimePoint now) {
  if (parts_.size() >= kMaxKnownParts) {
    std::erase_if(parts_, [&](const auto& entry) {
      return now - entry.second > kPartLifetime;
    });
    if (parts_.size() >= kMaxKnownParts) parts_.clear();
  }
  parts_[part] = now;
}

bool TargetSignals::HoldsPart(uint64_t part, TimePoint now) const {
  return LastUse(part, now).has_value();
}

std::optional<TimePoint> TargetSignals::LastUse(uint64_t part,
                                                TimePoint now) const {
  const auto found = parts_.find(part);
  if (found == parts_.end() || now - found->second > kPartLifetime) {
    return std::nullopt;
  }
  return found->second;
}

uint64_t Target::LoadedVersion(std::string_view model) const {
  const auto found = std::ranges::find(
      record.weights, model,
      [](const auto& entry) -> std::string_view { return entry.first; });
  return found == record.weights.end() ? 0 : found->second;
}

void Target::UpdateWeights(const std::map<std::string, uint64_t>& weights) {
  for (const auto& [model, version] : weights) {
    uint64_t& known = record.weights[model];
    if (version <= known) continue;
    known = version;
    signals.ForgetParts();
  }
}

size_t HeldBytes(const TargetRecord& record) {
  return std::transform_reduce(
      record.weights.begin(), record.weights.end(),
      sizeof(Target) + record.id.capacity() + record.service.capacity() +
          record.address.capacity() + record.failure_domain.capacity(),
      std::plus{}, [](const auto& entry) {
        return sizeof(entry) + kNodeOverhead + entry.first.capacity();
      });
}

size_t Fleet::HeldBytes() const {
  return std::transform_reduce(
      targets_.begin(), targets_.end(), size_t{0}, std::plus{},
      [](const auto& entry) {
        return serving::HeldBytes(entry.second->record);
      });
}

void Fleet::Upsert(const TargetRecord& record, TimePoint now) {
  TargetPtr& target = targets_[record.id];
  const auto is_same = [&](WallTime started, std::string_view address) {
    return started == record.started && address == record.address;
  };
  const bool same_incarnation =
      target && is_same(target->record.started, target->record.address);
  if (!same_incarnation) {
    target = std::make_shared<Target>();
    auto& engine = engines_[record.service];
    if (!engine) engine = std::make_shared<ServiceEngineEstimator>();
    target->signals.engine().SetService(engine);
    const auto departed = departures_.find(record.id);
    if (departed != departures_.end() &&
        is_same(departed->second.started, departed->second.address)) {
      target->leaving = departed->second.was_leaving;
      if (now < hold_returned_until_) {
        target->usable_from = hold_returned_until_;
      }
    }
  }
  if (target->record.draining) target->leaving = true;
  // The agent's report may be newer than the list; versions only increase.
  std::map<std::string, uint64_t> known = std::move(target->record.weights);
  target->record = record;
  target->listed = true;
  std::swap(target->record.weights, known);
  target->UpdateWeights(known);
}

bool Fleet::OnLeaving(std::string_view id, WallTime started) {
  const TargetPtr target = Find(id);
  if (!target || target->record.started != started || target->leaving) {
    return false;
  }
  target->leaving = true;
  return true;
}

void Fleet::OnStoreRestored(Duration entry_lifetime, TimePoint now) {
  hold_returned_until_ = now + entry_lifetime;
}

void Fleet::Erase(std::string_view id, TimePoint now) {
  const auto found = targets_.find(id);
  const Target& target = *found->second;
  if (departures_.size() >= kMaxDepartures) {
    std::erase_if(departures_, [&](const auto& entry) {
      return now - entry.second.at > kDepartureLifetime;
    });
    if (departures_.size() >= kMaxDepartures) departures_.clear();
  }
  departures_.insert_or_assign(found->first,
                               Departure{.started = target.record.started,
                                         .address = target.record.address,
                                         .was_leaving = target.IsLeaving(),
                                         .at = now});
  targets_.erase(found);
}

void Fleet::Remove(std::string_view id, TimePoint relist_deadline,
                   TimePoint now) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) return;
  Target& target = *found->second;
  if (target.listed) target.relist_deadline = relist_deadline;
  target.listed = false;
  if (target.IsLeaving() || target.IsExpired(now)) Erase(id, now);
}

std::vector<std::string> Fleet::Replace(
    const std::vector<TargetRecord>& records, TimePoint relist_deadline,
    TimePoint now) {
  std::set<std::string_view> present;
  for (const TargetRecord& record : records) {
    present.insert(record.id);
    Upsert(record, now);
  }
  std::vector<std::string> missing;
  for (const auto& [id, target] : targets_) {
    if (target->listed && !present.contains(id)) missing.push_back(id);
  }
  for (const std::string& id : missing) Remove(id, relist_deadline, now);
  return missing;
}

std::vector<std::string> Fleet::DropExpired(TimePoint now) {
  std::vector<std::string> dropped;
  for (const auto& [id, target] : targets_) {
    if (target->IsExpired(now)) dropped.push_back(id);
  }
  for (const std::string& id : dropped) Erase(id, now);
  return dropped;
}

Fleet::TargetPtr Fleet::Find(std::string_view id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : found->second;
}

std::vector<Fleet::TargetPtr> Fleet::Serving(std::string_view service,
                                             TimePoint now) const {
  std::vector<TargetPtr> serving;
  const auto usable = [&](const TargetPtr& target) {
    return target->record.service == service && !target->IsLeaving() &&
           !target->IsExpired(now) && now >= target->usable_from;
  };
  for (const auto& [id, target] : targets_) {
    if (usable(target)) serving.push_back(target);
  }
  return serving;
}

}  // namespace dogwoodlatch::serving
