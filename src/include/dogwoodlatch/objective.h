/// Service-level objectives as a team's settings declare them.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// The share of a model's or service's requests that must be good: complete,
/// or with their first token in time.
struct Objective {
  std::string team;
  std::string name;
  std::string serves;  ///< model or service
  double share = 0;
  std::chrono::milliseconds first_token{0};  ///< 0: complete answers count

  bool operator==(const Objective&) const = default;

  /// Whether the time to first token is measured, not completeness.
  bool is_first_token() const { return first_token.count() > 0; }
};

/// Reads the member "objectives" of a team's object without faults and with
/// its defaults filled in.
std::vector<Objective> ParseObjectives(const std::string& team,
                                       const nlohmann::json& filled);

}  // namespace dogwoodlatch
