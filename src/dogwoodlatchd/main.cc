// The daemon on every VM of a deployment on the platform: `router` on entry
// VMs, `agent` next to model targets.
// clang-format off
// Before asio.hpp, which chooses its allocation functions by the standard
// library's macros.
#include <malloc.h>

#include <csignal>

#include <asio.hpp>
// clang-format on
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "dogwoodlatch/daemon/agent.h"
#include "dogwoodlatch/daemon/router.h"
#include "dogwoodlatch/util/event_loop.h"
#include "dogwoodlatch/util/log.h"
#include "dogwoodlatch/util/program.h"
#include "dogwoodlatch/util/signal_reader.h"
#include "platform/node_settings.h"

namespace dogwoodlatch {
namespace {

using daemon::Agent;
using daemon::Router;

struct CommandLine {
  std::string role;
  std::string settings_path;
  bool is_check = false;
};

// Returns nothing and sets `exit_code` when the process should exit.
std::optional<CommandLine> ReadCommandLine(int argc, const char* const* argv,
                                           ExitCode& exit_code) {
  cxxopts::Options options("dogwoodlatchd",
                           "Routes language-model traffic on the platform.");
  options.add_options()("role", "router or agent",
                        cxxopts::value<std::string>()->default_value(""))(
      "settings",
      std::string(
          "settings file of the platform; the default is the path in ") +
          platform::kSettingsPathVariable,
      cxxopts::value<std::string>()->default_value(platform::SettingsPath()))(
      "check-config", "check the settings file and exit")(
      "help", "print this text")("version", "print the version");
  options.parse_positional({"role"});
  options.positional_help("router|agent");
  // cxxopts reports bad command lines only by exceptions.
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    exit_code = ExitCode::kOk;
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return std::nullopt;
    }
    if (parsed.count("version") > 0) {
      std::cout << "dogwoodlatchd " << DOGWOODLATCH_VERSION << "\n";
      return std::nullopt;
    }
    CommandLine line{parsed["role"].as<std::string>(),
                     parsed["settings"].as<std::string>(),
                     parsed.count("check-config") > 0};
    if (line.role != "router" && line.role != "agent") {
      std::cerr << "the role must be router or agent\n";
      exit_code = ExitCode::kBadUsage;
      return std::nullopt;
    }
    return line;
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << fault.what() << "\n";
    exit_code = ExitCode::kBadUsage;
    return std::nullopt;
  }
}

// Runs a daemon until it stops its event loop.
template <typename Daemon>
ExitCode Run(const CommandLine& line, platform::NodeSettings settings) {
  asio::io_context context(1);
  // Signals that arrive during the start are handled after it. The first
  // numbers of the list are handled first.
  SignalReader signals(context, {SIGTERM, SIGINT, SIGHUP});
  LogEvent(EventId::kStarted, {{"role", line.role},
                               {"vm", settings.vm},
                               {"failure_domain", settings.failure_domain}});
  Daemon daemon(context, std::move(settings));
  const Result<void> started = daemon.Start();
  if (!started) {
    LogEvent(EventId::kListenFailed, {{"fault", ToString(started.error())}});
    EndLog();
    return ExitCode::kFailed;
  }
  const Result<void> reading = signals.Start([&](int number) {
    if (number != SIGHUP) return daemon.Stop();
    const auto reread = platform::LoadNodeSettings(line.settings_path);
    if (reread) {
      daemon.Reload(reread.value());
    } else {
      LogEvent(EventId::kSettingsFileRefused,
               {{"fault", ToString(reread.error())}});
    }
  });
  if (!reading) {
    EndLog();
    std::cerr << ToString(reading.error()) << "\n";
    return ExitCode::kFailed;
  }
  RunEventLoop(context);
  EndLog();
  return ExitCode::kOk;
}

// Blocks from this size on are mapped, and so returned to the system at once.
// Otherwise the allocator raises its own threshold to that of the largest body
// it has freed, and later bodies fragment the heap.
constexpr int kMappedBlockBytes = 256 * 1024;

// Free memory at the end of the heap that is kept. A change of the threshold
// above lowers its default to 128 KB, which frequent requests would cross.
constexpr int kKeptHeapBytes = 2 * 1024 * 1024;

ExitCode Main(int argc, const char* const* argv) {
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
  ExitCode exit_code = ExitCode::kOk;
  const std::optional<CommandLine> line =
      ReadCommandLine(argc, argv, exit_code);
  if (!line) return exit_code;
  Result<platform::NodeSettings> settings =
      platform::LoadNodeSettings(line->settings_path);
  if (!settings) {
    std::cerr << ToString(settings.error()) << "\n";
    return ExitCode::kBadSettings;
  }
  if (line->is_check) {
    std::cout << "settings are valid\n";
    return ExitCode::kOk;
  }
  InitBufferedLogging(settings.value().vm, Severity::kInfo);
  return line->role == "router" ? Run<Router>(*line, settings.value())
                                : Run<Agent>(*line, settings.value());
}

}  // namespace
}  // namespace dogwoodlatch

int main(int argc, char** argv) {
  return static_cast<int>(dogwoodlatch::Main(argc, argv));
}
