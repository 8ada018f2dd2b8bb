#include "dogwoodlatch/util/log.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cctype>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace dogwoodlatch {
namespace {

std::string SeverityName(Severity severity) {
  static constexpr std::array kNames = {"debug", "info", "warning", "error"};
  return kNames.at(static_cast<size_t>(severity));
}

// Returns the cells of a Markdown table row, trimmed; empty cells are left out.
std::vector<std::string> ParseTableCells(const std::string& line) {
  std::vector<std::string> cells;
  std::istringstream in(line.substr(1));
  std::string cell;
  while (std::getline(in, cell, '|')) {
    const size_t first = cell.find_first_not_of(' ');
    const size_t last = cell.find_last_not_of(' ');
    if (first == std::string::npos) continue;
    cells.push_back(cell.substr(first, last - first + 1));
  }
  return cells;
}

// Reads the rows of the documented event catalogue, by event number.
std::map<int, std::vector<std::string>> ReadDocumentedEvents() {
  std::map<int, std::vector<std::string>> rows;
  std::ifstream in(DOGWOODLATCH_EVENTS_PAGE);
  std::string line;
  while (std::getline(in, line)) {
    const bool is_event =
        line.size() > 2 && line.starts_with("| ") && std::isdigit(line[2]) != 0;
    if (!is_event) continue;
    const std::vector<std::string> cells = ParseTableCells(line);
    INFO("event " << cells.front() << " is listed once");
    REQUIRE(rows.try_emplace(std::stoi(cells.front()), cells).second);
  }
  return rows;
}

}  // namespace

TEST_CASE("docs/events.md and the code list the same events") {
  const auto documented = ReadDocumentedEvents();
  REQUIRE_FALSE(documented.empty());
  CHECK(documented.size() == EventCatalogue().size());
  for (const EventSpec& event : EventCatalogue()) {
    const int number = static_cast<int>(event.id);
    INFO("event " << number);
    const auto row = documented.find(number);
    REQUIRE(row != documented.end());
    const std::vector<std::string> expected = {
        std::to_string(number), std::string(event.name),
        SeverityName(event.severity), std::string(event.meaning)};
    CHECK(row->second == expected);
  }
}

TEST_CASE("event numbers ascend and names are unique") {
  const auto events = EventCatalogue();
  CHECK(std::ranges::adjacent_find(events, std::ranges::greater_equal{},
                                   &EventSpec::id) == events.end());
  std::vector<std::string_view> names;
  std::ranges::transform(events, std::back_inserter(names), &EventSpec::name);
  std::ranges::sort(names);
  CHECK(std::ranges::adjacent_find(names) == names.end());
}

}  // namespace dogwoodlatch
