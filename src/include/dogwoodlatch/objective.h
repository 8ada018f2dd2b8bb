/// Service-level objectives as declared in a team's settings.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// The share of a model's or service's requests that must be good: answered
/// completely or, if `first_token` is set, with their first token in time.
struct Objective {
  std::string team;
  std::string name;
  std::string serves;  ///< model or service
  double share = 0;
  /// At 0, complete answers are counted.
  std::chrono::milliseconds first_token{0};

  bool operator==(const Objective&) const = default;

  /// Whether the objective is on time to first token instead of completion.
  bool is_first_token() const { return first_token.count() > 0; }
};

/// Parses the member "objectives" of a team's settings, which must be valid and
/// have their defaults filled in.
std::vector<Objective> ParseObjectives(const std::string& team,
                                       const nlohmann::json& filled);

}  // namespace dogwoodlatch
