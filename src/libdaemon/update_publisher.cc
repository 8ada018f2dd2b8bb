#include "dogwoodlatch/daemon/update_publisher.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using serving::ChangeSize;
using std::chrono::milliseconds;

// How long a router repeats that a target leaves, as updates may be lost.
constexpr Duration kLeavingRepeatTime = milliseconds(1500);

// Bounds the memory for parts that were announced.
constexpr size_t kMaxAnnouncedParts = 16384;
constexpr int kTargetKeyShift = 32;

// Keeps an update within one packet.
constexpr size_t kMaxTargetsPerUpdate = 16;
constexpr size_t kMaxPartsPerUpdate = 64;

// Reports on suspects go to few routers at a time, which pass them on.
constexpr milliseconds kFreshSuspectsPeriod{100};
constexpr milliseconds kSuspectsPeriod{1000};

bool IsModelTarget(const serving::Target& target) {
  return !target.record.weights.empty();
}

// None if there is nothing to tell, which is shorter.
std::optional<serving::PriorityBacklog> ByPriority(
    const serving::Target& target, Duration published) {
  if (published == Duration{0}) return std::nullopt;
  return target.signals.own_backlog_by_priority();
}

uint64_t AnnouncementKey(serving::TargetKey target, uint64_t part) {
  return part ^ (uint64_t{target} << kTargetKeyShift);
}

}  // namespace

void UpdatePublisher::Tick(const State& state, TimePoint now) {
  PublishUpdate(state, now);
  PublishSuspects(state, now);
  relay_.FlushForwarded();
}

void UpdatePublisher::OnPartAnnounced(serving::TargetKey target, uint64_t part,
                                      TimePoint now) {
  DropOldAnnouncements(now);
  announced_[AnnouncementKey(target, part)] = now;
}

void UpdatePublisher::OnLeavingAnnounced(const std::string& target_id) {
  leaving_since_.try_emplace(target_id, TimePoint{});
}

void UpdatePublisher::DropOldAnnouncements(TimePoint now) {
  if (announced_.size() < kMaxAnnouncedParts) return;
  const Duration repeat =
      serving::PartRepeatTime(relay_.plan().members().size());
  std::erase_if(announced_, [&](const auto& entry) {
    return now - entry.second >= repeat;
  });
  if (announced_.size() >= kMaxAnnouncedParts) announced_.clear();
}

ChangeSize UpdatePublisher::CollectParts(TimePoint now) {
  DropOldAnnouncements(now);
  const Duration repeat =
      serving::PartRepeatTime(relay_.plan().members().size());
  ChangeSize change = ChangeSize::kNone;
  for (auto& [id, parts] : std::exchange(context_.sent_parts, {})) {
    const serving::TargetKey target = serving::MakeTargetKey(id);
    for (const uint64_t part : parts) {
      const auto [entry, is_new] =
          announced_.try_emplace(AnnouncementKey(target, part), now);
      if (!is_new && now - entry->second < repeat) continue;
      entry->second = now;
      pending_[id].parts.push_back(part);
      change =
          is_new ? ChangeSize::kLarge : std::max(change, ChangeSize::kSmall);
    }
  }
  return change;
}

// What is left of a quota is only stated while that is little. Others must then
// hear at once of what is spent.
ChangeSize UpdatePublisher::CollectQuota() {
  auto report = context_.quotas.TakeReport(BootNow());
  if (report && quota_) {
    const auto is_repeated = [&](const serving::QuotaUse& earlier) {
      return std::ranges::find(report->uses, earlier.workspace,
                               &serving::QuotaUse::workspace) !=
             report->uses.end();
    };
    std::ranges::copy_if(quota_->uses, std::back_inserter(report->uses),
                         std::not_fn(is_repeated));
  }
  if (report) quota_ = std::move(report);
  if (!quota_) return ChangeSize::kNone;
  const bool is_near_limit =
      quota_->asks_for_left ||
      std::ranges::any_of(quota_->uses, [](const serving::QuotaUse& use) {
        return use.left.has_value();
      });
  return is_near_limit ? ChangeSize::kLarge : ChangeSize::kSmall;
}

ChangeSize UpdatePublisher::Collect(TimePoint now) {
  pending_parts_ = std::max(pending_parts_, CollectParts(now));
  ChangeSize change = std::max(pending_parts_, CollectQuota());
  std::ranges::copy(context_.saved_parts.TakeGranted(),
                    std::back_inserter(saved_));
  std::ranges::copy(context_.saved_parts.TakeFetched(),
                    std::back_inserter(fetched_));
  if (!saved_.empty() || !fetched_.empty()) {
    change = std::max(change, ChangeSize::kSmall);
  }
  const size_t routers = relay_.plan().members().size();
  for (const auto& [id, target] : context_.view.fleet().targets()) {
    const Duration backlog =
        serving::BacklogToPublish(target->signals.own_backlog(), routers);
    if (auto samples = target->signals.engine().TakeSamples();
        !samples.empty()) {
      std::ranges::copy(samples, std::back_inserter(pending_[id].slowness));
      change = std::max(change, ChangeSize::kSmall);
    }
    if (backlog == Duration{0} && pending_.empty()) continue;
    const auto sent = pending_.find(id);
    const Duration last =
        sent == pending_.end() ? Duration{0} : sent->second.backlog;
    if ((backlog == Duration{0} && last == Duration{0}) ||
        !IsModelTarget(*target)) {
      continue;
    }
    pending_.try_emplace(id);
    change = std::max(change, serving::CompareBacklogs(last, backlog, routers));
  }
  return change;
}

