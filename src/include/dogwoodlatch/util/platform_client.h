/// Client of the platform: its object API and its VM list.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/membership.h"

namespace dogwoodlatch {

/// One object with its version; versions of one path only grow.
struct PlatformObject {
  std::string path;
  uint64_t version = 0;
  nlohmann::json value;
};

/// A list of objects at one revision of the whole store.
struct ObjectList {
  uint64_t revision = 0;
  std::vector<PlatformObject> objects;
};

/// One change that a watch reports.
struct ObjectChange {
  PlatformObject object;
  bool deleted = false;
};

struct ChangeList {
  uint64_t revision = 0;
  std::vector<ObjectChange> changes;
};

struct PlatformClientOptions {
  std::string address;  ///< "ip:port"
  std::chrono::milliseconds timeout{0};
};

/// Every call opens its own connection and blocks for at most the timeout.
/// Thread-safe. Failures: kUnavailable (nothing was sent or the platform
/// refused), kUnknownOutcome (a write whose answer was lost), kConflict
/// (another version is there), kNotFound, kExpired.
class PlatformClient {
 public:
  explicit PlatformClient(PlatformClientOptions options);

  Result<PlatformObject> Get(std::string_view path) const;

  /// The object as it was at an earlier version.
  Result<PlatformObject> GetVersion(std::string_view path,
                                    uint64_t version) const;

  /// The versions of an object that the platform keeps, oldest first.
  Result<std::vector<uint64_t>> Versions(std::string_view path) const;

  /// Writes on the condition that the object has `expected_version`; 0 means
  /// that it does not exist yet.
  Result<uint64_t> Put(std::string_view path, const nlohmann::json& value,
                       uint64_t expected_version) const;
  Result<void> Delete(std::string_view path, uint64_t expected_version) const;
  Result<ObjectList> List(std::string_view prefix) const;

  /// Waits for changes below `prefix` after `revision`, for at most `wait`.
  Result<ChangeList> Watch(std::string_view prefix, uint64_t revision,
                           std::chrono::milliseconds wait) const;

  /// The VM list, once its revision differs from `known_revision` or `wait` has
  /// passed.
  Result<VmList> Vms(uint64_t known_revision,
                     std::chrono::milliseconds wait) const;

 private:
  PlatformClientOptions options_;
};

}  // namespace dogwoodlatch
