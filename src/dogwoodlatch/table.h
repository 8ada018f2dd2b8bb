// Prints plain-text tables.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace dogwoodlatch::cli {

using TableRow = std::vector<std::string>;

// Prints a header and rows; each column is as wide as its widest cell.
void PrintTable(std::ostream& out, const TableRow& header,
                const std::vector<TableRow>& rows);

// Formats a number with `digits` digits after the decimal point.
std::string FormatFixed(double value, int digits);

}  // namespace dogwoodlatch::cli
