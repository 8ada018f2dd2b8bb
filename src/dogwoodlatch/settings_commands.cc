// Implements the commands on teams' settings objects.

#include <algorithm>
#include <array>
#include <iostream>

#include "client_options.h"
#include "command.h"
#include "dogwoodlatch/settings.h"
#include "dogwoodlatch/settings_rules.h"
#include "settings_diff.h"
#include "table.h"

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;

constexpr int kJsonIndent = 2;

std::string SettingsPath(const std::string& team) {
  return std::string(kSettingsPrefix) + team;
}

// Prints every fault and returns the exit code for invalid settings.
ExitCode ReportFaults(const std::vector<Error>& faults) {
  for (const Error& fault : faults) ReportError(fault);
  return ExitCode::kBadSettings;
}

Result<Json> ReadSettings(const std::string& file) {
  const Result<std::string> text = ReadFile(file);
  if (!text) return text.error();
  return ParseJsonWithComments(text.value(), file);
}

// Returns the object in force, or an empty object with version 0 if there is
// none.
Result<PlatformObject> GetOrEmpty(const PlatformClient& platform,
                                  const std::string& path) {
  Result<PlatformObject> object = platform.Get(path);
  if (!object && object.error().code == ErrorCode::kNotFound) {
    return PlatformObject{path, 0, Json::object()};
  }
  return object;
}

ExitCode Validate(const ClientOptions&, Arguments arguments) {
  const Result<Json> document = ReadSettings(arguments[0]);
  if (!document) return ReportError(document.error());
  const std::vector<Error> faults =
      FindTeamFaults(document.value(), arguments[0]);
  if (!faults.empty()) return ReportFaults(faults);
  std::cout << arguments[0] << ": valid\n";
  return ExitCode::kOk;
}

ExitCode Get(const ClientOptions& options, Arguments arguments) {
  const Result<PlatformObject> object =
      options.OpenPlatform().Get(SettingsPath(arguments[0]));
  if (!object) return ReportError(object.error());
  if (options.output == OutputFormat::kJson) {
    const Json json = {{"team", arguments[0]},
                       {"version", object.value().version},
                       {"settings", object.value().value}};
    std::cout << json.dump(kJsonIndent) << "\n";
    return ExitCode::kOk;
  }
  std::cout << "// version " << object.value().version << "\n"
            << object.value().value.dump(kJsonIndent) << "\n";
  return ExitCode::kOk;
}

ExitCode Diff(const ClientOptions& options, Arguments arguments) {
  const Result<Json> document = ReadSettings(arguments[1]);
  if (!document) return ReportError(document.error());
  const Result<PlatformObject> current =
      GetOrEmpty(options.OpenPlatform(), SettingsPath(arguments[0]));
  if (!current) return ReportError(current.error());
  const auto changes = DiffSettings(current.value().value, document.value());
  if (options.output == OutputFormat::kJson) {
    std::cout << ToJson(changes).dump(kJsonIndent) << "\n";
  } else {
    PrintChanges(std::cout, changes);
  }
  return ExitCode::kOk;
}

// Prints what another operator has changed since the base version and what this
// operator wanted to change, so that the two can be merged by hand.
ExitCode PrintConflict(const PlatformClient& platform, const std::string& path,
                       const PlatformObject& base, const Json& ours) {
  const Result<PlatformObject> theirs = GetOrEmpty(platform, path);
  if (!theirs) return ReportError(theirs.error());
  std::cerr << "dogwoodlatch: " << path << ": conflict: version "
            << theirs.value().version << " is in place of version "
            << base.version << "\ntheir change:\n";
  PrintChanges(std::cerr, DiffSettings(base.value, theirs.value().value));
  std::cerr << "your change, not written:\n";
  PrintChanges(std::cerr, DiffSettings(base.value, ours));
  return ExitCode::kConflict;
}

ExitCode ReportPut(const ClientOptions& options, const std::string& team,
                   uint64_t version) {
  if (options.output == OutputFormat::kJson) {
    std::cout << Json({{"team", team}, {"version", version}}).dump() << "\n";
  } else {
    std::cout << team << ": accepted as version " << version << "\n";
  }
  return ExitCode::kOk;
}

