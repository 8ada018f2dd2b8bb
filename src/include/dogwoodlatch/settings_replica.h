/// The settings that a daemon has in force: for each team the newest valid
/// version of its object, never replaced by an older one.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dogwoodlatch/platform_objects.h"
#include "dogwoodlatch/settings.h"
#include "dogwoodlatch/settings_rules.h"

namespace dogwoodlatch {

/// One team's settings as shown in status.
struct TeamStatus {
  uint64_t in_force = 0;      ///< 0 if none
  uint64_t newest = 0;        ///< newest version seen, valid or not
  std::vector<Error> faults;  ///< why `newest` is not in force
};

/// Not thread-safe.
class SettingsReplica {
 public:
  /// Takes a version from a watch: it directly follows the newest known one of
  /// its object.
  void OnChange(const ObjectChange& change);

  /// Takes a version from a list: earlier versions may have been missed.
  void OnListed(const ObjectChange& change);

  /// Takes all versions of one object that the platform holds.
  void OnHistory(const std::string& path, const ObjectHistory& history);

  /// Takes a version that a peer has in force.
  void OnPeerVersion(const ObjectChange& change);

  /// Puts the chosen versions in force; call it after a batch of events.
  /// Returns the teams whose version in force changed since the last call. If
  /// every team's newest version is valid, all of them are put in force;
  /// otherwise, once all histories are complete, versions are decided in the
  /// order in which they were written, so that all daemons reach the same
  /// result.
  std::vector<std::string> UpdateInForce();

  /// Paths of the objects whose history must be read before a choice can be
  /// made.
  std::vector<std::string> PathsNeedingHistory() const;

  SettingsSnapshot Snapshot() const;
  std::map<std::string, TeamStatus> Status() const;

  /// All versions in force, deletions included, for a peer that is starting.
  std::vector<ObjectChange> ExportInForce() const;

 private:
  struct Team {
    TeamHistory history;
    bool has_complete_history = true;  // from the version in force on
    int history_reads = 0;             // since it was last complete
  };

  void Insert(const ObjectChange& change);
  // With `up_to_newest`, all known versions count as seen.
  std::map<std::string, TeamHistory> Histories(bool up_to_newest) const;
  bool HasCompleteHistories() const;
  void Replay();
  void ApplyChoices();

  std::map<std::string, Team> teams_;
  std::map<std::string, TeamChoice> choices_;
  // In force at the last UpdateInForce.
  std::map<std::string, uint64_t> reported_;
};

}  // namespace dogwoodlatch
