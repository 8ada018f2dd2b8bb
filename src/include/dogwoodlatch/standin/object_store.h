/// Object store of the platform stand-in: versions, conditional writes, history
/// and a change log for watches.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"

namespace dogwoodlatch::standin {

struct StoredObject {
  std::string path;
  uint64_t version = 0;
  nlohmann::json value;
};

struct StoredChange {
  uint64_t revision = 0;
  StoredObject object;
  bool deleted = false;
};

/// Not thread-safe. An object's version is the store revision of its last
/// write, so versions keep increasing across deletion and re-creation.
class ObjectStore {
 public:
  std::optional<StoredObject> Get(std::string_view path) const;
  std::optional<StoredObject> GetVersion(std::string_view path,
                                         uint64_t version) const;

  std::vector<StoredObject> List(std::string_view prefix) const;

  /// Returns all versions and deletions of a path, oldest first.
  std::vector<StoredChange> History(std::string_view path) const;

  /// Returns a copy of the store as of an earlier revision, including its
  /// change log.
  ObjectStore SnapshotAt(uint64_t revision) const;

  /// Writes if the object's version is `expected` (0: absent); otherwise fails
  /// with kConflict. Returns the new version.
  Result<uint64_t> Put(std::string_view path, nlohmann::json value,
                       uint64_t expected);

  /// Like Put; fails with kNotFound if the object does not exist.
  Result<uint64_t> Delete(std::string_view path, uint64_t expected);

  /// Returns the changes under `prefix` after `revision`, or nullopt when the
  /// change log does not cover that revision.
  std::optional<std::vector<StoredChange>> ChangesAfter(
      std::string_view prefix, uint64_t revision) const;

  uint64_t revision() const { return revision_; }

 private:
  static constexpr size_t kMaxLogEntries = 10000;

  uint64_t CurrentVersion(std::string_view path) const;
  void Record(StoredObject object, bool deleted);

  uint64_t revision_ = 0;
  std::map<std::string, StoredObject, std::less<>> objects_;
  std::map<std::string, std::vector<StoredChange>, std::less<>> history_;
  std::deque<StoredChange> change_log_;
};

}  // namespace dogwoodlatch::standin
