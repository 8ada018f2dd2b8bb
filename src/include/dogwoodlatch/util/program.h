/// What every daemon's main function shares: command line, settings file, stop
/// signals, operations port.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/schema.h"

namespace dogwoodlatch {

/// Exit codes of every program; the man pages list them.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kBadUsage = 2,
  kBadSettings = 3,
  kConflict = 4,
  kUnavailable = 5
};

/// Reads `--help`, `--version`, `--config FILE` and `--check-config`. Returns
/// the settings with defaults when the daemon is to start, and otherwise sets
/// `exit_code` after printing what was asked for or what is wrong.
std::optional<nlohmann::json> ReadDaemonSettings(
    int argc, const char* const* argv, std::string_view program,
    std::string_view summary, std::span<const KeySpec> schema,
    ExitCode& exit_code);

/// Options of a listening socket: an address that another process listens on
/// cannot be bound, which the HTTP library's default allows.
void SetExclusiveBind(int sock);

/// Blocks SIGTERM and SIGINT in this thread and all that it starts; call it
/// first.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// Answers of the operations port.
struct OpsHandlers {
  std::function<bool()> is_ready;
  std::function<std::string()> metrics;  ///< text, a line a figure
  std::function<nlohmann::json()>
      status;  ///< what operators see of this process
  std::function<nlohmann::json()> snapshot = [] {
    return nlohmann::json();
  };  ///< for a peer that starts
  std::map<std::string, std::function<bool(const nlohmann::json&)>>
      commands;  ///< POSTed JSON by path; false when it is not understood
};

/// Serves /healthz, /readyz, /metrics, /status, /snapshot and the commands on
/// a port of its own.
class OpsServer {
 public:
  OpsServer(std::string_view address, OpsHandlers handlers);
  ~OpsServer();
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;

  /// False when the address cannot be bound.
  bool Start();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodlatch
