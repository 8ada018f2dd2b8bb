/// Client of the platform: its object API and its VM list.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/platform_objects.h"

namespace dogwoodlatch {

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
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /// Ends the calls that wait for an answer now.
  void Interrupt();

  Result<PlatformObject> Get(std::string_view path) const;

  /// The object as it was at an earlier version.
  Result<PlatformObject> GetVersion(std::string_view path,
                                    uint64_t version) const;

  /// Writes on the condition that the object has `expected_version`; 0 means
  /// that it does not exist yet.
  Result<uint64_t> Put(std::string_view path, const nlohmann::json& value,
                       uint64_t expected_version) const;
  Result<void> Delete(std::string_view path, uint64_t expected_version) const;
  Result<ObjectList> List(std::string_view prefix) const;

  /// The objects below any of the prefixes, at one revision.
  Result<ObjectList> List(const std::vector<std::string>& prefixes) const;

  /// Every version and deletion of an object that the platform holds.
  Result<ObjectHistory> History(std::string_view path) const;

  /// Waits for changes below any of the prefixes after `revision`, for at most
  /// `wait`.
  Result<ChangeList> Watch(const std::vector<std::string>& prefixes,
                           uint64_t revision,
                           std::chrono::milliseconds wait) const;

  /// The VM list, once its revision differs from `known_revision` or `wait` has
  /// passed.
  Result<VmList> GetVmList(uint64_t known_revision,
                           std::chrono::milliseconds wait) const;

 private:
  class ActiveCalls;

  PlatformClientOptions options_;
  std::unique_ptr<ActiveCalls> active_calls_;
};

}  // namespace dogwoodlatch
