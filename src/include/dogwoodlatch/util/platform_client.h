/// Client of the platform's object API and VM list.
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

/// Each call opens its own connection. The timeout applies to connecting,
/// writing and reading; Watch and GetVmList add `wait` to the read timeout.
/// Thread-safe. Errors: kUnavailable (a read got no usable response; a write
/// was not sent or was refused), kUnknownOutcome (the response to a write was
/// lost or is unusable), kConflict (the object has another version), kNotFound,
/// kExpired (the platform no longer retains the requested revision).
class PlatformClient {
 public:
  explicit PlatformClient(PlatformClientOptions options);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /// Aborts the calls in progress; calls that start later are not affected.
  void Interrupt();

  Result<PlatformObject> Get(std::string_view path) const;

  /// Returns the body of a successful response to a GET of `path`.
  Result<std::string> GetText(std::string_view path) const;

  /// Returns an earlier version of the object.
  Result<PlatformObject> GetVersion(std::string_view path,
                                    uint64_t version) const;

  /// Writes only if the object has `expected_version`; 0 means that it must not
  /// exist yet.
  Result<uint64_t> Put(std::string_view path, const nlohmann::json& value,
                       uint64_t expected_version) const;
  Result<void> Delete(std::string_view path, uint64_t expected_version) const;
  Result<ObjectList> List(std::string_view prefix) const;

  /// Returns the objects under any of the prefixes, all at one revision.
  Result<ObjectList> List(const std::vector<std::string>& prefixes) const;

  /// Returns all versions and deletions of an object that the platform retains.
  Result<ObjectHistory> History(std::string_view path) const;

  /// Waits at most `wait` for changes after `revision` under any of the
  /// prefixes.
  Result<ChangeList> Watch(const std::vector<std::string>& prefixes,
                           uint64_t revision,
                           std::chrono::milliseconds wait) const;

  /// Returns the VM list as soon as its revision differs from `known_revision`,
  /// or after `wait`.
  Result<VmList> GetVmList(uint64_t known_revision,
                           std::chrono::milliseconds wait) const;

 private:
  class ActiveCalls;

  PlatformClientOptions options_;
  std::unique_ptr<ActiveCalls> active_calls_;
};

}  // namespace dogwoodlatch
