#include "dogwoodlatch/daemon/platform_view.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string_view>
#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {

using platform::ObjectKind;
using platform::RefusalCause;
using platform::StoredObject;

namespace {

// Old versions are excluded this long before the promised bound, because a
// request that is placed now takes some time to start.
constexpr Duration kWeightsMargin = std::chrono::milliseconds(1500);

// The versions in the first list may have been published at any earlier time.
// Targets on older versions are excluded this long after the first list, as the
// promised bounds apply again three seconds after a start.
constexpr Duration kFirstListGrace = std::chrono::milliseconds(2500);

// Entries of targets lapse after three heartbeats without a renewal; the rest
// is a margin.
constexpr double kEntryLifetimeHeartbeats = 3.5;

// Entries were renewed at most one heartbeat before an outage, so that none
// lapses in one that is shorter than this.
constexpr int kShortestLapseHeartbeats = 2;

// After an outage the platform restores lapsed entries of live targets within
// 2 s; the rest is for transmission.
constexpr Duration kRelistTime = std::chrono::milliseconds(2500);

// Models whose weights are followed; deployments have a few.
constexpr size_t kMaxModels = 4096;

// A restored store that still has an older configuration than this process is
// not taken as confirmation for at most this time. Operators repeat their
// writes much sooner.
constexpr Duration kMaxRewriteWait = std::chrono::seconds(15);

}  // namespace

PlatformView::PlatformView(const ViewBounds& bounds)
    : weights_bound_(bounds.weights - kWeightsMargin),
      freshness_(bounds.max_key_age),
      target_heartbeat_(bounds.target_heartbeat),
      startup_(bounds.is_revocation_strict),
      max_target_bytes_(bounds.target_bytes) {}

uint64_t PlatformView::OldestUsableWeights(const std::string& model,
                                           TimePoint now) const {
  const auto named = weights_.find(model);
  return named == weights_.end()
             ? 0
             : named->second.NewestKnownFor(weights_bound_, now);
}

void PlatformView::OnStoreResponse(TimePoint now) {
  if (consecutive_failures_ > 0) {
    reachable_since_ = now;
    LogEvent(EventId::kPlatformBack,
             {{"lost_ms", FormatMilliseconds(now - unreachable_since_)}});
  }
  consecutive_failures_ = 0;
  OnStoreSeen(now);
}

void PlatformView::OnStoreSeen(TimePoint now) {
  const bool may_have_lapsed =
      now - store_seen_at_ >= kShortestLapseHeartbeats * target_heartbeat_;
  if (has_failed_since_seen_ && may_have_lapsed) {
    relist_deadline_ = now + kRelistTime;
  }
  has_failed_since_seen_ = false;
  store_seen_at_ = now;
}

serving::EraVerdict PlatformView::OnEra(uint64_t era, TimePoint now,
                                        TimePoint boot_now) {
  const uint64_t previous = era_.current();
  const serving::EraVerdict verdict = era_.OnAnswer(era, now);
  if (!std::exchange(has_era_, true)) {
    startup_.OnFirstAnswer(era, boot_now);
    freshness_.IgnoreUntil(startup_.proves_from());
    restored_at_ = boot_now;
  }
  if (verdict != serving::EraVerdict::kRestored) return verdict;
  was_restored_ = true;
  const uint64_t kept = configuration_ ? configuration_->version() : 0;
  LogEvent(EventId::kStoreRestored, {{"era", std::to_string(era)},
                                     {"previous", std::to_string(previous)},
                                     {"configuration", std::to_string(kept)}});
  target_revisions_.clear();
  newest_targets_revision_ = 0;
  stored_configuration_ = 0;
  restored_at_ = boot_now;
  // Entries of live targets may be missing until they are written again.
  relist_deadline_ = now + kRelistTime;
  fleet_.OnStoreRestored(std::chrono::duration_cast<Duration>(
                             kEntryLifetimeHeartbeats * target_heartbeat_),
                         now);
  // A read cannot show a revocation that was lost and not yet written again.
  freshness_.IgnoreUntil(boot_now + serving::kRewriteTime);
  return verdict;
}

// The configuration in force is never replaced by an older one. A restored
// store confirms it only once the operator's lost writes are back.
void PlatformView::ConfirmConfiguration(TimePoint sent) {
  const bool is_behind = stored_configuration_ < KnownState().configuration;
  const bool must_wait = is_behind && restored_at_ != TimePoint{} &&
                         sent - restored_at_ <= kMaxRewriteWait;
  if (!must_wait) freshness_.OnConfirmed(sent);
}

bool PlatformView::OnPeerState(const serving::KnownState& peer) {
  startup_.OnPeerState(peer);
  const bool is_vouched_for =
      has_era_ && !was_restored_ && startup_.proves_from() == TimePoint::min();
  if (is_vouched_for) freshness_.IgnoreUntil(TimePoint::min());
  return is_vouched_for;
}

