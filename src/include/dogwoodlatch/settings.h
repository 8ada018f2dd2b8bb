/// Routing settings: the objects that teams write to the platform, and the
/// snapshot that request handling reads.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/objective.h"
#include "dogwoodlatch/schema.h"

namespace dogwoodlatch {

inline constexpr std::string_view kSettingsPrefix = "settings/";

struct WorkspaceSettings {
  WorkspaceId id;
  std::string key_sha256;  ///< of the caller's bearer key, in hexadecimal
  double share = 1;        ///< weight in fair sharing
  double requests_per_second = 0;
  int priority = 0;
};

struct ModelSettings {
  std::string name;
  size_t piece_bytes = 0;
  /// Added cost in seconds per second of recomputed prefill.
  double recompute_weight = 0;
  std::chrono::milliseconds deadline{0};
};

struct RouteRule {
  std::string method;
  std::string path;  ///< exact, or a prefix if it ends in '*'
};

struct ServiceSettings {
  std::string name;
  std::vector<RouteRule> idempotent_routes;
  std::chrono::milliseconds deadline{0};
  uint32_t claim_logs = 0;
  std::chrono::milliseconds claim_retention{0};

  /// Whether a call is declared idempotent; undeclared calls are not.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
};

/// The version of a team's object that is in force.
struct TeamSettings {
  std::string team;
  uint64_t version = 0;
  nlohmann::json document;
  std::vector<WorkspaceSettings> workspaces;
  std::vector<ModelSettings> models;
  std::vector<ServiceSettings> services;
  std::vector<Objective> objectives;
};

/// All settings in force at one moment; immutable once published.
struct SettingsSnapshot {
  std::map<std::string, TeamSettings> teams;

  /// The workspace whose key has this digest, or nullptr; compares in constant
  /// time.
  const WorkspaceSettings* FindWorkspaceByKey(
      std::string_view key_sha256) const;
  const ModelSettings* FindModel(std::string_view name) const;
  const ServiceSettings* FindService(std::string_view name) const;

  /// The objectives of all teams for one model or service.
  std::vector<Objective> ObjectivesFor(std::string_view serves) const;
};

/// The schema of a team's object.
std::span<const KeySpec> TeamSchema();

/// All faults of a team's object against TeamSchema().
std::vector<Error> FindTeamFaults(const nlohmann::json& document,
                                  std::string_view where);

/// Parses a team's object; it must have no faults.
TeamSettings ParseTeam(std::string_view team, uint64_t version,
                       const nlohmann::json& document);

/// SHA-256 of `text` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);

}  // namespace dogwoodlatch
