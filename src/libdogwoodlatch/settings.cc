#include "dogwoodlatch/settings.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

constexpr std::array kTeamSchema = {
    KeySpec{"workspaces", ValueType::kObject, "", 0, 0, "{}",
            "Workspaces of callers, by name."},
    KeySpec{"workspaces.*", ValueType::kObject, "", 0, 0, "", "A workspace."},
    KeySpec{"workspaces.*.key_sha256", ValueType::kString, "characters", 64, 64,
            "", "SHA-256 of the workspace's bearer key, in hexadecimal."},
    KeySpec{"workspaces.*.share", ValueType::kNumber, "", 0.01, 1000, "1.0",
            "Weight of the workspace in fair sharing of targets."},
    KeySpec{"workspaces.*.requests_per_second", ValueType::kNumber,
            "requests/s", 0, 100000, "0.0",
            "Quota at each router; 0 means no quota."},
    KeySpec{"workspaces.*.priority", ValueType::kInteger, "", 0, 9, "0",
            "Priority class; requests of a higher class run first."},
    KeySpec{"models", ValueType::kObject, "", 0, 0, "{}", "Models, by name."},
    KeySpec{"models.*", ValueType::kObject, "", 0, 0, "", "A model."},
    KeySpec{"models.*.piece_bytes", ValueType::kInteger, "bytes", 64, 1048576,
            "8192", "Size of one cached piece of prompt text."},
    KeySpec{"models.*.recompute_weight", ValueType::kNumber, "", 0, 100, "1.0",
            "Cost of a second of recomputed prefill relative to a second of "
            "waiting."},
    KeySpec{"models.*.deadline_ms", ValueType::kInteger, "ms", 100, 3600000,
            "60000", "Time within which a request gets its final answer."},
    KeySpec{"services", ValueType::kObject, "", 0, 0, "{}",
            "Services other than models, by name."},
    KeySpec{"services.*", ValueType::kObject, "", 0, 0, "", "A service."},
    KeySpec{"services.*.deadline_ms", ValueType::kInteger, "ms", 100, 3600000,
            "10000", "Time within which a call gets its final answer."},
    KeySpec{"services.*.claim_logs", ValueType::kInteger, "logs", 1, 64, "4",
            "Number of claim logs of a new service; each log is owned by one "
            "replica."},
    KeySpec{"services.*.claim_retention_ms", ValueType::kInteger, "ms", 600000,
            604800000, "3600000",
            "Minimum time for which a claimed idempotency key is kept."},
    KeySpec{"services.*.idempotent_routes", ValueType::kArray, "elements", 0,
            1000, "[]",
            "Calls that may be repeated; all other calls run at most once."},
    KeySpec{"services.*.idempotent_routes[]", ValueType::kObject, "", 0, 0,
            "{}", "An idempotent call."},
    KeySpec{"services.*.idempotent_routes[].method", ValueType::kString,
            "characters", 3, 7, "", "HTTP method."},
    KeySpec{"services.*.idempotent_routes[].path", ValueType::kString,
            "characters", 1, 1024, "",
            "Exact path, or a prefix if it ends in '*'."},
    KeySpec{"objectives", ValueType::kObject, "", 0, 0, "{}",
            "Service-level objectives, by name."},
    KeySpec{"objectives.*", ValueType::kObject, "", 0, 0, "", "An objective."},
    KeySpec{"objectives.*.serves", ValueType::kString, "characters", 1, 256, "",
            "Model or service whose requests are measured."},
    KeySpec{"objectives.*.share", ValueType::kNumber, "", 0.5, 0.99999, "",
            "Fraction of the requests that must be good."},
    KeySpec{
        "objectives.*.first_token_ms", ValueType::kInteger, "ms", 0, 3600000,
        "0",
        "Time within which a good request gets its first token; at 0 a request "
        "is good if its answer is complete."},
};

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool Matches(const RouteRule& rule, std::string_view method,
             std::string_view path) {
  if (rule.method != method) return false;
  if (!rule.path.ends_with('*')) return rule.path == path;
  const std::string_view prefix = rule.path;
  return path.starts_with(prefix.substr(0, prefix.size() - 1));
}