serving::KnownState PlatformView::KnownState() const {
  const uint64_t own = configuration_ ? configuration_->version() : 0;
  serving::KnownState state;
  state.era = era_.current();
  state.configuration = std::max(own, startup_.configuration());
  state.is_settled =
      freshness_.HasProof() && stored_configuration_ >= state.configuration;
  return state;
}

serving::KnownState PlatformView::KnownEra(TimePoint boot_now) const {
  const bool is_settled =
      has_era_ && boot_now - restored_at_ >= serving::kRewriteTime;
  return {era_.current(), 0, is_settled};
}

bool PlatformView::OnPeerProof(uint64_t configuration, TimePoint sent,
                               TimePoint now) {
  OnStoreSeen(now);
  const bool is_known =
      configuration_ && configuration <= configuration_->version();
  if (!is_known) return false;
  stored_configuration_ = std::max(stored_configuration_, configuration);
  ConfirmConfiguration(sent);
  return true;
}

void PlatformView::OnFailure(ObjectKind kind, const std::string& reason,
                             TimePoint due, TimePoint now) {
  if (due < store_seen_at_) return;
  has_failed_since_seen_ = true;
  if (consecutive_failures_++ > 0) return;
  unreachable_since_ = now;
  LogEvent(EventId::kPlatformUnavailable,
           {{"feed", std::string(ToString(kind))}, {"reason", reason}});
}

void PlatformView::OnList(ObjectKind kind,
                          const std::vector<StoredObject>& objects,
                          TimePoint sent, TimePoint now) {
  OnStoreResponse(now);
  if (kind == ObjectKind::kTargets) AdoptTargets(objects, now, true);
  if (kind != ObjectKind::kTargets) OnChanges(kind, objects, sent, now);
  if (kind == ObjectKind::kWeights) has_weights_ = true;
}

// Targets that were not listed may still be there, so none is removed. A newer
// configuration may be among the objects that were not listed, so that such a
// list proves nothing.
bool PlatformView::OnIncompleteList(ObjectKind kind,
                                    const std::vector<StoredObject>& objects,
                                    TimePoint sent, TimePoint now) {
  ++incomplete_lists_;
  if (kind == ObjectKind::kConfiguration) return false;
  OnChanges(kind, objects, sent, now);
  if (kind == ObjectKind::kWeights) has_weights_ = true;
  return true;
}

void PlatformView::OnChanges(ObjectKind kind,
                             const std::vector<StoredObject>& objects,
                             TimePoint sent, TimePoint now) {
  OnStoreResponse(now);
  switch (kind) {
    case ObjectKind::kConfiguration:
      std::ranges::for_each(objects, [&](const StoredObject& object) {
        AdoptConfiguration(object);
      });
      ConfirmConfiguration(sent);
      break;
    case ObjectKind::kTargets:
      AdoptTargets(objects, now, false);
      break;
    case ObjectKind::kWeights:
      std::ranges::for_each(objects, [&](const StoredObject& object) {
        AdoptWeights(object, now);
      });
      break;
  }
}

void PlatformView::AdoptConfiguration(const StoredObject& object) {
  if (object.deleted) return;
  const auto listed = platform::DecodeConfigurationVersion(object.content);
  if (listed && configuration_ && *listed <= configuration_->version()) {
    stored_configuration_ = std::max(stored_configuration_, *listed);
    return;
  }
  std::vector<Error> faults;
  Result<serving::Configuration> decoded =
      platform::DecodeConfiguration(object.content, faults);
  for (const Error& fault : faults) {
    LogEvent(EventId::kBadObject,
             {{"object", object.name}, {"fault", ToString(fault)}});
  }
  if (!decoded) {
    ++refused_configurations_;
    LogEvent(EventId::kBadObject,
             {{"object", object.name}, {"fault", ToString(decoded.error())}});
    return;
  }
  const uint64_t version = decoded.value().version();
  stored_configuration_ = std::max(stored_configuration_, version);
  if (configuration_ && version <= configuration_->version()) return;
  configuration_ = std::make_shared<const serving::Configuration>(
      std::move(decoded).value());
  LogEvent(EventId::kConfigurationAdopted,
           {{"version", std::to_string(version)},
            {"revision", std::to_string(object.revision)},
            {"routes", std::to_string(configuration_->routes().size())}});
  if (configuration_changed_) configuration_changed_();
}