// Returns the settings of all teams. Teams whose newest object is invalid are
// left out.
Result<SettingsSnapshot> LoadSettingsInForce(const PlatformClient& platform) {
  const Result<ObjectList> list = platform.List(kSettingsPrefix);
  if (!list) return list.error();
  SettingsSnapshot in_force;
  for (const PlatformObject& object : list.value().objects) {
    if (!FindTeamFaults(object.value, object.path).empty()) continue;
    const std::string team = TeamFromPath(object.path);
    in_force.teams[team] = ParseTeam(team, object.version, object.value);
  }
  return in_force;
}

// Returns the object that the new settings are based on: the version given by
// --base, or else the current one.
Result<PlatformObject> FindBase(const ClientOptions& options,
                                const PlatformClient& platform,
                                const std::string& path) {
  if (!options.base) return GetOrEmpty(platform, path);
  if (*options.base == 0) return PlatformObject{path, 0, Json::object()};
  return platform.GetVersion(path, *options.base);
}

ExitCode Put(const ClientOptions& options, Arguments arguments) {
  const Result<Json> document = ReadSettings(arguments[1]);
  if (!document) return ReportError(document.error());
  const std::vector<Error> faults =
      FindTeamFaults(document.value(), arguments[1]);
  if (!faults.empty()) return ReportFaults(faults);
  const PlatformClient platform = options.OpenPlatform();
  const Result<SettingsSnapshot> in_force = LoadSettingsInForce(platform);
  if (!in_force) return ReportError(in_force.error());
  const std::vector<Error> conflicts =
      FindSettingsFaults(arguments[0], document.value(), in_force.value());
  if (!conflicts.empty()) return ReportFaults(conflicts);
  const std::string path = SettingsPath(arguments[0]);
  const Result<PlatformObject> base = FindBase(options, platform, path);
  if (!base) return ReportError(base.error());
  const Result<uint64_t> version =
      platform.Put(path, document.value(), base.value().version);
  if (version && version.value() > 0) {
    return ReportPut(options, arguments[0], version.value());
  }
  // A write whose response was lost may have taken effect, so read the object
  // back.
  const Result<PlatformObject> current = platform.Get(path);
  const bool is_put = current &&
                      current.value().version > base.value().version &&
                      current.value().value == document.value();
  if (is_put) return ReportPut(options, arguments[0], current.value().version);
  if (!version && version.error().code != ErrorCode::kConflict) {
    return ReportError(version.error());
  }
  return PrintConflict(platform, path, base.value(), document.value());
}

ExitCode History(const ClientOptions& options, Arguments arguments) {
  const PlatformClient platform = options.OpenPlatform();
  const std::string path = SettingsPath(arguments[0]);
  const Result<ObjectHistory> history = platform.History(path);
  if (!history) return ReportError(history.error());
  Json list = Json::array();
  Json before = Json::object();
  for (const ObjectChange& change : history.value()) {
    const uint64_t version = change.object.version;
    const Json value = change.deleted ? Json::object() : change.object.value;
    const auto changes = DiffSettings(before, value);
    before = value;
    list.push_back({{"version", version}, {"changes", ToJson(changes)}});
    if (options.output == OutputFormat::kJson) continue;
    std::cout << "version " << version << "\n";
    PrintChanges(std::cout, changes);
  }
  if (options.output == OutputFormat::kJson) {
    std::cout << list.dump(kJsonIndent) << "\n";
  }
  return ExitCode::kOk;
}

ExitCode ExplainKeys(const ClientOptions&, Arguments) {
  std::cout << Explain(TeamSchema());
  return ExitCode::kOk;
}

constexpr std::array kCommands = {
    Command{"settings", "validate", "FILE", 1, "check a team's settings file",
            Validate},
    Command{"settings", "get", "TEAM", 1, "print a team's settings in force",
            Get},
    Command{"settings", "diff", "TEAM FILE", 2,
            "show the changes that a file would make", Diff},
    Command{"settings", "put", "TEAM FILE", 2,
            "check a settings file and put it in force", Put},
    Command{"settings", "history", "TEAM", 1,
            "print the changes of every retained version", History},
    Command{"settings", "explain", "", 0,
            "print a reference of all settings keys", ExplainKeys},
};

}  // namespace

std::span<const Command> SettingsCommands() { return kCommands; }

}  // namespace dogwoodlatch::cli
