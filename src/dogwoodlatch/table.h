// Plain tables for people.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace dogwoodlatch::cli {

using TableRow = std::vector<std::string>;

// Prints a header and rows in columns as wide as their widest cell.
void PrintTable(std::ostream& out, const TableRow& header,
                const std::vector<TableRow>& rows);

// A number with `digits` digits after the point.
std::string FormatFixed(double value, int digits);

}  // namespace dogwoodlatch::cli
