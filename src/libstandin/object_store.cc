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
      std::ranges::find(versions->second, version, &StoredChange::revision);
  if (found == versions->second.end() || found->deleted) return std::nullopt;
  return found->object;
}

std::vector<StoredChange> ObjectStore::History(std::string_view path) const {
  const auto versions = history_.find(path);
  if (versions == history_.end()) return {};
  return versions->second;
}

ObjectStore ObjectStore::SnapshotAt(uint64_t revision) const {
  const auto is_later = [revision](const StoredChange& change) {
    return change.revision > revision;
  };
  ObjectStore older = *this;
  older.revision_ = std::min(revision, revision_);
  std::erase_if(older.change_log_, is_later);
  older.objects_.clear();
  for (auto& [path, versions] : older.history_) {
    std::erase_if(versions, is_later);
    if (versions.empty() || versions.back().deleted) continue;
    older.objects_[path] = versions.back().object;
  }
  return older;
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
  if (CurrentVersion(path) != expected) {
    return Error{ErrorCode::kConflict, std::string(path), "another version"};
  }
  ++revision_;
  const StoredObject object{std::string(path), revision_, std::move(value)};
  objects_[object.path] = object;
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
  Record(std::move(object), true);
  return revision_;
}

std::optional<std::vector<StoredChange>> ObjectStore::ChangesAfter(
    std::string_view prefix, uint64_t revision) const {
  const uint64_t oldest =
      change_log_.empty() ? revision_ : change_log_.front().revision - 1;
  if (revision < oldest || revision > revision_) return std::nullopt;
  std::vector<StoredChange> changes;
  const auto first = std::ranges::upper_bound(change_log_, revision, {},
                                              &StoredChange::revision);
  std::copy_if(first, change_log_.end(), std::back_inserter(changes),
               [prefix](const StoredChange& change) {
                 return change.object.path.starts_with(prefix);
               });
  return changes;
}

uint64_t ObjectStore::CurrentVersion(std::string_view path) const {
  const auto found = objects_.find(path);
  return found == objects_.end() ? 0 : found->second.version;
}

void ObjectStore::Record(StoredObject object, bool deleted) {
  history_[object.path].push_back({revision_, object, deleted});
  change_log_.push_back({revision_, std::move(object), deleted});
  if (change_log_.size() > kMaxLogEntries) change_log_.pop_front();
}

}  // namespace dogwoodlatch::standin
