#include "dogwoodlatch/settings_replica.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dogwoodlatch {
namespace {

// A platform that lost versions never returns a complete history; after this
// many reads the known versions are used as they are.
constexpr int kMaxHistoryReads = 2;

std::string SettingsPath(const std::string& team) {
  return std::string(kSettingsPrefix) + team;
}

uint64_t NewestVersion(const TeamHistory& history) {
  return history.versions.empty() ? 0 : history.versions.back().version;
}

const SettingsVersion* FindInForce(const TeamHistory& history) {
  const auto found = std::ranges::find(history.versions, history.in_force,
                                       &SettingsVersion::version);
  return found == history.versions.end() ? nullptr : &*found;
}

// Drops versions older than the one in force; they no longer affect a choice.
void DropOlder(TeamHistory& history) {
  std::erase_if(history.versions, [&](const SettingsVersion& version) {
    return version.version < history.in_force;
  });
}

}  // namespace

void SettingsReplica::OnChange(const ObjectChange& change) { Insert(change); }

void SettingsReplica::OnListed(const ObjectChange& change) {
  Team& team = teams_[TeamFromPath(change.object.path)];
  if (change.object.version > NewestVersion(team.history)) {
    team.has_complete_history = false;
    team.history_reads = 0;
  }
  Insert(change);
}

void SettingsReplica::OnHistory(const std::string& path,
                                const ObjectHistory& history) {
  Team& team = teams_[TeamFromPath(path)];
  const uint64_t newest = NewestVersion(team.history);
  for (const ObjectChange& change : history) Insert(change);
  // A stale replica of the platform may lack the newest versions.
  const bool is_current =
      !history.empty() && history.back().object.version >= newest;
  team.has_complete_history =
      is_current || ++team.history_reads >= kMaxHistoryReads;
}

void SettingsReplica::OnPeerVersion(const ObjectChange& change) {
  Team& team = teams_[TeamFromPath(change.object.path)];
  if (change.object.version <= team.history.in_force) return;
  OnListed(change);
  const auto version = std::ranges::find(
      team.history.versions, change.object.version, &SettingsVersion::version);
  if (!version->faults.empty()) return;
  team.history.in_force = change.object.version;
  team.history.seen_up_to =
      std::max(team.history.seen_up_to, change.object.version);
  DropOlder(team.history);
}

std::vector<std::string> SettingsReplica::UpdateInForce() {
  choices_ = ChooseVersions(Histories(true));
  const bool all_newest = std::ranges::all_of(
      choices_, [](const auto& entry) { return entry.second.faults.empty(); });
  if (all_newest) {
    ApplyChoices();
    for (auto& [name, team] : teams_) {
      team.has_complete_history = true;
      team.history.seen_up_to = team.history.in_force;
    }
  } else if (HasCompleteHistories()) {
    Replay();
  }
  std::vector<std::string> changed;
  for (const auto& [name, team] : teams_) {
    uint64_t& reported = reported_[name];
    if (team.history.in_force != reported) changed.push_back(name);
    reported = team.history.in_force;
  }
  return changed;
}

std::vector<std::string> SettingsReplica::PathsNeedingHistory() const {
  std::vector<std::string> paths;
  for (const auto& [name, team] : teams_) {
    if (!team.has_complete_history) paths.push_back(SettingsPath(name));
  }
  return paths;
}

SettingsSnapshot SettingsReplica::Snapshot() const {
  SettingsSnapshot snapshot;
  for (const auto& [name, team] : teams_) {
    const SettingsVersion* version = FindInForce(team.history);
    if (version == nullptr || version->deleted) continue;
    snapshot.teams[name] = ParseTeam(name, version->version, version->document);
  }
  return snapshot;
}

std::map<std::string, TeamStatus> SettingsReplica::Status() const {
  std::map<std::string, TeamStatus> status;
  for (const auto& [name, team] : teams_) {
    TeamStatus& entry = status[name];
    entry.in_force = team.history.in_force;
    entry.newest = NewestVersion(team.history);
    const auto choice = choices_.find(name);
    if (choice != choices_.end()) entry.faults = choice->second.faults;
  }
  return status;
}

std::vector<ObjectChange> SettingsReplica::ExportInForce() const {
  std::vector<ObjectChange> changes;
  for (const auto& [name, team] : teams_) {
    const SettingsVersion* version = FindInForce(team.history);
    if (version == nullptr) continue;
    changes.push_back(
        {{SettingsPath(name), version->version, version->document},
         version->deleted});
  }
  return changes;
}

void SettingsReplica::Insert(const ObjectChange& change) {
  const std::string name = TeamFromPath(change.object.path);
  TeamHistory& history = teams_[name].history;
  const uint64_t version = change.object.version;
  if (version < history.in_force) return;
  const auto place = std::ranges::lower_bound(history.versions, version, {},
                                              &SettingsVersion::version);
  if (place != history.versions.end() && place->version == version) return;
  history.versions.insert(
      place, CheckVersion(name, version, change.deleted, change.object.value));
}

std::map<std::string, TeamHistory> SettingsReplica::Histories(
    bool up_to_newest) const {
  std::map<std::string, TeamHistory> histories;
  for (const auto& [name, team] : teams_) {
    TeamHistory& history = histories[name] = team.history;
    if (up_to_newest) history.seen_up_to = NewestVersion(history);
  }
  return histories;
}

bool SettingsReplica::HasCompleteHistories() const {
  return std::ranges::all_of(teams_, [](const auto& entry) {
    return entry.second.has_complete_history;
  });
}

// Chooses again after each unseen version, in the order of writing.
void SettingsReplica::Replay() {
  std::set<std::pair<uint64_t, std::string>> unseen;
  for (const auto& [name, team] : teams_) {
    for (const SettingsVersion& version : team.history.versions) {
      if (version.version <= team.history.seen_up_to) continue;
      unseen.emplace(version.version, name);
    }
  }
  for (const auto& [version, name] : unseen) {
    teams_.at(name).history.seen_up_to = version;
    choices_ = ChooseVersions(Histories(false));
    ApplyChoices();
  }
}

void SettingsReplica::ApplyChoices() {
  for (auto& [name, team] : teams_) {
    team.history.in_force = choices_.at(name).version;
    DropOlder(team.history);
  }
}

}  // namespace dogwoodlatch
