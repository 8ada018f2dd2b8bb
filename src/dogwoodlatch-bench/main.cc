// dogwoodlatch-bench: measurements on the decision code and on running daemons.

#include <algorithm>
#include <array>
#include <iostream>
#include <vector>

#include "bench.h"
#include "dogwoodlatch/util/program.h"

namespace dogwoodlatch::bench {
namespace {

constexpr std::array kSubcommands = {
    Subcommand{"keying", "rate of keying a long prompt", RunKeying},
    Subcommand{"routing", "time of one routing decision", RunRouting},
    Subcommand{"policy", "routing policies in virtual time; --json, --curve",
               RunPolicy},
};

int Run(const std::vector<std::string>& arguments) {
  const std::string name = arguments.empty() ? "--help" : arguments.front();
  const auto found = std::ranges::find(kSubcommands, name, &Subcommand::name);
  if (found != kSubcommands.end()) {
    return found->run(std::span(arguments).subspan(1));
  }
  std::cout << "usage: dogwoodlatch-bench SUBCOMMAND\n";
  for (const Subcommand& subcommand : kSubcommands) {
    std::cout << "  " << subcommand.name << "  " << subcommand.summary << "\n";
  }
  const bool asked = name == "--help" || name == "--version";
  return static_cast<int>(asked ? ExitCode::kOk : ExitCode::kBadUsage);
}

}  // namespace
}  // namespace dogwoodlatch::bench

int main(int argc, char** argv) {
  return dogwoodlatch::bench::Run({argv + 1, argv + argc});
}
