#include "table.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace dogwoodlatch::cli {
namespace {

constexpr size_t kColumnGap = 2;

void WidenColumns(std::vector<size_t>& widths, const TableRow& row) {
  widths.resize(std::max(widths.size(), row.size()));
  std::ranges::transform(row, widths, widths.begin(),
                         [](const std::string& cell, size_t width) {
                           return std::max(cell.size(), width);
                         });
}

void PrintRow(std::ostream& out, const std::vector<size_t>& widths,
              const TableRow& row) {
  std::string line;
  for (size_t column = 0; column < row.size(); ++column) {
    std::string cell = row[column];
    cell.resize(widths[column] + kColumnGap, ' ');
    line += cell;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  out << line << "\n";
}

}  // namespace

void PrintTable(std::ostream& out, const TableRow& header,
                const std::vector<TableRow>& rows) {
  std::vector<size_t> widths;
  WidenColumns(widths, header);
  for (const TableRow& row : rows) WidenColumns(widths, row);
  PrintRow(out, widths, header);
  for (const TableRow& row : rows) PrintRow(out, widths, row);
}

std::string FormatFixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

}  // namespace dogwoodlatch::cli
