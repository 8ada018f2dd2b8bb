// Builds the system overview that `status` prints.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "daemons.h"
#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/util/platform_client.h"

namespace dogwoodlatch::cli {

// State read from the platform. Each part can fail independently.
struct PlatformState {
  Result<VmList> vms;
  Result<ObjectList> settings;
};

PlatformState ReadPlatform(const ClientOptions& options);

// Returns an object with the members "platform", "targets", "versions",
// "daemons", "refused_settings", "quarantines" and "ownership".
nlohmann::json MakeStatus(const PlatformState& platform,
                          const std::vector<DaemonStatus>& daemons);

}  // namespace dogwoodlatch::cli
