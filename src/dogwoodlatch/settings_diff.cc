#include "settings_diff.h"

#include <algorithm>
#include <ostream>
#include <set>

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;

// Maps the JSON pointer of each leaf to its value. Empty objects and arrays
// count as leaves.
Json FlattenToLeaves(const Json& value) {
  Json flat = value.flatten();
  if (!flat.is_object()) return Json::object();
  flat.erase("");
  return flat;
}

}  // namespace

std::vector<SettingsChange> DiffSettings(const Json& before,
                                         const Json& after) {
  const Json old_leaves = FlattenToLeaves(before);
  const Json new_leaves = FlattenToLeaves(after);
  std::set<std::string> paths;
  for (const auto& [path, value] : old_leaves.items()) paths.insert(path);
  for (const auto& [path, value] : new_leaves.items()) paths.insert(path);
  std::vector<SettingsChange> changes;
  for (const std::string& path : paths) {
    SettingsChange change{path, old_leaves.value(path, Json()),
                          new_leaves.value(path, Json())};
    if (change.before != change.after) changes.push_back(std::move(change));
  }
  return changes;
}

void PrintChanges(std::ostream& out,
                  const std::vector<SettingsChange>& changes) {
  for (const SettingsChange& change : changes) {
    if (!change.before.is_null()) {
      out << "- " << change.path << " = " << change.before.dump() << "\n";
    }
    if (!change.after.is_null()) {
      out << "+ " << change.path << " = " << change.after.dump() << "\n";
    }
  }
}

Json ToJson(const std::vector<SettingsChange>& changes) {
  Json list = Json::array();
  for (const SettingsChange& change : changes) {
    list.push_back({{"path", change.path},
                    {"before", change.before},
                    {"after", change.after}});
  }
  return list;
}

}  // namespace dogwoodlatch::cli