WorkspaceSettings ParseWorkspace(const std::string& name, const Json& json) {
  return {{name},
          json["key_sha256"],
          json["share"].get<double>(),
          json["requests_per_second"].get<double>(),
          json["priority"].get<int>()};
}

ModelSettings ParseModel(const std::string& name, const Json& json) {
  return {name, json["piece_bytes"].get<size_t>(),
          json["recompute_weight"].get<double>(),
          std::chrono::milliseconds(json["deadline_ms"].get<int64_t>())};
}

ServiceSettings ParseService(const std::string& name, const Json& json) {
  ServiceSettings service{
      name,
      {},
      std::chrono::milliseconds(json["deadline_ms"].get<int64_t>()),
      json["claim_logs"].get<uint32_t>(),
      std::chrono::milliseconds(json["claim_retention_ms"].get<int64_t>())};
  for (const Json& route : json["idempotent_routes"]) {
    service.idempotent_routes.push_back({route["method"], route["path"]});
  }
  return service;
}

}  // namespace

bool ServiceSettings::IsIdempotent(std::string_view method,
                                   std::string_view path) const {
  return std::ranges::any_of(idempotent_routes, [&](const RouteRule& rule) {
    return Matches(rule, method, path);
  });
}

const WorkspaceSettings* SettingsSnapshot::FindWorkspaceByKey(
    std::string_view key_sha256) const {
  const WorkspaceSettings* found = nullptr;
  // Compares every workspace, so that the duration does not reveal the position
  // of a match.
  for (const auto& [name, team] : teams) {
    for (const WorkspaceSettings& workspace : team.workspaces) {
      if (EqualInConstantTime(workspace.key_sha256, key_sha256)) {
        found = &workspace;
      }
    }
  }
  return found;
}

const ModelSettings* SettingsSnapshot::FindModel(std::string_view name) const {
  for (const auto& [team_name, team] : teams) {
    const auto found =
        std::ranges::find(team.models, name, &ModelSettings::name);
    if (found != team.models.end()) return &*found;
  }
  return nullptr;
}

const ServiceSettings* SettingsSnapshot::FindService(
    std::string_view name) const {
  for (const auto& [team_name, team] : teams) {
    const auto found =
        std::ranges::find(team.services, name, &ServiceSettings::name);
    if (found != team.services.end()) return &*found;
  }
  return nullptr;
}

std::vector<Objective> SettingsSnapshot::ObjectivesFor(
    std::string_view serves) const {
  std::vector<Objective> found;
  for (const auto& [team_name, team] : teams) {
    std::ranges::copy_if(
        team.objectives, std::back_inserter(found),
        [&](const Objective& o) { return o.serves == serves; });
  }
  return found;
}

std::span<const KeySpec> TeamSchema() { return kTeamSchema; }

std::vector<Error> FindTeamFaults(const Json& document,
                                  std::string_view where) {
  return FindFaults(document, kTeamSchema, where);
}

TeamSettings ParseTeam(std::string_view team, uint64_t version,
                       const Json& document) {
  const Json filled = FillDefaults(document, kTeamSchema);
  TeamSettings settings{std::string(team), version, document, {}, {}, {}, {}};
  for (const auto& [name, json] : filled["workspaces"].items()) {
    settings.workspaces.push_back(ParseWorkspace(name, json));
  }
  for (const auto& [name, json] : filled["models"].items()) {
    settings.models.push_back(ParseModel(name, json));
  }
  for (const auto& [name, json] : filled["services"].items()) {
    settings.services.push_back(ParseService(name, json));
  }
  settings.objectives = ParseObjectives(settings.team, filled);
  return settings;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

}  // namespace dogwoodlatch
