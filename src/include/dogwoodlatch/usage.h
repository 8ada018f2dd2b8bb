/// Usage by workspace: requests, and tokens prompted, cached and generated.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/request_lifecycle.h"

namespace dogwoodlatch {

struct UsageCounts {
  uint64_t requests = 0;
  uint64_t complete = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;  ///< prompt tokens found in a cache
  uint64_t output_tokens = 0;

  bool operator==(const UsageCounts&) const = default;
  UsageCounts& operator+=(const UsageCounts& other);
};

/// Counts by workspace and by model or service, since the daemon started.
using UsageReport = std::map<std::pair<WorkspaceId, std::string>, UsageCounts>;

/// The usage of one request.
UsageCounts CountUsage(const Outcome& outcome);

/// Adds `other` to `sum`.
void AddUsage(UsageReport& sum, const UsageReport& other);

nlohmann::json ToJson(const UsageReport& report);

/// Parses the output of ToJson; fails with kWrongType on anything else.
Result<UsageReport> ParseUsageReport(const nlohmann::json& document);

}  // namespace dogwoodlatch
