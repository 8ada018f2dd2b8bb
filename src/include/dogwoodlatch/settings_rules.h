/// Validation of teams' settings objects: the schema and the rules between
/// teams. The client and the daemons use the same functions.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/settings.h"

namespace dogwoodlatch {

/// A name that at most one team may define, as "<kind>.<name>".
using OwnedName = std::string;

/// The workspaces, models and services that a document defines.
std::set<OwnedName> OwnedNames(const nlohmann::json& document);

/// The team of an object path below settings/; empty for other paths.
std::string TeamFromPath(std::string_view path);

/// All faults of a team's document: against the schema, and names that another
/// team has in force (kForbidden; the detail names the owner).
std::vector<Error> FindSettingsFaults(std::string_view team,
                                      const nlohmann::json& document,
                                      const SettingsSnapshot& in_force);

/// One version of a team's object, checked against the schema.
struct SettingsVersion {
  uint64_t version = 0;
  bool deleted = false;
  nlohmann::json document;
  std::vector<Error> faults;  ///< against the schema only
  std::set<OwnedName> names;  ///< empty if deleted or faulty

  bool operator==(const SettingsVersion& other) const {
    return version == other.version;
  }
};

SettingsVersion CheckVersion(std::string_view team, uint64_t version,
                             bool deleted, const nlohmann::json& document);

/// The known versions of one team's object.
struct TeamHistory {
  std::vector<SettingsVersion> versions;  ///< oldest first
  uint64_t in_force = 0;    ///< the choice is never older; 0 if none
  uint64_t seen_up_to = 0;  ///< later versions are ignored
};

/// The choice for one team: the version to put in force (0 if none), and why it
/// is not the newest.
struct TeamChoice {
  uint64_t version = 0;
  std::vector<Error> faults;
};

/// Chooses for each team the newest version that has no faults and defines no
/// name owned by another team. A name is owned by the team that has it in
/// force, otherwise by the team whose choice has the lowest version.
std::map<std::string, TeamChoice> ChooseVersions(
    const std::map<std::string, TeamHistory>& teams);

}  // namespace dogwoodlatch
