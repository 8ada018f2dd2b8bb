#include "command.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace dogwoodlatch::cli {
namespace {

ExitCode ToExitCode(ErrorCode code) {
  switch (code) {
    case ErrorCode::kBadJson:
    case ErrorCode::kUnknownKey:
    case ErrorCode::kMissingKey:
    case ErrorCode::kWrongType:
    case ErrorCode::kOutOfBounds:
    case ErrorCode::kForbidden:
      return ExitCode::kBadSettings;
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kUnavailable:
    case ErrorCode::kUnknownOutcome:
      return ExitCode::kUnavailable;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace

std::vector<Command> AllCommands() {
  std::vector<Command> all;
  const std::array groups = {SettingsCommands(), CheckCommands(),
                             StatusCommands(), ReportCommands(),
                             CompletionCommands()};
  for (const std::span<const Command> group : groups) {
    std::ranges::copy(group, std::back_inserter(all));
  }
  return all;
}

ExitCode ReportError(const Error& error) {
  std::cerr << "dogwoodlatch: " << ToString(error) << "\n";
  return ToExitCode(error.code);
}

}  // namespace dogwoodlatch::cli
