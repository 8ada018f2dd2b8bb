// dogwoodlatch-bench: benchmarks of the decision code and of running daemons.

#include <algorithm>
#include <array>
#include <iostream>
#include <vector>

#include "bench.h"
#include "dogwoodlatch/util/program.h"

namespace dogwoodlatch::bench {
namespace {

constexpr std::array kSubcommands = {
    Subcommand{"keying", "throughput of computing the keys of a long prompt",
               RunKeyingBench},
    Subcommand{"load", "latency of requests to running daemons", RunLoadBench},
    Subcommand{"slopes", "growth of time, bytes and memory with size",
               RunSlopesBench},
    Subcommand{"transport",
               "cost of connections between dogwoodlatch processes",
               RunTransportBench},
    Subcommand{"routing", "time of one routing decision", RunRoutingBench},
    Subcommand{"policy", "routing policies in simulated time; --json, --curve",
               RunPolicyBench},
    Subcommand{"claims", "platform calls caused by claims, in simulated time",
               RunClaimsBench},
};

int Run(const std::vector<std::string>& arguments) {
  const std::string name = arguments.empty() ? "--help" : arguments.front();
  const auto found = std::ranges::find(kSubcommands, name, &Subcommand::name);
  if (found != kSubcommands.end()) {
    return found->run(std::span(arguments).subspan(1));
  }
  if (name == "--version") {
    std::cout << "dogwoodlatch-bench " << DOGWOODLATCH_VERSION << "\n";
    return static_cast<int>(ExitCode::kOk);
  }
  std::cout << "usage: dogwoodlatch-bench SUBCOMMAND\n";
  for (const Subcommand& subcommand : kSubcommands) {
    std::cout << "  " << subcommand.name << "  " << subcommand.summary << "\n";
  }
  return static_cast<int>(name == "--help" ? ExitCode::kOk
                                           : ExitCode::kBadUsage);
}

}  // namespace
}  // namespace dogwoodlatch::bench

int main(int argc, char** argv) {
  return dogwoodlatch::bench::Run({argv + 1, argv + argc});
}
