/// What a daemon has in force: for each team the newest valid version of its
/// object, which never gives way to an older one.
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

/// One team's settings as status shows them.
struct TeamStatus {
  uint64_t in_force = 0;      ///< 0: none
  uint64_t newest = 0;        ///< the newest version seen, valid or not
  std::vector<Error> faults;  ///< why the newest is not in force
};

/// Not thread-safe.
class SettingsReplica {
 public:
  /// A version that comes directly after the newest known one of its object,
  /// as a watch reports it.
  void OnChange(const ObjectChange& change);

  /// A version before which others may lie that were not seen, as a list
  /// reports it.
  void OnListed(const ObjectChange& change);

  /// All versions of one object that the platform holds.
  void OnHistory(const std::string& path, const ObjectHistory& history);

  /// A version that a peer has in force.
  void OnPeerVersion(const ObjectChange& change);

  /// Puts the chosen versions in force; call it after a batch of events.
  /// Returns the teams that changed since the last call. When every team's
  /// newest version is valid all of them are in force; otherwise the versions
  /// decide in the order in which they were written, so every daemon comes to
  /// the same result.
  std::vector<std::string> UpdateInForce();

  /// Objects whose history must be read before a choice can be made.
  std::vector<std::string> PathsNeedingHistory() const;

  SettingsSnapshot Snapshot() const;
  std::map<std::string, TeamStatus> Status() const;

  /// What is in force, deletions included, for a peer that starts.
  std::vector<ObjectChange> ExportInForce() const;

 private:
  struct Team {
    TeamHistory history;
    bool has_complete_history =
        true;               // no version after the one in force is lacking
    int history_reads = 0;  // of the history, since it was last whole
  };

  void Insert(const ObjectChange& change);
  std::map<std::string, TeamHistory> Histories(bool up_to_newest) const;
  bool HasCompleteHistories() const;
  void Replay();
  void ApplyChoices();

  std::map<std::string, Team> teams_;
  std::map<std::string, TeamChoice> choices_;
  std::map<std::string, uint64_t>
      reported_;  // in force at the last UpdateInForce
};

}  // namespace dogwoodlatch
