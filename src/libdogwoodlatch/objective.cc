#include "dogwoodlatch/objective.h"

namespace dogwoodlatch {

std::vector<Objective> ParseObjectives(const std::string& team,
                                       const nlohmann::json& filled) {
  std::vector<Objective> objectives;
  for (const auto& [name, json] : filled["objectives"].items()) {
    objectives.push_back(
        {team, name, json["serves"], json["share"].get<double>(),
         std::chrono::milliseconds(json["first_token_ms"].get<int64_t>())});
  }
  return objectives;
}

}  // namespace dogwoodlatch
