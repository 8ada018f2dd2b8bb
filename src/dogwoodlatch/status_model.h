// The picture of the whole system that `status` shows.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "daemons.h"
#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/util/platform_client.h"

namespace dogwoodlatch::cli {

// What the platform says; each part fails by itself.
struct PlatformState {
  Result<VmList> vms;
  Result<ObjectList> settings;
};

PlatformState ReadPlatform(const ClientOptions& options);

// Objects "platform", "targets", "versions", "daemons", "refused_settings",
// "quarantines" and "ownership".
nlohmann::json MakeStatus(const PlatformState& platform,
                          const std::vector<DaemonStatus>& daemons);

}  // namespace dogwoodlatch::cli
