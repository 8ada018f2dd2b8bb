// The table of the client's commands.
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

// The client's configuration, merged from command line and settings file.
struct ClientOptions {
  std::string platform;              // "ip:port"; empty if not configured
  std::vector<std::string> daemons;  // operations addresses, "ip:port"
  std::chrono::milliseconds timeout{0};
  OutputFormat output = OutputFormat::kTable;
  std::optional<uint64_t> base;        // version that a write replaces
  std::optional<std::string> against;  // a file, or kInForce
  std::optional<std::string> node;     // settings file of a daemon

  PlatformClient OpenPlatform() const {
    return PlatformClient({platform, timeout});
  }
};

// Value of --against for the version in the platform's store.
inline constexpr std::string_view kInForce = "in-force";

using Arguments = std::span<const std::string>;

struct Command {
  std::string_view group;
  std::string_view name;       // empty if the group name alone is the command
  std::string_view arguments;  // as printed in the usage text
  size_t argument_count;
  std::string_view summary;
  ExitCode (*run)(const ClientOptions& options, Arguments arguments);
};

// Each returns the commands of one group.
std::span<const Command> SettingsCommands();
std::span<const Command> StatusCommands();
std::span<const Command> ReportCommands();
std::span<const Command> CheckCommands();
std::span<const Command> CompletionCommands();

// Returns all commands, ordered by group.
std::vector<Command> AllCommands();

// Prints the error to standard error and returns the exit code for it.
ExitCode ReportError(const Error& error);

}  // namespace dogwoodlatch::cli
