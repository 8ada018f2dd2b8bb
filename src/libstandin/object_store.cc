#include "dogwoodlatch/standin/object_store.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dogwoodlatch::standin {

std::optional<StoredObject> ObjectStore::Get(std::string_view path) const {
  const auto found = objects_.find(path);
  if (found == objects_.end()) return std::nullopt;
  return found->second;
}

std::optional<StoredObject> ObjectStore::GetVersion(std::string_view path,
                                                    uint64_t version) const {
  const auto versions = history_.find(path);
  if (versions == history_.end()) return std::nullopt;
  const auto found =
      std::ranges::find(versions->second, version, &StoredObject::version);
  if (found == versions->second.end()) return std::nullopt;
  return *found;
}

std::vector<uint64_t> ObjectStore::Versions(std::string_view path) const {
  std::vector<uint64_t> versions;
  const auto kept = history_.find(path);
  if (kept == history_.end()) return versions;
  std::ranges::transform(kept->second, std::back_inserter(versions),
                         &StoredObject::version);
  return versions;
}

std::vector<StoredObject> ObjectStore::List(std::string_view prefix) const {
  std::vector<StoredObject> list;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    list.push_back(it->second);
  }
  return list;
}

Result<uint64_t> ObjectStore::Put(std::string_view path, nlohmann::json value,
                                  uint64_t expected) {
  if (VersionOf(path) != expected) {
    return Error{ErrorCode::kConflict, std::string(path), "another version"};
  }
  ++revision_;
  const StoredObject object{std::string(path), revision_, std::move(value)};
  objects_[object.path] = object;
  history_[object.path].push_back(object);
  Record(object, false);
  return revision_;
}

Result<uint64_t> ObjectStore::Delete(std::string_view path, uint64_t expected) {
  const auto found = objects_.find(path);
  if (found == objects_.end()) {
    return Error{ErrorCode::kNotFound, std::string(path), "no such object"};
  }
  if (found->second.version != expected) {
    return Error{ErrorCode::kConflict, std::string(path), "another version"};
  }
  ++revision_;
  StoredObject object = std::move(found->second);
  object.version = revision_;
  objects_.erase(found);
  history_.erase(object.path);
  Record(std::move(object), true);
  return revision_;
}

std::optional<std::vector<StoredChange>> ObjectStore::ChangesAfter(
    std::string_view prefix, uint64_t revision) const {
  const uint64_t oldest = log_.empty() ? revision_ : log_.front().revision - 1;
  if (revision < oldest || revision > revision_) return std::nullopt;
  std::vector<StoredChange> changes;
  const auto first =
      std::ranges::upper_bound(log_, revision, {}, &StoredChange::revision);
  std::copy_if(first, log_.end(), std::back_inserter(changes),
               [prefix](const StoredChange& change) {
                 return change.object.path.starts_with(prefix);
               });
  return changes;
}

uint64_t ObjectStore::VersionOf(std::string_view path) const {
  const auto found = objects_.find(path);
  return found == objects_.end() ? 0 : found->second.version;
}

void ObjectStore::Record(StoredObject object, bool deleted) {
  log_.push_back({revision_, std::move(object), deleted});
  if (log_.size() > kMaxLog) log_.pop_front();
}

}  // namespace dogwoodlatch::standin
