/// Code shared by the main functions of all daemons: command line, settings
/// file, stop signals, operations port.
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

/// Exit codes of all programs; the man pages document them.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kBadUsage = 2,
  kBadSettings = 3,
  kConflict = 4,
  kUnavailable = 5,
  kCheckErrors = 6,   ///< a checked configuration has errors
  kCheckWarnings = 7  ///< it has warnings and no errors
};

/// Handles `--help`, `--version`, `--config FILE` and `--check-config`. Returns
/// the settings, completed with defaults, when the daemon is to start.
/// Otherwise prints the requested text or the error and sets `exit_code`.
std::optional<nlohmann::json> ReadDaemonSettings(
    int argc, const char* const* argv, std::string_view program,
    std::string_view summary, std::span<const KeySpec> schema,
    ExitCode& exit_code);

/// Sets the options of a listening socket so that binding an address that
/// another process listens on fails; the HTTP library's defaults allow it.
void SetExclusiveBind(int sock);

/// Blocks SIGTERM and SIGINT in this thread and in the threads it starts later,
/// and ignores SIGPIPE. Call it before any thread is started.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// Handlers for the requests to the operations port.
struct OpsHandlers {
  std::function<bool()> is_ready;
  std::function<std::string()> metrics;    ///< text, one value per line
  std::function<nlohmann::json()> status;  ///< process status for operators
  std::function<nlohmann::json()> snapshot = [] {
    return nlohmann::json();
  };  ///< state for a peer that is starting
  std::map<std::string, std::function<bool(const nlohmann::json&)>>
      commands;  ///< handlers of POSTed JSON by path; each returns false
                 ///< when the JSON is invalid
};

/// Serves /healthz, /readyz, /metrics, /status, /snapshot and the commands on a
/// separate port.
class OpsServer {
 public:
  OpsServer(std::string_view address, OpsHandlers handlers);
  ~OpsServer();
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;

  /// Returns false when the address cannot be bound.
  bool Start();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodlatch
