// Renders the burn report as text tables and as an HTML page.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "dogwoodlatch/burn.h"

namespace dogwoodlatch::cli {

// Returns for example "95% first token within 800 ms" or "99% complete".
std::string DescribeObjective(const Objective& objective);

// Returns up to `count` rows with bad requests, largest number of bad requests
// first.
std::vector<BurnRow> TopBudgetConsumers(const ObjectiveBurn& burn,
                                        size_t count);

// Returns the quantile of the time to first token in milliseconds, or "-" when
// there are no samples.
std::string FormatQuantileMs(const ObjectiveBurn& burn, double share);

void PrintBurnReport(std::ostream& out, const BurnReport& report);

// Returns a self-contained HTML page with plots.
std::string MakeBurnReportPage(const BurnReport& report);

}  // namespace dogwoodlatch::cli
