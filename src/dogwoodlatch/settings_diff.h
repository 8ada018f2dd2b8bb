// Compares two settings objects key by key.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dogwoodlatch::cli {

struct SettingsChange {
  std::string path;       // JSON pointer
  nlohmann::json before;  // null when the key was added
  nlohmann::json after;   // null when the key was removed
};

std::vector<SettingsChange> DiffSettings(const nlohmann::json& before,
                                         const nlohmann::json& after);

void PrintChanges(std::ostream& out,
                  const std::vector<SettingsChange>& changes);

nlohmann::json ToJson(const std::vector<SettingsChange>& changes);

}  // namespace dogwoodlatch::cli
