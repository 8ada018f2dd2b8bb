#include "router_settings.h"

#include <array>

namespace dogwoodlatch::router {
namespace {

using std::chrono::seconds;

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
            "200", "Pause after a first failed call; it doubles."},
    KeySpec{"platform.longest_pause_ms", ValueType::kInteger, "ms", 10, 60000,
            "3000", "Longest pause after failed calls."},
    KeySpec{"platform.start_spread_ms", ValueType::kInteger, "ms", 0, 60000,
            "500", "Time over which a herd's first calls are spread."},
    KeySpec{"platform.calls_per_second", ValueType::kNumber, "calls/s", 0.1,
            1000, "2.0", "Rate limit of each of two watches' calls."},
    KeySpec{"peer_timeout_ms", ValueType::kInteger, "ms", 10, 10000, "300",
            "Longest wait for one peer's snapshot."},
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
    KeySpec{"peers", ValueType::kArray, "elements", 0, 1000, "[]",
            "Operations addresses of the other routers, told of quarantines "
            "and asked for their snapshot at the start."},
    KeySpec{"peers[]", ValueType::kString, "characters", 3, 64, "",
            "ip:port of one router's operations."},
    KeySpec{"retry", ValueType::kObject, "", 0, 0, "{}",
            "Retries of idempotent requests."},
    KeySpec{"retry.max_attempts", ValueType::kInteger, "attempts", 1, 16, "4",
            "Failed attempts after which a request is given up."},
    KeySpec{"retry.first_part_timeout_ms", ValueType::kInteger, "ms", 100,
            3600000, "20000", "Longest wait for the first part of an answer."},
    KeySpec{"retry.part_timeout_ms", ValueType::kInteger, "ms", 50, 600000,
            "5000", "Longest wait between two parts of an answer."},
    KeySpec{"retry.budget_share", ValueType::kNumber, "", 0, 1, "0.2",
            "Retries allowed for each request."},
    KeySpec{"retry.budget_per_second", ValueType::kNumber, "retries/s", 0,
            10000, "10.0", "Retries allowed without any traffic."},
    KeySpec{"retry.budget_burst", ValueType::kNumber, "retries", 1, 100000,
            "100.0", "Retries that may be saved up."},
    KeySpec{"quarantine", ValueType::kObject, "", 0, 0, "{}",
            "Requests that crash targets."},
    KeySpec{"quarantine.suspect_seconds", ValueType::kInteger, "s", 1, 86400,
            "300", "Time for which a suspect of a crash runs alone."},
    KeySpec{"quarantine.seconds", ValueType::kInteger, "s", 1, 604800, "1800",
            "Time for which a request that crashes targets is refused."},
};

void ParseOutcomeSettings(const nlohmann::json& document,
                          RouterSettings& settings) {
  const auto& retry = document["retry"];
  settings.retry.max_attempts = retry["max_attempts"];
  settings.retry.first_part_timeout =
      GetMilliseconds(retry["first_part_timeout_ms"]);
  settings.retry.part_timeout = GetMilliseconds(retry["part_timeout_ms"]);
  settings.retry_budget.share = retry["budget_share"];
  settings.retry_budget.per_second = retry["budget_per_second"];
  settings.retry_budget.max_saved = retry["budget_burst"];
  const auto& quarantine = document["quarantine"];
  settings.quarantine.suspect_for =
      seconds(quarantine["suspect_seconds"].get<int64_t>());
  settings.quarantine.quarantine_for =
      seconds(quarantine["seconds"].get<int64_t>());
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
                                GetMilliseconds(platform["timeout_ms"])};
  WatchLoopOptions& loop = settings.platform.loop;
  loop.watch_wait = GetMilliseconds(platform["watch_wait_ms"]);
  loop.first_retry_pause = GetMilliseconds(platform["retry_pause_ms"]);
  loop.longest_retry_pause = GetMilliseconds(platform["longest_pause_ms"]);
  loop.start_spread = GetMilliseconds(platform["start_spread_ms"]);
  loop.calls_per_second = platform["calls_per_second"];
  settings.platform.peers = document["peers"];
  settings.platform.peer_timeout = GetMilliseconds(document["peer_timeout_ms"]);
  const auto& limits = document["limits"];
  settings.door.max_connections = limits["threads"];
  settings.door.max_body_bytes = limits["max_body_bytes"];
  settings.door.read_timeout = GetMilliseconds(limits["read_timeout_ms"]);
  settings.door.request_timeout = GetMilliseconds(limits["request_timeout_ms"]);
  settings.door.write_timeout = GetMilliseconds(limits["write_timeout_ms"]);
  settings.door.idle_timeout = GetMilliseconds(limits["idle_timeout_ms"]);
  const auto& routing = document["routing"];
  settings.probe_timeout = GetMilliseconds(routing["probe_timeout_ms"]);
  settings.connect_timeout = GetMilliseconds(routing["connect_timeout_ms"]);
  settings.max_candidates = routing["max_candidates"];
  settings.drain_timeout = GetMilliseconds(document["drain_timeout_ms"]);
  settings.peers = document["peers"].get<std::vector<std::string>>();
  ParseOutcomeSettings(document, settings);
  return settings;
}

}  // namespace dogwoodlatch::router
