// Implements `status`, which prints targets, settings versions in force,
// daemons, refused settings, quarantines and ownership.

#include <algorithm>
#include <array>
#include <iostream>

#include "command.h"
#include "status_model.h"
#include "table.h"

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;

constexpr int kJsonIndent = 2;

std::string FormatCell(const Json& value) {
  if (value.is_null()) return "-";
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints a table with a row for each entry of `list` and a column for each of
// its members named in `columns`.
void PrintSection(std::string_view title, const Json& list,
                  const std::vector<std::string>& columns) {
  std::vector<TableRow> rows;
  for (const Json& entry : list) {
    TableRow row;
    for (const std::string& column : columns) {
      row.push_back(FormatCell(entry.value(column, Json())));
    }
    rows.push_back(std::move(row));
  }
  std::cout << title << "\n";
  PrintTable(std::cout, columns, rows);
  std::cout << "\n";
}

void PrintJsonLines(std::string_view title, const Json& list) {
  if (list.empty()) return;
  std::cout << title << "\n";
  for (const Json& entry : list) std::cout << "  " << entry.dump() << "\n";
  std::cout << "\n";
}

void PrintStatus(const Json& status) {
  const Json& platform = status["platform"];
  std::cout << "platform: "
            << (platform["answers"].get<bool>() ? "answers"
                                                : FormatCell(platform["error"]))
            << "\n\n";
  PrintSection("targets", status["targets"],
               {"id", "serves", "failure_domain", "state", "health", "running",
                "weights_version"});
  PrintSection("settings in force", status["versions"],
               {"team", "platform", "slowest_version", "slowest_daemon",
                "in_force_everywhere"});
  PrintSection("daemons", status["daemons"],
               {"id", "address", "answers", "ready", "vm_list", "error"});
  PrintJsonLines("refused settings", status["refused_settings"]);
  PrintJsonLines("quarantines", status["quarantines"]);
  PrintJsonLines("ownership", status["ownership"]);
}

ExitCode Status(const ClientOptions& options, Arguments) {
  const PlatformState platform = ReadPlatform(options);
  const std::vector<DaemonStatus> daemons = FetchDaemonStatuses(options);
  const Json status = MakeStatus(platform, daemons);
  if (options.output == OutputFormat::kJson) {
    std::cout << status.dump(kJsonIndent) << "\n";
  } else {
    PrintStatus(status);
  }
  const bool any_responded =
      platform.settings.has_value() ||
      std::ranges::any_of(daemons, [](const DaemonStatus& daemon) {
        return daemon.status.has_value();
      });
  return any_responded ? ExitCode::kOk : ExitCode::kUnavailable;
}

constexpr std::array kCommands = {
    Command{"status", "", "", 0, "print targets, settings versions and daemons",
            Status},
};

}  // namespace

std::span<const Command> StatusCommands() { return kCommands; }

}  // namespace dogwoodlatch::cli
