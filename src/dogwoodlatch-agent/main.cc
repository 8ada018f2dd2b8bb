// dogwoodlatch-agent: runs next to one target, admits orders from routers and
// runs them at the target.

#include <cerrno>
#include <cstring>
#include <string>

#include "agent.h"
#include "agent_settings.h"
#include "dogwoodlatch/util/log.h"
#include "dogwoodlatch/util/program.h"

namespace dogwoodlatch::agent {
namespace {

ExitCode Serve(const AgentSettings& settings) {
  InitLogging(settings.id, Severity::kInfo);
  Agent agent(settings);
  OpsHandlers handlers;
  handlers.is_ready = [&agent] { return agent.is_ready(); };
  handlers.metrics = [&agent] { return agent.Metrics(); };
  handlers.status = [&agent] { return agent.Status(); };
  // Makes the agent refuse orders before its VM is removed from the VM list,
  // since routers receive a new list with a delay.
  handlers.commands["/drain"] = [&agent](const nlohmann::json&) {
    agent.StartDraining();
    return true;
  };
  OpsServer ops(settings.ops_address, handlers);
  if (!agent.Start() || !ops.Start()) {
    const std::string fault = std::strerror(errno);
    LogEvent(EventId::kListenFailed, {{"router", settings.router_address},
                                      {"ops", settings.ops_address},
                                      {"fault", fault}});
    return ExitCode::kFailed;
  }
  LogEvent(EventId::kStarted, {{"address", settings.router_address}});
  WaitForStopSignal();
  LogEvent(EventId::kStopping, {});
  agent.Drain();
  LogEvent(EventId::kStopped, {});
  return ExitCode::kOk;
}

}  // namespace
}  // namespace dogwoodlatch::agent

int main(int argc, char** argv) {
  using namespace dogwoodlatch;  // NOLINT(google-build-using-namespace)
  BlockStopSignals();
  ExitCode exit_code = ExitCode::kOk;
  const auto document = ReadDaemonSettings(
      argc, argv, "dogwoodlatch-agent", "Runs routers' orders at one target.",
      agent::AgentSchema(), exit_code);
  if (!document) return static_cast<int>(exit_code);
  return static_cast<int>(agent::Serve(agent::ParseAgentSettings(*document)));
}
