// dogwoodlatch-router: accepts callers' requests and routes them to the agents
// that run next to the targets.

#include <cerrno>
#include <cstring>
#include <string>

#include "agent_links.h"
#include "dogwoodlatch/util/log.h"
#include "dogwoodlatch/util/program.h"
#include "http_frontend.h"
#include "router_settings.h"

namespace dogwoodlatch::router {
namespace {

OpsHandlers MakeOpsHandlers(const RouterSettings& settings,
                            const PlatformSync& sync,
                            const HttpFrontend& frontend,
                            CrashGuard& crash_guard) {
  OpsHandlers handlers;
  handlers.is_ready = [&] {
    return sync.is_ready() && !frontend.is_draining();
  };
  handlers.metrics = [&frontend] { return frontend.Metrics(); };
  handlers.commands["/quarantine"] = [&](const nlohmann::json& body) {
    return crash_guard.OnPeerMessage(body);
  };
  handlers.snapshot = [&sync] { return sync.Snapshot(); };
  handlers.status = [&settings, &sync, &frontend, &crash_guard] {
    nlohmann::json status = sync.Status();
    status.update(frontend.Status());
    status["id"] = settings.id;
    status["role"] = "router";
    status["quarantine"] = crash_guard.Status();
    return status;
  };
  return handlers;
}

ExitCode Serve(const RouterSettings& settings) {
  InitLogging(settings.id, Severity::kInfo);
  PlatformSync sync(settings.platform);
  AgentLinks links(settings.id, settings.connect_timeout);
  CrashGuard crash_guard(settings, sync);
  HttpFrontend frontend(settings, sync, links, crash_guard);
  OpsServer ops(settings.ops_address,
                MakeOpsHandlers(settings, sync, frontend, crash_guard));
  if (!frontend.Start() || !ops.Start()) {
    const std::string fault = std::strerror(errno);
    LogEvent(EventId::kListenFailed, {{"caller", settings.caller_address},
                                      {"ops", settings.ops_address},
                                      {"fault", fault}});
    return ExitCode::kFailed;
  }
  sync.Start();
  crash_guard.Start();
  LogEvent(EventId::kStarted, {{"address", settings.caller_address}});
  WaitForStopSignal();
  LogEvent(EventId::kStopping, {});
  frontend.DrainAndStop();
  sync.Stop();
  crash_guard.Stop();
  links.Stop();
  LogEvent(EventId::kStopped, {});
  return ExitCode::kOk;
}

}  // namespace
}  // namespace dogwoodlatch::router

int main(int argc, char** argv) {
  using namespace dogwoodlatch;  // NOLINT(google-build-using-namespace)
  BlockStopSignals();
  ExitCode exit_code = ExitCode::kOk;
  const auto document = ReadDaemonSettings(
      argc, argv, "dogwoodlatch-router", "Routes callers' requests to targets.",
      router::RouterSchema(), exit_code);
  if (!document) return static_cast<int>(exit_code);
  return static_cast<int>(
      router::Serve(router::ParseRouterSettings(*document)));
}
