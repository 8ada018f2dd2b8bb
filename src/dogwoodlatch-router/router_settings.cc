#include "router_settings.h"

#include <array>

namespace dogwoodlatch::router {
namespace {

using std::chrono::milliseconds;

constexpr std::array kSchema = {
    KeySpec{"id", ValueType::kString, "characters", 1, 64, "",
            "Name of this process."},
    KeySpec{"failure_domain", ValueType::kString, "characters", 0, 64, "\"\"",
            "Failure domain of this VM."},
    KeySpec{"caller_address", ValueType::kString, "characters", 3, 64, "",
            "ip:port that callers reach."},
    KeySpec{"ops_address", ValueType::kString, "characters", 3, 64, "",
            "ip:port of health, metrics and status."},
    KeySpec{"platform", ValueType::kObject, "", 0, 0, "",
            "The platform's service."},
    KeySpec{"platform.address", ValueType::kString, "characters", 3, 64, "",
            "ip:port of the platform."},
    KeySpec{"platform.timeout_ms", ValueType::kInteger, "ms", 10, 60000, "1000",
            "Longest wait for one answer."},
    KeySpec{"platform.watch_wait_ms", ValueType::kInteger, "ms", 100, 60000,
            "5000", "Longest time one watch waits."},
    KeySpec{"platform.retry_pause_ms", ValueType::kInteger, "ms", 10, 60000,
            "500", "Pause after a failed call."},
    KeySpec{"limits", ValueType::kObject, "", 0, 0, "{}",
            "Limits at the door."},
    KeySpec{"limits.threads", ValueType::kInteger, "threads", 4, 4096, "256",
            "Connections served at once."},
    KeySpec{"limits.max_body_bytes", ValueType::kInteger, "bytes", 1024,
            67108864, "4194304", "Largest request body."},
    KeySpec{"limits.read_timeout_ms", ValueType::kInteger, "ms", 10, 60000,
            "5000", "Longest wait between two parts of a request."},
    KeySpec{"limits.request_timeout_ms", ValueType::kInteger, "ms", 10, 600000,
            "20000", "Longest time from a request's first byte to its last."},
    KeySpec{"limits.write_timeout_ms", ValueType::kInteger, "ms", 10, 60000,
            "5000", "Longest wait for a caller that does not read."},
    KeySpec{"limits.idle_timeout_ms", ValueType::kInteger, "ms", 1000, 600000,
            "15000", "Idle connection's life."},
    KeySpec{"routing", ValueType::kObject, "", 0, 0, "{}",
            "Choice of targets."},
    KeySpec{"routing.probe_timeout_ms", ValueType::kInteger, "ms", 1, 1000, "5",
            "Longest wait for a silent candidate."},
    KeySpec{"routing.connect_timeout_ms", ValueType::kInteger, "ms", 10, 10000,
            "500", "Longest wait for a connection."},
    KeySpec{"routing.max_candidates", ValueType::kInteger, "targets", 1, 64,
            "4", "Targets probed for one request."},
    KeySpec{"drain_timeout_ms", ValueType::kInteger, "ms", 0, 600000, "30000",
            "Longest graceful shutdown."},
};

milliseconds Millis(const nlohmann::json& value) {
  return milliseconds(value.get<int64_t>());
}

}  // namespace

std::span<const KeySpec> RouterSchema() { return kSchema; }

RouterSettings ParseRouterSettings(const nlohmann::json& document) {
  RouterSettings settings;
  settings.id = document["id"];
  settings.failure_domain = document["failure_domain"];
  settings.caller_address = document["caller_address"];
  settings.ops_address = document["ops_address"];
  const auto& platform = document["platform"];
  settings.platform.platform = {platform["address"],
                                Millis(platform["timeout_ms"])};
  settings.platform.watch_wait = Millis(platform["watch_wait_ms"]);
  settings.platform.retry_pause = Millis(platform["retry_pause_ms"]);
  const auto& limits = document["limits"];
  settings.door.max_connections = limits["threads"];
  settings.door.max_body_bytes = limits["max_body_bytes"];
  settings.door.read_timeout = Millis(limits["read_timeout_ms"]);
  settings.door.request_timeout = Millis(limits["request_timeout_ms"]);
  settings.door.write_timeout = Millis(limits["write_timeout_ms"]);
  settings.door.idle_timeout = Millis(limits["idle_timeout_ms"]);
  const auto& routing = document["routing"];
  settings.probe_timeout = Millis(routing["probe_timeout_ms"]);
  settings.connect_timeout = Millis(routing["connect_timeout_ms"]);
  settings.max_candidates = routing["max_candidates"];
  settings.drain_timeout = Millis(document["drain_timeout_ms"]);
  return settings;
}

}  // namespace dogwoodlatch::router
