// The burn report as text and as a page.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "dogwoodlatch/burn.h"

namespace dogwoodlatch::cli {

// "95% with their first token within 800 ms" or "99% complete".
std::string DescribeObjective(const Objective& objective);

// The rows that spend the most of the budget, the first most.
std::vector<BurnRow> TopBudgetConsumers(const ObjectiveBurn& burn,
                                        size_t count);

// A quantile of the time to first token in milliseconds, or "-".
std::string FormatQuantileMs(const ObjectiveBurn& burn, double share);

void PrintBurnReport(std::ostream& out, const BurnReport& report);

// One self-contained HTML page with plots.
std::string MakeBurnReportPage(const BurnReport& report);

}  // namespace dogwoodlatch::cli
