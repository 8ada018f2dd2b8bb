/// A daemon's copy of platform objects. An object's version never decreases,
/// whatever the platform or a peer answers.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/platform_objects.h"

namespace dogwoodlatch {

/// Result of applying a list.
struct ListResult {
  std::vector<ObjectChange> newer;   ///< changes newer than the replica
  std::vector<std::string> missing;  ///< known paths absent from a newer list
};

/// Not thread-safe.
class ObjectReplica {
 public:
  /// Applies one change; returns false if it is not newer than the known
  /// version.
  bool OnChange(const ObjectChange& change);

  /// Applies a list of all objects below `prefix`. A known path absent from the
  /// list is not removed: only a deletion with a version proves that it was
  /// deleted.
  ListResult OnList(std::string_view prefix, const ObjectList& list);

  /// The known version of a path, deletions included; 0 if it was never seen.
  uint64_t VersionOf(const std::string& path) const;

  /// The latest change of every known object below `prefix`, deletions
  /// included.
  std::vector<ObjectChange> KnownChanges(std::string_view prefix) const;

 private:
  std::map<std::string, ObjectChange, std::less<>> latest_;
};

/// The JSON form in which peers exchange changes.
nlohmann::json ToJson(const std::vector<ObjectChange>& changes);

/// Parses the output of ToJson; skips malformed entries.
std::vector<ObjectChange> ParseChanges(const nlohmann::json& json);

}  // namespace dogwoodlatch
