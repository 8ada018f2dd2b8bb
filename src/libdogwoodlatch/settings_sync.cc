#include "dogwoodlatch/settings_sync.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

bool IsSettings(std::string_view path) {
  return path.starts_with(kSettingsPrefix);
}

}  // namespace

SettingsSync::SettingsSync(WatchLoopOptions options,
                           std::vector<std::string> other_prefixes,
                           bool has_peers, std::mt19937_64 random,
                           TimePoint now)
    : options_(options),
      prefixes_(std::move(other_prefixes)),
      loop_(options, random, now),
      peers_asked_(!has_peers) {
  prefixes_.emplace_back(kSettingsPrefix);
}

SyncChanges SettingsSync::OnList(const ObjectList& list, TimePoint now) {
  SyncChanges update;
  for (const std::string& prefix : prefixes_) {
    ObjectList below{list.revision, {}};
    std::ranges::copy_if(list.objects, std::back_inserter(below.objects),
                         [&](const PlatformObject& object) {
                           return object.path.starts_with(prefix);
                         });
    const ListResult result = objects_.OnList(prefix, below);
    for (const ObjectChange& change : result.newer) ApplyListed(change, update);
    for (const std::string& path : result.missing) {
      ApplyMissing(path, list.revision, now, update);
    }
  }
  loop_.OnList(list.revision, now);
  return FinishUpdate(std::move(update), now);
}

SyncChanges SettingsSync::OnWatch(const ChangeList& list, TimePoint now) {
  SyncChanges update;
  for (const ObjectChange& change : list.changes) {
    if (!objects_.OnChange(change)) continue;
    if (IsSettings(change.object.path)) {
      settings_.OnChange(change);
    } else {
      update.objects.push_back(change);
    }
  }
  has_watched_ = true;
  loop_.OnWatch(list.revision, now);
  return FinishUpdate(std::move(update), now);
}

SyncChanges SettingsSync::OnHistory(const std::string& path,
                                    const ObjectHistory& history,
                                    TimePoint now) {
  std::ranges::for_each(history, [this](const ObjectChange& change) {
    objects_.OnChange(change);
  });
  settings_.OnHistory(path, history);
  loop_.OnHistory(now);
  // A stale replica may have answered, so the next read is delayed.
  return FinishUpdate({}, now + options_.longest_retry_pause);
}

SyncChanges SettingsSync::OnFailure(ErrorCode code, TimePoint now) {
  loop_.OnFailure(code, now);
  return FinishUpdate({}, now);
}

SyncChanges SettingsSync::OnPeerSnapshot(const Json& snapshot, TimePoint now) {
  SyncChanges update;
  if (!snapshot.is_object()) return update;
  for (const auto& change : ParseChanges(snapshot.value("in_force", Json()))) {
    if (!IsSettings(change.object.path)) continue;
    objects_.OnChange(change);
    settings_.OnPeerVersion(change);
  }
  for (const auto& change : ParseChanges(snapshot.value("objects", Json()))) {
    if (objects_.OnChange(change)) ApplyListed(change, update);
  }
  has_peer_snapshot_ = has_peer_snapshot_ || snapshot.value("ready", false);
  return FinishUpdate(std::move(update), now);
}

SyncChanges SettingsSync::OnPeersAsked(TimePoint now) {
  peers_asked_ = true;
  return FinishUpdate({}, now);
}

Json SettingsSync::ExportSnapshot() const {
  std::vector<ObjectChange> objects;
  for (const std::string& prefix : prefixes_) {
    std::ranges::copy(objects_.KnownChanges(prefix),
                      std::back_inserter(objects));
  }
  return {{"ready", is_ready_},
          {"in_force", ToJson(settings_.ExportInForce())},
          {"objects", ToJson(objects)}};
}

void SettingsSync::ApplyListed(const ObjectChange& change,
                               SyncChanges& update) {
  if (IsSettings(change.object.path)) {
    settings_.OnListed(change);
  } else {
    update.objects.push_back(change);
  }
}

// Settings absent from a list stay in force until their history shows the
// deletion: a platform that lost its latest writes lacks them too. Other absent
// objects are treated as deleted.
void SettingsSync::ApplyMissing(const std::string& path, uint64_t revision,
                                TimePoint now, SyncChanges& update) {
  if (IsSettings(path)) {
    loop_.RequestHistory(path, now);
    return;
  }
  const ObjectChange change{{path, revision, nullptr}, true};
  if (objects_.OnChange(change)) update.objects.push_back(change);
}

SyncChanges SettingsSync::FinishUpdate(SyncChanges update,
                                       TimePoint not_before) {
  update.teams = settings_.UpdateInForce();
  for (const std::string& path : settings_.PathsNeedingHistory()) {
    loop_.RequestHistory(path, not_before);
  }
  is_ready_ = is_ready_ || HasNewestVersions();
  return update;
}

// A list may come from a stale replica of the platform; the watch that follows
// brings what the list lacked. A peer may lag, so its snapshot counts only
// while the platform does not answer.
bool SettingsSync::HasNewestVersions() const {
  if (!peers_asked_) return false;
  if (has_peer_snapshot_ && loop_.failures() > 0) return true;
  return has_watched_ && settings_.PathsNeedingHistory().empty();
}

}  // namespace dogwoodlatch
