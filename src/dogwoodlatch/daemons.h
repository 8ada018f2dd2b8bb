// What the daemons say of themselves on their operations ports.
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

  // Its name, or its address while it does not answer.
  std::string Name() const;
};

// Asks every daemon, several at once; a silent one gets an error in its place.
std::vector<DaemonStatus> FetchDaemonStatuses(const ClientOptions& options);

}  // namespace dogwoodlatch::cli
