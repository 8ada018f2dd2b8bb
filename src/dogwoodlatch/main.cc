// dogwoodlatch: command-line client for operators.

#include <algorithm>
#include <iostream>

#include "client_options.h"
#include "command.h"

namespace dogwoodlatch::cli {
namespace {

constexpr size_t kSummaryColumn = 34;

void PrintHelp(std::ostream& out) {
  out << MakeOptions().help() << "\nCommands:\n";
  for (const Command& command : AllCommands()) {
    std::string usage = "  " + std::string(command.group);
    if (!command.name.empty()) usage += " " + std::string(command.name);
    if (!command.arguments.empty()) {
      usage += " " + std::string(command.arguments);
    }
    usage.resize(std::max(usage.size(), kSummaryColumn), ' ');
    out << usage << command.summary << "\n";
  }
  out << "\nExit codes: 0 done, 1 failed, 2 bad command line, 3 settings "
         "refused,\n4 conflict with another operator, 5 platform or daemons "
         "unavailable,\n6 check found errors, 7 check found only warnings.\n";
}

ExitCode BadUsage() {
  PrintHelp(std::cerr);
  return ExitCode::kBadUsage;
}

// Returns how many leading words of the command line name `command`, or 0 if
// they name another one.
size_t CountMatchedWords(const Command& command, Arguments words) {
  if (words.empty() || words[0] != command.group) return 0;
  if (command.name.empty()) return 1;
  return words.size() > 1 && words[1] == command.name ? 2 : 0;
}

ExitCode RunCommand(const cxxopts::ParseResult& parsed) {
  if (parsed.count("command") == 0) return BadUsage();
  const auto words = parsed["command"].as<std::vector<std::string>>();
  const std::vector<Command> commands = AllCommands();
  const auto command =
      std::ranges::find_if(commands, [&](const Command& candidate) {
        return CountMatchedWords(candidate, words) > 0;
      });
  if (command == commands.end()) return BadUsage();
  const Arguments arguments =
      Arguments(words).subspan(CountMatchedWords(*command, words));
  if (arguments.size() != command->argument_count) return BadUsage();
  const Result<ClientOptions> options = ReadClientOptions(parsed);
  if (!options) {
    const ExitCode exit_code = ReportError(options.error());
    const bool is_option = options.error().where.starts_with("--");
    return is_option ? ExitCode::kBadUsage : exit_code;
  }
  return command->run(options.value(), arguments);
}

ExitCode Run(int argc, char** argv) {
  // cxxopts reports invalid command lines only by throwing.
  try {
    const cxxopts::ParseResult parsed = MakeOptions().parse(argc, argv);
    if (parsed.count("version") > 0) {
      std::cout << "dogwoodlatch " << DOGWOODLATCH_VERSION << "\n";
      return ExitCode::kOk;
    }
    if (parsed.count("help") > 0) {
      PrintHelp(std::cout);
      return ExitCode::kOk;
    }
    return RunCommand(parsed);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "dogwoodlatch: " << e.what() << "\n";
    return ExitCode::kBadUsage;
  }
}

}  // namespace
}  // namespace dogwoodlatch::cli

int main(int argc, char** argv) {
  return static_cast<int>(dogwoodlatch::cli::Run(argc, argv));
}
