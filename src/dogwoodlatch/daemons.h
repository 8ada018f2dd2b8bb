// Fetches the daemons' status reports from their operations ports.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "command.h"
#include "dogwoodlatch/error.h"

namespace dogwoodlatch::cli {

struct DaemonStatus {
  std::string address;
  Result<nlohmann::json> status;

  // Returns the daemon's id, or its address if no status with an id was
  // received.
  std::string Name() const;
};

// Fetches the status of every daemon, several at a time. A daemon that does not
// respond is listed with an error.
std::vector<DaemonStatus> FetchDaemonStatuses(const ClientOptions& options);

}  // namespace dogwoodlatch::cli
