#include "burn_text.h"

#include <algorithm>
#include <ostream>
#include <sstream>

#include "table.h"

namespace dogwoodlatch::cli {
namespace {

constexpr size_t kMaxConsumersShown = 5;
constexpr double kPercent = 100;

std::string FormatPercent(double share) {
  std::ostringstream out;
  out << share * kPercent << "%";
  return out.str();
}

TableRow SummaryRow(const ObjectiveBurn& burn) {
  const double share = burn.objective.share;
  const SloCounts short_total = burn.ShortTotal();
  const SloCounts long_total = burn.LongTotal();
  return {burn.objective.team + "/" + burn.objective.name,
          burn.objective.serves,
          DescribeObjective(burn.objective),
          std::string(ToString(ComputeBurnState(burn))),
          FormatFixed(BurnRate(short_total, share), 2),
          FormatFixed(BurnRate(long_total, share), 2),
          FormatPercent(BudgetLeft(long_total, share)),
          std::to_string(long_total.total),
          FormatQuantileMs(burn, 0.5),
          FormatQuantileMs(burn, 0.99)};
}

TableRow ConsumerRow(const BurnRow& row) {
  return {row.workspace.value,
          row.target.value.empty() ? "-" : row.target.value,
          std::to_string(row.long_window.bad()),
          std::to_string(row.long_window.total)};
}

}  // namespace

std::string DescribeObjective(const Objective& objective) {
  const std::string share = FormatPercent(objective.share);
  if (!objective.is_first_token()) return share + " complete";
  return share + " first token within " +
         std::to_string(objective.first_token.count()) + " ms";
}

std::vector<BurnRow> TopBudgetConsumers(const ObjectiveBurn& burn,
                                        size_t count) {
  std::vector<BurnRow> rows = burn.rows;
  std::erase_if(rows,
                [](const BurnRow& row) { return row.long_window.bad() == 0; });
  std::ranges::stable_sort(
      rows, std::ranges::greater{},
      [](const BurnRow& row) { return row.long_window.bad(); });
  rows.resize(std::min(rows.size(), count));
  return rows;
}

std::string FormatQuantileMs(const ObjectiveBurn& burn, double share) {
  const auto time = FirstTokenQuantile(burn.first_token, share);
  if (!time) return "-";
  return FormatFixed(std::chrono::duration<double, std::milli>(*time).count(),
                     0);
}

void PrintBurnReport(std::ostream& out, const BurnReport& report) {
  std::vector<TableRow> rows;
  std::ranges::transform(report, std::back_inserter(rows), SummaryRow);
  PrintTable(out,
             {"objective", "serves", "good", "state", "burn 5 min", "burn 6 h",
              "budget left", "requests", "p50 ms", "p99 ms"},
             rows);
  for (const ObjectiveBurn& burn : report) {
    std::vector<TableRow> consumers;
    std::ranges::transform(TopBudgetConsumers(burn, kMaxConsumersShown),
                           std::back_inserter(consumers), ConsumerRow);
    if (consumers.empty()) continue;
    out << "\n"
        << burn.objective.team << "/" << burn.objective.name
        << " is spent by\n";
    PrintTable(out, {"workspace", "target", "bad", "requests"}, consumers);
  }
}

}  // namespace dogwoodlatch::cli
