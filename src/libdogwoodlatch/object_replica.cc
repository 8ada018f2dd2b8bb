#include "dogwoodlatch/object_replica.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

Json ToJson(const ObjectChange& change) {
  return {{"path", change.object.path},
          {"version", change.object.version},
          {"value", change.object.value},
          {"deleted", change.deleted}};
}

bool IsChange(const Json& json) {
  return json.is_object() && json.contains("path") &&
         json["path"].is_string() && json.contains("version") &&
         json["version"].is_number_unsigned() && json.contains("value") &&
         json.contains("deleted") && json["deleted"].is_boolean();
}

}  // namespace

bool ObjectReplica::OnChange(const ObjectChange& change) {
  if (change.object.version <= VersionOf(change.object.path)) return false;
  latest_[change.object.path] = change;
  return true;
}

ListResult ObjectReplica::OnList(std::string_view prefix,
                                 const ObjectList& list) {
  ListResult result;
  std::set<std::string_view> listed;
  for (const PlatformObject& object : list.objects) {
    listed.insert(object.path);
    const ObjectChange change{object, false};
    if (OnChange(change)) result.newer.push_back(change);
  }
  // A list older than the object proves nothing about its absence.
  for (const ObjectChange& change : KnownChanges(prefix)) {
    if (!change.deleted && change.object.version <= list.revision &&
        listed.count(change.object.path) == 0) {
      result.missing.push_back(change.object.path);
    }
  }
  return result;
}

uint64_t ObjectReplica::VersionOf(const std::string& path) const {
  const auto found = latest_.find(path);
  return found == latest_.end() ? 0 : found->second.object.version;
}

std::vector<ObjectChange> ObjectReplica::KnownChanges(
    std::string_view prefix) const {
  std::vector<ObjectChange> changes;
  for (auto it = latest_.lower_bound(prefix);
       it != latest_.end() && it->first.starts_with(prefix); ++it) {
    changes.push_back(it->second);
  }
  return changes;
}

Json ToJson(const std::vector<ObjectChange>& changes) {
  Json list = Json::array();
  std::ranges::transform(
      changes, std::back_inserter(list),
      [](const ObjectChange& change) { return ToJson(change); });
  return list;
}

std::vector<ObjectChange> ParseChanges(const Json& json) {
  std::vector<ObjectChange> changes;
  if (!json.is_array()) return changes;
  for (const Json& item : json) {
    if (!IsChange(item)) continue;
    changes.push_back({{item["path"], item["version"], item["value"]},
                       item["deleted"].get<bool>()});
  }
  return changes;
}

}  // namespace dogwoodlatch
