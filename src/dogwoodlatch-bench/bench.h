// The benchmarks of dogwoodlatch-bench, one per subcommand.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace dogwoodlatch::bench {

struct Subcommand {
  std::string_view name;
  std::string_view summary;
  int (*run)(std::span<const std::string> arguments);
};

int RunKeyingBench(std::span<const std::string> arguments);
int RunLoadBench(std::span<const std::string> arguments);
int RunSlopesBench(std::span<const std::string> arguments);
int RunTransportBench(std::span<const std::string> arguments);
int RunRoutingBench(std::span<const std::string> arguments);
int RunPolicyBench(std::span<const std::string> arguments);
int RunClaimsBench(std::span<const std::string> arguments);

}  // namespace dogwoodlatch::bench
