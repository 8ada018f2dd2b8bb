#include "dogwoodlatch/util/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cctype>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
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

// Replaces an output of the process by a pipe that holds one page and that
// nobody reads, for the lifetime of this object. Failures of assertions are
// printed there too, so tests assert after it.
class FullPipe {
 public:
  explicit FullPipe(int output) : output_(output), saved_(dup(output)) {
    REQUIRE(pipe(ends_.data()) == 0);
    fcntl(ends_[1], F_SETPIPE_SZ, kPipeBytes);
    dup2(ends_[1], output_);
    close(ends_[1]);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;
  ~FullPipe() {
    Restore();
    close(ends_[0]);
  }

  void Restore() {
    if (saved_ < 0) return;
    dup2(saved_, output_);
    close(std::exchange(saved_, -1));
  }

  // Reads what the pipe holds now.
  std::string Read() const {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, kPipeBytes> bytes{};
    ssize_t count = 0;
    while ((count = read(ends_[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<size_t>(count));
    }
    return text;
  }

 private:
  static constexpr int kPipeBytes = 4096;

  int output_;
  int saved_;
  std::array<int, 2> ends_{};
};

// Counts the lines of a log: those that were written, and those that its E120
// lines report as dropped.
struct LineCounts {
  size_t written = 0;
  size_t dropped = 0;
  bool are_whole = true;
};

LineCounts CountLines(const std::string& log) {
  static constexpr std::string_view kDropped = " E120 log_dropped lines=";
  LineCounts counts;
  std::istringstream in(log);
  std::string line;
  while (std::getline(in, line)) {
    const size_t at = line.find(kDropped);
    if (at != std::string::npos) {
      counts.dropped += std::stoul(line.substr(at + kDropped.size()));
    } else {
      ++counts.written;
      counts.are_whole &= line.ends_with("end=yes");
    }
  }
  counts.are_whole &= log.empty() || log.ends_with('\n');
  return counts;
}

void LogLines(EventId id, size_t count) {
  const std::string text(1000, 'x');
  for (size_t line = 0; line < count; ++line) {
    LogEvent(id, {{"text", text}, {"end", "yes"}});
  }
}

}  // namespace

// Guards against lost counts: a count of dropped lines that did not fit into
// the buffer itself was counted as one line.
TEST_CASE("dropped lines are counted also while the buffer is full") {
  constexpr size_t kLines = 390;
  std::string log;
  {
    FullPipe out(STDOUT_FILENO);
    InitBufferedLogging("vm", Severity::kInfo);
    LogLines(EventId::kTargetUp, kLines);
    for (int flush = 0; flush < 5; ++flush) FlushLog();
    for (size_t length = 1; length != 0;) {
      const std::string part = out.Read();
      log += part;
      length = part.size();
      FlushLog();
    }
    log += out.Read();
  }
  InitLogging("test", Severity::kError);
  const LineCounts counts = CountLines(log);
  CHECK(counts.are_whole);
  CHECK(counts.dropped > 0);
  CHECK(counts.written + counts.dropped == kLines);
}

// Guards against lines that vanish uncounted: what a full pipe held back when
// the process ended was neither written nor counted.
TEST_CASE("lines that the output does not take at the end are counted") {
  constexpr size_t kLines = 100;
  std::string log;
  std::string faults;
  {
    FullPipe out(STDOUT_FILENO);
    FullPipe err(STDERR_FILENO);
    InitBufferedLogging("vm", Severity::kInfo);
    LogLines(EventId::kTargetDown, kLines);
    EndLog();
    log = out.Read();
    faults = err.Read();
  }
  InitLogging("test", Severity::kError);
  const LineCounts written = CountLines(log);
  const LineCounts counted = CountLines(faults);
  CHECK(written.are_whole);
  CHECK(written.written > 0);
  CHECK(counted.written == 0);
  CHECK(written.written + written.dropped + counted.dropped == kLines);
}

// Guards against a count that is lost with its line when both are held back.
TEST_CASE("a count that the output does not take at the end is counted") {
  constexpr size_t kLines = 390;
  std::string log;
  std::string faults;
  {
    FullPipe out(STDOUT_FILENO);
    FullPipe err(STDERR_FILENO);
    InitBufferedLogging("vm", Severity::kInfo);
    LogLines(EventId::kTargetListed, kLines);
    FlushLog();
    // Makes room in the buffer for the count, which stays there.
    log = out.Read();
    FlushLog();
    log += out.Read();
    FlushLog();
    FlushLog();
    EndLog();
    log += out.Read();
    faults = err.Read();
  }
  InitLogging("test", Severity::kError);
  const LineCounts written = CountLines(log);
  CHECK(written.are_whole);
  CHECK(written.written + written.dropped + CountLines(faults).dropped ==
        kLines);
}

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
