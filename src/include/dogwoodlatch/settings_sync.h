/// Keeps a daemon's settings and other objects in sync with the platform and
/// takes them from peers. Performs no I/O: returns the calls to make, takes
/// their answers and returns the changes.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/object_replica.h"
#include "dogwoodlatch/platform_objects.h"
#include "dogwoodlatch/settings_replica.h"
#include "dogwoodlatch/time.h"
#include "dogwoodlatch/watch_loop.h"

namespace dogwoodlatch {

/// The changes that an answer brought.
struct SyncChanges {
  std::vector<std::string> teams;     ///< teams whose settings in force changed
  std::vector<ObjectChange> objects;  ///< newer objects of other prefixes
};

/// Not thread-safe.
class SettingsSync {
 public:
  /// Follows settings/ and `other_prefixes`. With `has_peers`, is_ready() is
  /// false before OnPeersAsked.
  SettingsSync(WatchLoopOptions options,
               std::vector<std::string> other_prefixes, bool has_peers,
               std::mt19937_64 random, TimePoint now);

  TimePoint next_call_at() const { return loop_.next_call_at(); }

  /// The call to make now; exactly one of OnList, OnWatch, OnHistory and
  /// OnFailure must follow.
  std::optional<WatchCall> TakeCall(TimePoint now) {
    return loop_.TakeCall(now);
  }

  SyncChanges OnList(const ObjectList& list, TimePoint now);
  SyncChanges OnWatch(const ChangeList& list, TimePoint now);
  SyncChanges OnHistory(const std::string& path, const ObjectHistory& history,
                        TimePoint now);
  SyncChanges OnFailure(ErrorCode code, TimePoint now);

  /// Takes a peer's ExportSnapshot; the newer version of each object wins.
  SyncChanges OnPeerSnapshot(const nlohmann::json& snapshot, TimePoint now);

  /// Reports that every peer was asked once, whether or not it answered.
  SyncChanges OnPeersAsked(TimePoint now);

  /// The snapshot for a peer that is starting.
  nlohmann::json ExportSnapshot() const;

  const SettingsReplica& settings() const { return settings_; }

  /// Whether the settings in force are the newest that the platform reports (or
  /// a peer, while the platform does not answer). Once true, it stays true.
  bool is_ready() const { return is_ready_; }

  /// Consecutive failed calls to the platform.
  int failures() const { return loop_.failures(); }

 private:
  void ApplyListed(const ObjectChange& change, SyncChanges& update);
  void ApplyMissing(const std::string& path, uint64_t revision, TimePoint now,
                    SyncChanges& update);
  SyncChanges FinishUpdate(SyncChanges update, TimePoint not_before);
  bool HasNewestVersions() const;

  WatchLoopOptions options_;
  std::vector<std::string> prefixes_;
  WatchLoop loop_;
  ObjectReplica objects_;
  SettingsReplica settings_;
  bool peers_asked_ = false;
  bool has_peer_snapshot_ = false;
  bool has_watched_ = false;
  bool is_ready_ = false;
};

}  // namespace dogwoodlatch
