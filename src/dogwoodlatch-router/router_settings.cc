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
    KeySpec{"platform", ValueType::kObject, "", 0, 0, "", "Platform service."},
    KeySpec{"platform.address", ValueType::kString, "characters", 3, 64, "",
            "ip:port of the platform."},
    KeySpec{
        "platform.timeout_ms", ValueType::kInteger, "ms", 10, 60000, "1000",
        "Timeout of one call, applied separately to connecting, writing and "
        "reading; a watch call adds its wait to reading."},
    KeySpec{"platform.watch_wait_ms", ValueType::kInteger, "ms", 100, 60000,
            "5000", "Longest time the platform holds a watch call open."},
    KeySpec{"platform.retry_pause_ms", ValueType::kInteger, "ms", 10, 60000,
            "200",
            "Pause after the first failed call; doubles with each further "
            "failure."},
    KeySpec{"platform.longest_pause_ms", ValueType::kInteger, "ms", 10, 60000,
            "3000", "Upper limit of the pause after failed calls."},
    KeySpec{"platform.start_spread_ms", ValueType::kInteger, "ms", 0, 60000,
            "500",
            "Time over which processes that start together spread their first "
            "calls."},
    KeySpec{"platform.calls_per_second", ValueType::kNumber, "calls/s", 0.1,
            1000, "2.0", "Rate limit of the calls of each of the two watches."},
    KeySpec{"peer_timeout_ms", ValueType::kInteger, "ms", 10, 10000, "300",
            "Timeout for the snapshot of one peer."},
    KeySpec{"limits", ValueType::kObject, "", 0, 0, "{}",
            "Limits of callers' connections and requests."},
    KeySpec{"limits.threads", ValueType::kInteger, "threads", 4, 4096, "256",
            "Most connections served concurrently."},
    KeySpec{"limits.max_body_bytes", ValueType::kInteger, "bytes", 1024,
            67108864, "4194304", "Largest request body."},
    KeySpec{"limits.read_timeout_ms", ValueType::kInteger, "ms", 10, 60000,
            "5000", "Longest wait between two reads of a request."},
    KeySpec{"limits.request_timeout_ms", ValueType::kInteger, "ms", 10, 600000,
            "20000", "Longest time from a request's first byte to its last."},
    KeySpec{"limits.write_timeout_ms", ValueType::kInteger, "ms", 10, 60000,
            "5000",
            "Longest wait for a caller that does not read its response."},
    KeySpec{"limits.idle_timeout_ms", ValueType::kInteger, "ms", 1000, 600000,
            "15000", "Time after which an idle connection is closed."},
    KeySpec{"routing", ValueType::kObject, "", 0, 0, "{}",
            "Selection of targets."},
    KeySpec{"routing.probe_timeout_ms", ValueType::kInteger, "ms", 1, 1000, "5",
            "Longest wait for the other probe replies once one has arrived; "
            "counted from sending."},
    KeySpec{
        "routing.connect_timeout_ms", ValueType::kInteger, "ms", 10, 10000,
        "500",
        "Timeout for connecting to an agent and for the first probe reply."},
    KeySpec{
        "routing.max_candidates", ValueType::kInteger, "targets", 1, 64, "4",
        "Most targets probed each time a target is chosen for a request; does "
        "not apply to non-idempotent calls."},
    KeySpec{"drain_timeout_ms", ValueType::kInteger, "ms", 0, 600000, "30000",
            "Longest wait for requests in flight in a graceful shutdown."},
    KeySpec{
        "peers", ValueType::kArray, "elements", 0, 1000, "[]",
        "Operations addresses of the other routers, notified of quarantines "
        "and asked for their snapshot at startup."},
    KeySpec{"peers[]", ValueType::kString, "characters", 3, 64, "",
            "ip:port of one router's health, metrics and status."},
    KeySpec{"retry", ValueType::kObject, "", 0, 0, "{}",
            "Retries of idempotent requests."},
    KeySpec{"retry.max_attempts", ValueType::kInteger, "attempts", 1, 16, "4",
            "Failed attempts after which a request fails."},
    KeySpec{"retry.first_part_timeout_ms", ValueType::kInteger, "ms", 100,
            3600000, "20000", "Longest wait for the first part of an answer."},
    KeySpec{"retry.part_timeout_ms", ValueType::kInteger, "ms", 50, 600000,
            "5000", "Longest wait between two parts of an answer."},
    KeySpec{"retry.budget_share", ValueType::kNumber, "", 0, 1, "0.2",
            "Retries added to the budget by each request."},
    KeySpec{"retry.budget_per_second", ValueType::kNumber, "retries/s", 0,
            10000, "10.0",
            "Retries added to the budget per second regardless of traffic."},
    KeySpec{"retry.budget_burst", ValueType::kNumber, "retries", 1, 100000,
            "100.0", "Upper limit of the retry budget."},
    KeySpec{"quarantine", ValueType::kObject, "", 0, 0, "{}",
            "Quarantine of requests that crash targets."},
    KeySpec{"quarantine.suspect_seconds", ValueType::kInteger, "s", 1, 86400,
            "300", "Time for which a crash suspect runs alone."},
    KeySpec{"quarantine.seconds", ValueType::kInteger, "s", 1, 604800, "1800",
            "Time for which a request that crashes targets is rejected."},
};

void ParseRetryAndQuarantine(const nlohmann::json& document,
                             RouterSettings& settings) {
  const auto& retry = document["retry"];
  settings.retry.max_attempts = retry["max_attempts"];
  settings.retry.first_part_timeout =
      GetMilliseconds(retry["first_part_timeout_ms"]);
  settings.retry.part_timeout = GetMilliseconds(retry["part_timeout_ms"]);
  settings.retry_budget.share = retry["budget_share"];
  settings.retry_budget.per_second = retry["budget_per_second"];
  settings.retry_budget.max_burst = retry["budget_burst"];
  const auto& quarantine = document["quarantine"];
  settings.quarantine.suspect_duration =
      seconds(quarantine["suspect_seconds"].get<int64_t>());
  settings.quarantine.quarantine_duration =
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
  settings.caller_limits.max_connections = limits["threads"];
  settings.caller_limits.max_body_bytes = limits["max_body_bytes"];
  settings.caller_limits.read_timeout =
      GetMilliseconds(limits["read_timeout_ms"]);
  settings.caller_limits.request_timeout =
      GetMilliseconds(limits["request_timeout_ms"]);
  settings.caller_limits.write_timeout =
      GetMilliseconds(limits["write_timeout_ms"]);
  settings.caller_limits.idle_timeout =
      GetMilliseconds(limits["idle_timeout_ms"]);
  const auto& routing = document["routing"];
  settings.probe_timeout = GetMilliseconds(routing["probe_timeout_ms"]);
  settings.connect_timeout = GetMilliseconds(routing["connect_timeout_ms"]);
  settings.max_candidates = routing["max_candidates"];
  settings.drain_timeout = GetMilliseconds(document["drain_timeout_ms"]);
  settings.peers = document["peers"].get<std::vector<std::string>>();
  ParseRetryAndQuarantine(document, settings);
  return settings;
}

}  // namespace dogwoodlatch::router
