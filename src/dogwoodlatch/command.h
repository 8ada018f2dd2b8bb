// The client's commands: a table of what operators can ask for.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/util/platform_client.h"
#include "dogwoodlatch/util/program.h"

namespace dogwoodlatch::cli {

enum class OutputFormat { kTable, kJson, kHtml };

// What the options and the client's settings file say.
struct ClientOptions {
  std::string platform;              // "ip:port"; empty when not given
  std::vector<std::string> daemons;  // operations addresses, "ip:port"
  std::chrono::milliseconds timeout{0};
  OutputFormat output = OutputFormat::kTable;
  std::optional<uint64_t> base;  // version that a new one is written over

  PlatformClient OpenPlatform() const {
    return PlatformClient({platform, timeout});
  }
};

using Arguments = std::span<const std::string>;

struct Command {
  std::string_view group;
  std::string_view name;       // empty when the group is the whole command
  std::string_view arguments;  // as usage prints them
  size_t argument_count;
  std::string_view summary;
  ExitCode (*run)(const ClientOptions& options, Arguments arguments);
};

// The commands of each group.
std::span<const Command> SettingsCommands();
std::span<const Command> StatusCommands();
std::span<const Command> ReportCommands();
std::span<const Command> CompletionCommands();

// Every command, in the order of the groups.
std::vector<Command> AllCommands();

// Prints the failure to standard error and gives its exit code.
ExitCode ReportError(const Error& error);

}  // namespace dogwoodlatch::cli
