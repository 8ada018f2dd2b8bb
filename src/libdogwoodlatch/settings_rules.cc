#include "dogwoodlatch/settings_rules.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <utility>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;
using Teams = std::map<std::string, TeamHistory>;

constexpr std::array<std::string_view, 3> kOwnedKinds = {"workspaces", "models",
                                                         "services"};

Error MakeOwnedByOtherError(std::string_view team, const OwnedName& name,
                            std::string_view owner) {
  return {ErrorCode::kForbidden,
          std::string(kSettingsPrefix) + std::string(team) + ": " + name,
          "owned by team " + std::string(owner)};
}

// A team's candidate while versions are chosen: an index into its versions, or
// nullopt if none is left.
struct Candidate {
  const TeamHistory* history = nullptr;
  std::optional<size_t> index;
  bool is_newest = true;

  const SettingsVersion* version() const {
    return index ? &history->versions[*index] : nullptr;
  }
  bool is_in_force() const {
    return version() != nullptr && version()->version == history->in_force;
  }

  // Moves to the next older version without faults, but not past the one in
  // force.
  void MoveToOlder() {
    is_newest = false;
    do {
      if (*index == 0 || is_in_force()) {
        index.reset();
        return;
      }
      --*index;
    } while (!version()->faults.empty());
  }
};

using Candidates = std::map<std::string, Candidate>;

Candidate MakeNewestCandidate(const TeamHistory& history) {
  Candidate candidate{&history, std::nullopt};
  const auto later = std::ranges::upper_bound(
      history.versions, history.seen_up_to, {}, &SettingsVersion::version);
  if (later == history.versions.begin()) return candidate;
  candidate.index = std::distance(history.versions.begin(), later) - 1;
  return candidate;
}

// Sort key of the teams that define a name; the team with the lowest one owns
// it.
std::pair<uint64_t, std::string_view> OwnershipRank(
    const Candidates::value_type& team, const OwnedName& name) {
  const TeamHistory& history = *team.second.history;
  const auto in_force = std::ranges::find(history.versions, history.in_force,
                                          &SettingsVersion::version);
  const bool has_in_force =
      in_force != history.versions.end() && in_force->names.count(name) > 0;
  return {has_in_force ? 0 : team.second.version()->version, team.first};
}

// The teams whose candidates define a name, the owner first.
using DefiningTeams = std::vector<const Candidates::value_type*>;

std::map<OwnedName, DefiningTeams> FindConflicts(const Candidates& candidates) {
  std::map<OwnedName, DefiningTeams> teams_by_name;
  for (const auto& entry : candidates) {
    if (entry.second.version() == nullptr) continue;
    for (const OwnedName& name : entry.second.version()->names) {
      teams_by_name[name].push_back(&entry);
    }
  }
  std::erase_if(teams_by_name,
                [](const auto& item) { return item.second.size() < 2; });
  for (auto& [name, teams] : teams_by_name) {
    std::ranges::sort(teams, {}, [&name = name](const auto* entry) {
      return OwnershipRank(*entry, name);
    });
  }
  return teams_by_name;
}

// The teams whose candidates lose a name to another team in this round.
std::set<std::string> FindLosers(const Candidates& candidates,
                                 std::map<std::string, TeamChoice>& choices) {
  std::set<std::string> losers;
  for (const auto& [name, teams] : FindConflicts(candidates)) {
    for (const auto* entry : teams) {
      const auto& [team, candidate] = *entry;
      // A version in force never loses a name.
      if (entry == teams.front() || candidate.is_in_force()) continue;
      losers.insert(team);
      if (!candidate.is_newest) continue;
      choices[team].faults.push_back(
          MakeOwnedByOtherError(team, name, teams.front()->first));
    }
  }
  return losers;
}

}  // namespace

std::set<OwnedName> OwnedNames(const Json& document) {
  std::set<OwnedName> names;
  if (!document.is_object()) return names;
  for (const std::string_view kind : kOwnedKinds) {
    const auto members = document.find(kind);
    if (members == document.end() || !members->is_object()) continue;
    for (const auto& [name, value] : members->items()) {
      names.insert(std::string(kind) + "." + name);
    }
  }
  return names;
}

std::string TeamFromPath(std::string_view path) {
  if (!path.starts_with(kSettingsPrefix)) return "";
  return std::string(path.substr(kSettingsPrefix.size()));
}

std::vector<Error> FindSettingsFaults(std::string_view team,
                                      const Json& document,
                                      const SettingsSnapshot& in_force) {
  std::vector<Error> faults = FindTeamFaults(
      document, std::string(kSettingsPrefix) + std::string(team));
  const std::set<OwnedName> names = OwnedNames(document);
  for (const auto& [other, settings] : in_force.teams) {
    if (other == team) continue;
    const std::set<OwnedName> owned = OwnedNames(settings.document);
    for (const OwnedName& name : names) {
      if (owned.count(name) > 0) {
        faults.push_back(MakeOwnedByOtherError(team, name, other));
      }
    }
  }
  return faults;
}

SettingsVersion CheckVersion(std::string_view team, uint64_t version,
                             bool deleted, const Json& document) {
  SettingsVersion checked{version, deleted, document, {}, {}};
  if (deleted) return checked;
  checked.faults = FindTeamFaults(
      document, std::string(kSettingsPrefix) + std::string(team));
  if (checked.faults.empty()) checked.names = OwnedNames(document);
  return checked;
}

std::map<std::string, TeamChoice> ChooseVersions(const Teams& teams) {
  std::map<std::string, TeamChoice> choices;
  Candidates candidates;
  for (const auto& [team, history] : teams) {
    Candidate candidate = MakeNewestCandidate(history);
    choices[team].version = history.in_force;
    if (candidate.version() != nullptr) {
      choices[team].faults = candidate.version()->faults;
      if (!candidate.version()->faults.empty()) candidate.MoveToOlder();
    }
    candidates.emplace(team, candidate);
  }
  auto losers = FindLosers(candidates, choices);
  while (!losers.empty()) {
    for (const std::string& team : losers) candidates.at(team).MoveToOlder();
    losers = FindLosers(candidates, choices);
  }
  for (const auto& [team, candidate] : candidates) {
    if (candidate.version() == nullptr) continue;
    choices[team].version = candidate.version()->version;
  }
  return choices;
}

}  // namespace dogwoodlatch
