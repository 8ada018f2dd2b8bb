// The burn report as text and as a page.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "dogwoodlatch/burn.h"

namespace dogwoodlatch::cli {

// "95% with their first token within 800 ms" or "99% complete".
std::string Describe(const Objective& objective);

// The rows that spend the most of the budget, the first most.
std::vector<BurnRow> BiggestSpenders(const ObjectiveBurn& burn, size_t count);

// A quantile of the time to first token in milliseconds, or "-".
std::string QuantileText(const ObjectiveBurn& burn, double share);

void PrintBurn(std::ostream& out, const BurnReport& report);

// One self-contained HTML page with plots.
std::string MakeBurnPage(const BurnReport& report);

}  // namespace dogwoodlatch::cli