void PlatformView::AdoptTargets(const std::vector<StoredObject>& objects,
                                TimePoint now, bool is_full_list) {
  std::vector<serving::TargetRecord> present;
  size_t used_bytes = fleet_.HeldBytes();
  for (const StoredObject& object : objects) {
    uint64_t& revision = target_revisions_[object.name];
    newest_targets_revision_ =
        std::max(newest_targets_revision_, object.revision);
    const bool is_older = object.revision < revision;
    if (is_older && !is_full_list) continue;
    revision = std::max(revision, object.revision);
    if (object.deleted) {
      target_revisions_.erase(object.name);
      fleet_.Remove(object.name, relist_deadline_, now);
      ReportUnlisted(object.name, now);
      continue;
    }
    Result<serving::TargetRecord> record = platform::DecodeTarget(object);
    if (!record) {
      Refuse(object, RefusalCause::kForm, ToString(record.error()));
      continue;
    }
    const serving::Fleet::TargetPtr known = fleet_.Find(object.name);
    if (!HasRoomFor(record.value(), known.get(), used_bytes)) {
      Refuse(object, RefusalCause::kSize, "no memory for more targets");
      if (known && is_full_list) present.push_back(known->record);
      continue;
    }
    if (!known || known->record != record.value()) {
      LogEvent(EventId::kTargetListed,
               {{"target", object.name},
                {"service", record.value().service},
                {"address", record.value().address},
                {"draining", record.value().draining ? "yes" : "no"},
                {"revision", std::to_string(object.revision)}});
    }
    if (is_full_list) {
      present.push_back(std::move(record).value());
    } else {
      fleet_.Upsert(record.value(), now);
    }
  }
  if (is_full_list) {
    const std::vector<std::string> missing =
        fleet_.Replace(present, relist_deadline_, now);
    for (const std::string& id : missing) ReportUnlisted(id, now);
    ForgetRevisionsExcept(objects);
  }
  has_targets_ = true;
}

void PlatformView::ForgetRevisionsExcept(
    const std::vector<StoredObject>& listed) {
  std::set<std::string_view> names;
  for (const StoredObject& object : listed) names.insert(object.name);
  std::erase_if(target_revisions_, [&](const auto& entry) {
    return !names.contains(entry.first);
  });
}

bool PlatformView::HasRoomFor(const serving::TargetRecord& record,
                              const serving::Target* known,
                              size_t& used_bytes) const {
  const size_t bytes = serving::HeldBytes(record);
  const size_t known_bytes = known ? serving::HeldBytes(known->record) : 0;
  const size_t used = used_bytes - known_bytes + bytes;
  if (bytes > known_bytes && used > max_target_bytes_) return false;
  used_bytes = used;
  return true;
}

void PlatformView::OnRefused(ObjectKind kind,
                             const platform::ObjectRefusals& refusals) {
  std::ranges::transform(refused_objects_, refusals.counts,
                         refused_objects_.begin(), std::plus{});
  if (kind != ObjectKind::kTargets) return;
  newest_targets_revision_ =
      std::max(newest_targets_revision_, refusals.newest_revision);
}

void PlatformView::Refuse(const StoredObject& object, RefusalCause cause,
                          const std::string& fault) {
  ++refused_objects_.at(static_cast<size_t>(cause));
  LogEvent(EventId::kBadObject,
           {{"object", platform::LoggableName(object.name)}, {"fault", fault}});
}

void PlatformView::ReportUnlisted(const std::string& id, TimePoint now) {
  const bool is_kept = fleet_.Find(id) != nullptr;
  LogEvent(EventId::kTargetUnlisted,
           {{"target", id},
            {"store_back_ms", FormatMilliseconds(now - reachable_since_)},
            {"kept_ms",
             is_kept ? FormatMilliseconds(relist_deadline_ - now) : "0"}});
  if (!is_kept && target_removed_) target_removed_(id);
}

void PlatformView::AdoptWeights(const StoredObject& object, TimePoint now) {
  if (object.deleted) return;
  const Result<platform::NamedWeights> named =
      platform::DecodeNamedWeights(object);
  if (!named) {
    Refuse(object, RefusalCause::kForm, ToString(named.error()));
    return;
  }
  if (!weights_.contains(named.value().model) &&
      weights_.size() >= kMaxModels) {
    Refuse(object, RefusalCause::kSize, "too many models");
    return;
  }
  newest_fence_ =
      std::max(newest_fence_,
               serving::MakeFence(era_.current(), named.value().revision));
  const Duration known_for =
      has_weights_ ? Duration{0} : weights_bound_ - kFirstListGrace;
  const bool is_newest = weights_[named.value().model].OnNamed(
      named.value().version, now, known_for);
  if (!is_newest) return;
  LogEvent(EventId::kWeightsNamed,
           {{"model", named.value().model},
            {"version", std::to_string(named.value().version)},
            {"era", std::to_string(era_.current())},
            {"revision", std::to_string(named.value().revision)}});
}

void PlatformView::Tick(TimePoint now) {
  for (const std::string& id : fleet_.DropExpired(now)) {
    LogEvent(EventId::kTargetUnlisted,
             {{"target", id}, {"kept_ms", "expired"}});
    if (target_removed_) target_removed_(id);
  }
}

}  // namespace dogwoodlatch::daemon
