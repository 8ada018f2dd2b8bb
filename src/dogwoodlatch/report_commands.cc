// Implements `report burn` and `report usage`, which merge the reports of all
// daemons.

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>

#include "burn_text.h"
#include "command.h"
#include "daemons.h"
#include "dogwoodlatch/usage.h"
#include "table.h"

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;

constexpr int kJsonIndent = 2;

// The reports of one kind from all daemons, and the addresses of the daemons
// that did not respond.
struct CollectedReports {
  std::vector<Json> parts;
  Json unresponsive = Json::array();
  bool any_responded = false;
};

// Collects the member `key` of each daemon's status. Daemons that do not
// respond are also reported on standard error.
CollectedReports CollectReports(const ClientOptions& options, const char* key) {
  CollectedReports collected;
  for (const DaemonStatus& daemon : FetchDaemonStatuses(options)) {
    if (!daemon.status) {
      ReportError(daemon.status.error());
      collected.unresponsive.push_back(daemon.address);
      continue;
    }
    collected.any_responded = true;
    if (daemon.status.value().contains(key)) {
      collected.parts.push_back(daemon.status.value()[key]);
    }
  }
  return collected;
}

ExitCode ReportNoDaemonResponds() {
  return ReportError(
      {ErrorCode::kUnavailable, "daemons",
       "no daemon responded; pass their operations addresses with --daemons"});
}

ExitCode Burn(const ClientOptions& options, Arguments) {
  const CollectedReports collected = CollectReports(options, "burn");
  if (!collected.any_responded) return ReportNoDaemonResponds();
  std::vector<BurnReport> reports;
  for (const Json& part : collected.parts) {
    Result<BurnReport> report = ParseBurnReport(part);
    if (!report) return ReportError(report.error());
    reports.push_back(std::move(report).value());
  }
  const BurnReport merged = MergeBurnReports(reports);
  switch (options.output) {
    case OutputFormat::kTable:
      PrintBurnReport(std::cout, merged);
      break;
    case OutputFormat::kJson:
      std::cout << Json({{"objectives", ToJson(merged)},
                         {"silent", collected.unresponsive}})
                       .dump(kJsonIndent)
                << "\n";
      break;
    case OutputFormat::kHtml:
      std::cout << MakeBurnReportPage(merged);
      break;
  }
  return ExitCode::kOk;
}

TableRow UsageRow(const UsageReport::value_type& entry) {
  const auto& [key, counts] = entry;
  const double hit_rate = counts.prompt_tokens == 0
                              ? 0
                              : static_cast<double>(counts.cached_tokens) /
                                    static_cast<double>(counts.prompt_tokens);
  return {key.first.value,
          key.second,
          std::to_string(counts.requests),
          std::to_string(counts.complete),
          std::to_string(counts.prompt_tokens),
          std::to_string(counts.cached_tokens),
          FormatFixed(hit_rate, 3),
          std::to_string(counts.output_tokens)};
}

ExitCode Usage(const ClientOptions& options, Arguments) {
  const CollectedReports collected = CollectReports(options, "usage");
  if (!collected.any_responded) return ReportNoDaemonResponds();
  UsageReport sum;
  for (const Json& part : collected.parts) {
    const Result<UsageReport> report = ParseUsageReport(part);
    if (!report) return ReportError(report.error());
    AddUsage(sum, report.value());
  }
  if (options.output == OutputFormat::kJson) {
    std::cout << Json({{"usage", ToJson(sum)},
                       {"silent", collected.unresponsive}})
                     .dump(kJsonIndent)
              << "\n";
    return ExitCode::kOk;
  }
  std::vector<TableRow> rows;
  std::ranges::transform(sum, std::back_inserter(rows), UsageRow);
  PrintTable(std::cout,
             {"workspace", "serves", "requests", "complete", "prompt tokens",
              "cached tokens", "hit rate", "output tokens"},
             rows);
  return ExitCode::kOk;
}

constexpr std::array kCommands = {
    Command{"report", "burn", "", 0,
            "print the burn rates of the error budgets", Burn},
    Command{"report", "usage", "", 0, "print usage per workspace", Usage},
};

}  // namespace

std::span<const Command> ReportCommands() { return kCommands; }

}  // namespace dogwoodlatch::cli
