#include "status_model.h"

#include <algorithm>
#include <map>
#include <set>

#include "dogwoodlatch/settings.h"

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;

const DaemonStatus* FindAgent(const std::vector<DaemonStatus>& daemons,
                              const std::string& router_address) {
  const auto found =
      std::ranges::find_if(daemons, [&](const DaemonStatus& daemon) {
        return daemon.status && daemon.status.value().value(
                                    "router_address", "") == router_address;
      });
  return found == daemons.end() ? nullptr : &*found;
}

std::string HealthOfAgent(const DaemonStatus* agent) {
  if (agent == nullptr) return "unknown";
  const Json& status = agent->status.value();
  if (status.value("draining", false)) return "draining";
  return status.value("healthy", false) ? "healthy" : "down";
}

Json TargetJson(const TargetEntry& target,
                const std::vector<DaemonStatus>& daemons) {
  const DaemonStatus* agent = FindAgent(daemons, target.agent_address);
  Json json = {{"id", target.id.value},
               {"serves", target.serves},
               {"failure_domain", target.failure_domain},
               {"state", target.leaving ? "leaving" : "live"},
               {"health", HealthOfAgent(agent)}};
  if (agent == nullptr) return json;
  const Json& status = agent->status.value();
  for (const char* key : {"running", "incarnation", "weights_version"}) {
    json[key] = status.value(key, Json());
  }
  return json;
}

// Describes a target by its agent's status alone. Used when the platform's VM
// list is unavailable.
Json AgentTargetJson(const DaemonStatus& agent) {
  const Json& status = agent.status.value();
  return {{"id", agent.Name()},
          {"serves", ""},
          {"failure_domain", ""},
          {"state", "unknown"},
          {"health", HealthOfAgent(&agent)},
          {"running", status.value("running", Json())},
          {"incarnation", status.value("incarnation", Json())},
          {"weights_version", status.value("weights_version", Json())}};
}

Json TargetsJson(const Result<VmList>& vms,
                 const std::vector<DaemonStatus>& daemons) {
  Json targets = Json::array();
  if (vms) {
    for (const TargetEntry& target : vms.value().targets) {
      targets.push_back(TargetJson(target, daemons));
    }
    return targets;
  }
  for (const DaemonStatus& daemon : daemons) {
    if (daemon.status && daemon.status.value().contains("incarnation")) {
      targets.push_back(AgentTargetJson(daemon));
    }
  }
  return targets;
}

struct TeamVersions {
  std::optional<uint64_t> platform;
  std::map<std::string, uint64_t> daemons;  // by daemon name
};

using VersionsByTeam = std::map<std::string, TeamVersions>;

// Reads the version number from a daemon's status, which holds either a plain
// number or an object with the member "version". Returns 0 for anything else.
uint64_t ParseVersion(const Json& entry) {
  if (entry.is_number()) return entry.get<uint64_t>();
  return entry.is_object() ? entry.value("version", uint64_t{0}) : 0;
}

VersionsByTeam CollectVersions(const Result<ObjectList>& settings,
                               const std::vector<DaemonStatus>& daemons) {
  VersionsByTeam teams;
  if (settings) {
    for (const PlatformObject& object : settings.value().objects) {
      teams[object.path.substr(kSettingsPrefix.size())].platform =
          object.version;
    }
  }
  for (const DaemonStatus& daemon : daemons) {
    if (!daemon.status || !daemon.status.value().contains("settings")) continue;
    const Json in_force = daemon.status.value()["settings"];
    for (const auto& [team, entry] : in_force.items()) {
      teams[team].daemons[daemon.Name()] = ParseVersion(entry);
    }
  }
  // A daemon that reports settings, but none of this team, is behind all of the
  // team's versions and counts as version 0.
  for (const DaemonStatus& daemon : daemons) {
    if (!daemon.status || !daemon.status.value().contains("settings")) continue;
    for (auto& [team, versions] : teams) {
      versions.daemons.try_emplace(daemon.Name(), 0);
    }
  }
  return teams;
}