// What others have announced is not announced again, as each router would do
// so.
std::vector<RouterUpdate::Leaving> UpdatePublisher::CollectLeaving(
    bool& is_urgent, TimePoint now) {
  std::vector<RouterUpdate::Leaving> leaving;
  for (const auto& [id, target] : context_.view.fleet().targets()) {
    if (!target->leaving || target->record.draining) continue;
    const auto [since, is_new] = leaving_since_.try_emplace(id, now);
    is_urgent |= is_new;
    if (now - since->second > kLeavingRepeatTime) continue;
    leaving.push_back({serving::MakeTargetKey(id), target->record.started});
  }
  std::erase_if(leaving_since_, [&](const auto& entry) {
    return context_.view.fleet().Find(entry.first) == nullptr;
  });
  return leaving;
}

// Sends what changed since the last update, and repeats backlogs that are not
// zero.
void UpdatePublisher::PublishUpdate(const State& state, TimePoint now) {
  if (!relay_.is_open()) return;
  bool is_urgent = std::exchange(sent_phase_, state.phase) != state.phase;
  std::vector<RouterUpdate::Leaving> leaving = CollectLeaving(is_urgent, now);
  ChangeSize change = Collect(now);
  if (!leaving.empty() || state.phase == serving::RouterPhase::kStopping) {
    change = std::max(change, ChangeSize::kSmall);
  }
  const size_t routers = relay_.plan().members().size();
  if (!is_urgent && !schedule_.IsDue(change, routers, now)) return;
  schedule_.OnSent(now);
  pending_parts_ = ChangeSize::kNone;
  ++sequence_;
  RouterUpdate update = MakeUpdate(state);
  update.targets_leaving = std::move(leaving);
  update.parts_saved = std::exchange(saved_, {});
  update.parts_fetched = std::exchange(fetched_, {});
  update.quota = std::exchange(quota_, std::nullopt);
  size_t parts = 0;
  for (auto& [id, pending] : pending_) {
    const auto target = context_.view.fleet().Find(id);
    if (!target) {
      pending = {};
      continue;
    }
    pending.backlog =
        serving::BacklogToPublish(target->signals.own_backlog(), routers);
    parts += pending.parts.size();
    update.targets.push_back({serving::MakeTargetKey(id), pending.backlog,
                              std::exchange(pending.parts, {}),
                              std::exchange(pending.slowness, {}),
                              ByPriority(*target, pending.backlog)});
    if (update.targets.size() < kMaxTargetsPerUpdate &&
        parts < kMaxPartsPerUpdate) {
      continue;
    }
    Send(std::exchange(update, MakeUpdate(state)), is_urgent, now);
    parts = 0;
  }
  std::erase_if(pending_, [](const auto& entry) {
    return entry.second.backlog == Duration{0};
  });
  Send(update, is_urgent, now);
}

// Sends what is known of requests and parts that crash targets. A report holds
// all that this router knows of a suspect, so that one that is lost, or that a
// router was not there to receive, is made up for by the next.
void UpdatePublisher::PublishSuspects(const State& state, TimePoint now) {
  for (const serving::SuspectChange& change : context_.poison.TakeChanges()) {
    LogEvent(EventId::kSuspectChanged,
             {{"suspect", ToString(change.suspect)},
              {"holds_back", change.holds_back ? "yes" : "no"},
              {"crashes", std::to_string(change.crashes)}});
  }
  if (!relay_.is_open() || !context_.poison.has_suspects()) return;
  const Duration period = context_.poison.HasFreshReports(now)
                              ? kFreshSuspectsPeriod
                              : kSuspectsPeriod;
  if (now - suspects_sent_at_ < period) return;
  suspects_sent_at_ = now;
  const std::vector<uint64_t> others = relay_.plan().All();
  std::vector<uint64_t> routers{state.own_key};
  std::ranges::copy(others, std::back_inserter(routers));
  context_.poison.SetRouters(std::move(routers));
  RouterUpdate update = MakeUpdate(state);
  update.suspects = context_.poison.TakeReports(now);
  if (update.suspects.empty()) return;
  std::vector<uint64_t> receivers;
  std::ranges::transform(suspects_rotation_.Next(others.size()),
                         std::back_inserter(receivers),
                         [&](size_t index) { return others[index]; });
  relay_.SendDirect(receivers, Encode(update), ControlKind::kUpdate);
}

RouterUpdate UpdatePublisher::MakeUpdate(const State& state) const {
  RouterUpdate update;
  update.phase = state.phase;
  update.stopping_for = state.stopping_for;
  update.sequence = sequence_;
  return update;
}

void UpdatePublisher::Send(const RouterUpdate& update, bool is_urgent,
                           TimePoint now) {
  const std::vector<uint8_t> message = Encode(update);
  if (is_urgent) {
    relay_.SendDirect(relay_.plan().All(), message, ControlKind::kUpdate);
  } else {
    relay_.SendRelayed(message, ControlKind::kUpdate, now);
  }
}

}  // namespace dogwoodlatch::daemon
