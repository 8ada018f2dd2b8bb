// The measurements of dogwoodlatch-bench, a subcommand each.
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

int RunKeying(std::span<const std::string> arguments);
int RunLoadBench(std::span<const std::string> arguments);
int RunSlopes(std::span<const std::string> arguments);
int RunTransportSlopes(std::span<const std::string> arguments);
int RunRouting(std::span<const std::string> arguments);
int RunPolicy(std::span<const std::string> arguments);

}  // namespace dogwoodlatch::bench