Json VersionsJson(const std::string& team, const TeamVersions& versions) {
  Json json = {
      {"team", team},
      {"platform", versions.platform ? Json(*versions.platform) : Json()},
      {"slowest_daemon", nullptr},
      {"slowest_version", nullptr},
      {"in_force_everywhere", false}};
  if (versions.daemons.empty()) return json;
  const auto by_version = [](const auto& a, const auto& b) {
    return a.second < b.second;
  };
  const auto [slowest, newest] =
      std::ranges::minmax_element(versions.daemons, by_version);
  json["slowest_daemon"] = slowest->first;
  json["slowest_version"] = slowest->second;
  const uint64_t newest_version = versions.platform.value_or(newest->second);
  json["in_force_everywhere"] = slowest->second >= newest_version;
  return json;
}

Json DaemonsJson(const std::vector<DaemonStatus>& daemons) {
  Json list = Json::array();
  for (const DaemonStatus& daemon : daemons) {
    Json json = {{"address", daemon.address}, {"id", daemon.Name()}};
    if (daemon.status) {
      const Json& status = daemon.status.value();
      json["answers"] = true;
      json["ready"] = status.value("ready", status.value("healthy", true));
      json["vm_list"] = status.value("vm_list", Json());
    } else {
      json["answers"] = false;
      json["error"] = daemon.status.error().detail;
    }
    list.push_back(std::move(json));
  }
  return list;
}

// Lists the settings objects that daemons refused, with the version that each
// daemon keeps in force.
Json RefusedJson(const std::vector<DaemonStatus>& daemons) {
  Json list = Json::array();
  for (const DaemonStatus& daemon : daemons) {
    if (!daemon.status) continue;
    const Json refused =
        daemon.status.value().value("refused_settings", Json::object());
    for (const auto& [team, entry] : refused.items()) {
      Json json = entry;
      json["team"] = team;
      json["daemon"] = daemon.Name();
      list.push_back(std::move(json));
    }
  }
  return list;
}

// Returns the distinct entries of all daemons' lists under `key`.
Json CollectDistinctEntries(const std::vector<DaemonStatus>& daemons,
                            const char* key) {
  std::set<Json> entries;
  for (const DaemonStatus& daemon : daemons) {
    if (!daemon.status || !daemon.status.value().contains(key)) continue;
    for (const Json& entry : daemon.status.value()[key]) entries.insert(entry);
  }
  return Json(std::vector<Json>(entries.begin(), entries.end()));
}

}  // namespace

PlatformState ReadPlatform(const ClientOptions& options) {
  if (options.platform.empty()) {
    const Error missing{ErrorCode::kUnavailable, "platform",
                        "no address configured; pass one with --platform"};
    return {missing, missing};
  }
  const PlatformClient platform = options.OpenPlatform();
  return {platform.GetVmList(0, std::chrono::milliseconds(0)),
          platform.List(kSettingsPrefix)};
}

Json MakeStatus(const PlatformState& platform,
                const std::vector<DaemonStatus>& daemons) {
  Json versions = Json::array();
  for (const auto& [team, entry] :
       CollectVersions(platform.settings, daemons)) {
    versions.push_back(VersionsJson(team, entry));
  }
  const Json platform_error =
      platform.settings ? Json() : Json(ToString(platform.settings.error()));
  return {
      {"platform",
       {{"answers", platform.settings.has_value()}, {"error", platform_error}}},
      {"targets", TargetsJson(platform.vms, daemons)},
      {"versions", std::move(versions)},
      {"daemons", DaemonsJson(daemons)},
      {"refused_settings", RefusedJson(daemons)},
      {"quarantines", CollectDistinctEntries(daemons, "quarantine")},
      {"ownership", CollectDistinctEntries(daemons, "ownership")}};
}

}  // namespace dogwoodlatch::cli
