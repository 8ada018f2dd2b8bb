// dogwoodlatch-router: takes callers' requests and routes them to the agents
// beside the targets.

#include <iostream>

#include "agent_links.h"
#include "dogwoodlatch/util/log.h"
#include "dogwoodlatch/util/program.h"
#include "http_front.h"
#include "router_settings.h"

namespace dogwoodlatch::router {
namespace {

OpsHandlers MakeOpsHandlers(const PlatformSync& sync, const HttpFront& front) {
  OpsHandlers handlers;
  handlers.is_ready = [&sync] { return sync.is_ready(); };
  handlers.metrics = [&front] { return front.Metrics(); };
  handlers.status = [&sync] { return sync.Status(); };
  handlers.snapshot = [&sync] { return sync.Snapshot(); };
  return handlers;
}

ExitCode Serve(const RouterSettings& settings) {
  InitLogging(settings.id, Severity::kInfo);
  PlatformSync sync(settings.platform);
  AgentLinks links(settings.id, settings.connect_timeout);
  HttpFront front(settings, sync, links);
  OpsServer ops(settings.ops_address, MakeOpsHandlers(sync, front));
  if (!front.Start() || !ops.Start()) {
    LogEvent(EventId::kListenFailed, {{"caller", settings.caller_address},
                                      {"ops", settings.ops_address}});
    return ExitCode::kFailed;
  }
  sync.Start();
  LogEvent(EventId::kStarted, {{"address", settings.caller_address}});
  WaitForStopSignal();
  LogEvent(EventId::kStopping, {});
  front.DrainAndStop();
  sync.Stop();
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
