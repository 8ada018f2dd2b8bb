// Generates shell completion from the command table.

#include <array>
#include <iostream>
#include <map>

#include "command.h"

namespace dogwoodlatch::cli {
namespace {

constexpr std::string_view kOptions =
    "--config --platform --daemons --output --base --against --node --help "
    "--version";

ExitCode PrintBashCompletion(const ClientOptions&, Arguments) {
  std::map<std::string, std::string> names;
  std::string groups;
  for (const Command& command : AllCommands()) {
    const std::string group(command.group);
    if (!names.contains(group)) groups += group + " ";
    names[group] += std::string(command.name) + " ";
  }
  std::cout << "_dogwoodlatch() {\n"
            << "  local word=\"${COMP_WORDS[COMP_CWORD]}\"\n"
            << "  local before=\"${COMP_WORDS[COMP_CWORD-1]}\"\n"
            << "  local words=\"" << groups << kOptions << "\"\n"
            << "  case \"$before\" in\n";
  for (const auto& [group, list] : names) {
    std::cout << "    " << group << ") words=\"" << list << "\" ;;\n";
  }
  std::cout << "    --output) words=\"table json html\" ;;\n"
            << "    --against) words=\"" << kInForce << "\" ;;\n"
            << "  esac\n"
            << "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
            << "  [ ${#COMPREPLY[@]} -gt 0 ] || "
               "COMPREPLY=($(compgen -f -- \"$word\"))\n"
            << "}\ncomplete -F _dogwoodlatch dogwoodlatch\n";
  return ExitCode::kOk;
}

constexpr std::array kCommands = {
    Command{"completion", "bash", "", 0, "print a completion script for bash",
            PrintBashCompletion},
};

}  // namespace

std::span<const Command> CompletionCommands() { return kCommands; }

}  // namespace dogwoodlatch::cli
