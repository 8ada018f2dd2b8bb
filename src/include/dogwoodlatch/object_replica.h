/// A daemon's copy of platform objects: each object's version only grows,
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

/// What a list changed and what it left open.
struct ListResult {
  std::vector<ObjectChange> newer;   ///< newer than what was known
  std::vector<std::string> missing;  ///< known paths that a newer list lacks
};

/// Not thread-safe.
class ObjectReplica {
 public:
  /// Takes one change; false when it is not newer than what is known.
  bool OnChange(const ObjectChange& change);

  /// Takes a list of everything below `prefix`. A path that the list lacks is
  /// not dropped: only a deletion with a version proves that it was deleted.
  ListResult OnList(std::string_view prefix, const ObjectList& list);

  /// The known version of a path, of a deletion too; 0 when it was never seen.
  uint64_t VersionOf(const std::string& path) const;

  /// Every known object and deletion below `prefix`.
  std::vector<ObjectChange> KnownChanges(std::string_view prefix) const;

 private:
  std::map<std::string, ObjectChange, std::less<>> latest_;
};

/// The JSON form in which peers pass changes on.
nlohmann::json ToJson(const std::vector<ObjectChange>& changes);

/// Reads what ToJson writes; malformed entries are left out.
std::vector<ObjectChange> ParseChanges(const nlohmann::json& json);

}  // namespace dogwoodlatch
