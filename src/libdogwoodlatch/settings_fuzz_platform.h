// The fake platform of settings_fuzz_test: a log of object versions that can be
// down, answer from a stale replica, and lose the answers to writes.
#pragma once

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "dogwoodlatch/settings_rules.h"
#include "dogwoodlatch/settings_sync.h"
#include "dogwoodlatch/settings_write.h"

namespace dogwoodlatch::test {

class FakePlatform {
 public:
  bool down = false;
  int lose_answers = 0;
  int stale_reads = 0;
  uint64_t stale_revision = 0;

  ObjectList List() {
    const uint64_t at = ReadRevision();
    std::map<std::string, ObjectChange> newest;
    for (const ObjectChange& change : log_) {
      if (change.object.version <= at) newest[change.object.path] = change;
    }
    ObjectList list{at, {}};
    for (const auto& [path, change] : newest) {
      if (!change.deleted) list.objects.push_back(change.object);
    }
    return list;
  }

  Result<ChangeList> Watch(uint64_t after) const {
    if (after > revision_ || after < compacted_) {
      return Error{ErrorCode::kExpired, "", ""};
    }
    ChangeList list{revision_, {}};
    std::ranges::copy_if(log_, std::back_inserter(list.changes),
                         [&](const ObjectChange& change) {
                           return change.object.version > after;
                         });
    return list;
  }

  ObjectHistory History(const std::string& path) {
    const uint64_t at = ReadRevision();
    ObjectHistory history;
    std::ranges::copy_if(
        log_, std::back_inserter(history), [&](const ObjectChange& change) {
          return change.object.path == path && change.object.version <= at;
        });
    return history;
  }

  Result<uint64_t> Put(const std::string& path, nlohmann::json value,
                       uint64_t expected) {
    if (down) return Error{ErrorCode::kUnavailable, path, ""};
    if (VersionOf(path) != expected) {
      return Error{ErrorCode::kConflict, path, ""};
    }
    Append(path, std::move(value), false);
    if (lose_answers == 0) return revision_;
    --lose_answers;
    return Error{ErrorCode::kUnknownOutcome, path, ""};
  }

  void Append(const std::string& path, nlohmann::json value, bool deleted) {
    log_.push_back({{path, ++revision_, std::move(value)}, deleted});
  }

  uint64_t VersionOf(const std::string& path) const {
    uint64_t version = 0;
    for (const ObjectChange& change : log_) {
      if (change.object.path != path) continue;
      version = change.deleted ? 0 : change.object.version;
    }
    return version;
  }

  nlohmann::json ValueOf(const std::string& path) const {
    nlohmann::json value;
    for (const ObjectChange& change : log_) {
      if (change.object.path == path) value = change.object.value;
    }
    return value;
  }

  void Restore(uint64_t revision) {
    revision_ = std::min(revision, revision_);
    std::erase_if(log_, [this](const ObjectChange& change) {
      return change.object.version > revision_;
    });
    compacted_ = std::min(compacted_, revision_);
    replica_ = {};
    replayed_ = 0;
  }

  void Compact() { compacted_ = revision_; }
  uint64_t revision() const { return revision_; }

  // A replica that has seen every version: what each daemon should have in
  // force.
  const SettingsReplica& ReferenceReplica() {
    for (; replayed_ < log_.size(); ++replayed_) {
      replica_.OnChange(log_[replayed_]);
      replica_.UpdateInForce();
    }
    return replica_;
  }

 private:
  uint64_t ReadRevision() {
    if (stale_reads == 0) return revision_;
    --stale_reads;
    return std::min(stale_revision, revision_);
  }

  std::vector<ObjectChange> log_;
  uint64_t revision_ = 0;
  uint64_t compacted_ = 0;
  SettingsReplica replica_;
  size_t replayed_ = 0;
};

}  // namespace dogwoodlatch::test
