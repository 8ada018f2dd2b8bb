#include "agent_settings.h"

#include <array>

namespace dogwoodlatch::agent {
namespace {

constexpr std::array kSchema = {
    KeySpec{"id", ValueType::kString, "characters", 1, 64, "",
            "Name of this process."},
    KeySpec{"router_address", ValueType::kString, "characters", 3, 64, "",
            "ip:port that routers reach."},
    KeySpec{"ops_address", ValueType::kString, "characters", 3, 64, "",
            "ip:port of health, metrics and status."},
    KeySpec{"target", ValueType::kObject, "", 0, 0, "",
            "Target served by this agent."},
    KeySpec{"target.kind", ValueType::kString, "characters", 6, 7, "\"engine\"",
            "engine or service."},
    KeySpec{
        "target.id", ValueType::kString, "characters", 0, 64, "\"\"",
        "Id of the target in the VM list; without it non-idempotent calls are "
        "not run."},
    KeySpec{"target.address", ValueType::kString, "characters", 3, 64, "",
            "ip:port of the target."},
    KeySpec{"target.health_interval_ms", ValueType::kInteger, "ms", 10, 60000,
            "100", "Time between health checks."},
    KeySpec{"target.timeout_ms", ValueType::kInteger, "ms", 10, 3600000,
            "60000",
            "Longest wait for the next bytes of the target's response."},
    KeySpec{
        "platform", ValueType::kObject, "", 0, 0, "{}",
        "Platform service, which stores the claims of non-idempotent calls."},
    KeySpec{"platform.address", ValueType::kString, "characters", 0, 64, "\"\"",
            "ip:port of the platform; without it non-idempotent calls are not "
            "run."},
    KeySpec{
        "platform.timeout_ms", ValueType::kInteger, "ms", 10, 60000, "1000",
        "Timeout of one call, applied separately to connecting, writing and "
        "reading."},
    KeySpec{"limits", ValueType::kObject, "", 0, 0, "{}",
            "Limits of running and queued requests."},
    KeySpec{"limits.max_running", ValueType::kInteger, "requests", 1, 4096,
            "64",
            "Most requests admitted at the same time, queued or running."},
    KeySpec{"limits.max_queued_tokens", ValueType::kInteger, "tokens", 1,
            1000000000, "2000000", "Most prompt tokens queued for the engine."},
    KeySpec{"limits.max_engine_tokens", ValueType::kInteger, "tokens", 1,
            1000000000, "16384",
            "Prompt tokens sent to the engine and not yet prefilled, at which "
            "further requests stay queued."},
    KeySpec{"drain_timeout_ms", ValueType::kInteger, "ms", 0, 600000, "30000",
            "Longest wait for running requests in a graceful shutdown."},
    KeySpec{"handover_after_ms", ValueType::kInteger, "ms", 0, 600000, "20000",
            "Time after the start of a shutdown at which idempotent runs are "
            "handed over to other targets."},
};

}  // namespace

std::span<const KeySpec> AgentSchema() { return kSchema; }

AgentSettings ParseAgentSettings(const nlohmann::json& document) {
  AgentSettings settings;
  settings.id = document["id"];
  settings.router_address = document["router_address"];
  settings.ops_address = document["ops_address"];
  const auto& target = document["target"];
  settings.target_kind =
      target["kind"] == "engine" ? RequestKind::kChat : RequestKind::kService;
  settings.target_id.value = target["id"];
  settings.platform = {document["platform"]["address"],
                       GetMilliseconds(document["platform"]["timeout_ms"])};
  settings.target_address = target["address"];
  settings.health_interval = GetMilliseconds(target["health_interval_ms"]);
  settings.target_timeout = GetMilliseconds(target["timeout_ms"]);
  settings.limits.max_running = document["limits"]["max_running"];
  settings.admission.max_queued_tokens =
      document["limits"]["max_queued_tokens"];
  settings.admission.max_engine_tokens =
      document["limits"]["max_engine_tokens"];
  settings.drain_timeout = GetMilliseconds(document["drain_timeout_ms"]);
  settings.handover_after = GetMilliseconds(document["handover_after_ms"]);
  return settings;
}

}  // namespace dogwoodlatch::agent
