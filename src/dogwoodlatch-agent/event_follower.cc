#include "event_follower.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/util/address.h"

namespace dogwoodlatch::agent {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kLongPollTimeout{200};
constexpr std::chrono::milliseconds kResponseTimeout{1000};
constexpr std::chrono::milliseconds kRetryInterval{50};

struct CacheEventBatch {
  CacheEpoch epoch;
  std::vector<CacheNotice> notices;
};

std::optional<CacheEventBatch> ParseCacheEvents(const std::string& text) {
  // nlohmann::json reports a wrong field type only by an exception.
  try {
    const Json json = ParseJson(text);
    CacheEventBatch batch;
    json.at("boot_id").get_to(batch.epoch.boot_id);
    json.at("weights_version").get_to(batch.epoch.weights_version);
    for (const Json& event : json.at("events")) {
      const int kind = event.at("kind").get<int>();
      if (kind < 0 || kind > static_cast<int>(CacheChange::kCleared)) {
        return std::nullopt;
      }
      batch.notices.push_back({event.at("sequence").get<uint64_t>(),
                               static_cast<CacheChange>(kind),
                               event.at("blocks"), event.at("request_id")});
    }
    return batch;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void EventFollower::Start() {
  thread_ = std::thread([this] { Follow(); });
}

void EventFollower::Stop() {
  // A silent target would hold the thread until the read timeout.
  poll_.Cancel(BreakCause::kCancelled);
  if (thread_.joinable()) thread_.join();
}

void EventFollower::Follow() {
  while (!poll_.is_cancelled()) {
    if (!Poll()) std::this_thread::sleep_for(kRetryInterval);
  }
}

bool EventFollower::Poll() {
  const Address address = ParseAddress(settings_.target_address);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kResponseTimeout);
  client.set_read_timeout(kLongPollTimeout + kResponseTimeout);
  poll_.Attach([&client] { client.stop(); });
  const auto response =
      poll_.is_cancelled()
          ? httplib::Result(nullptr, httplib::Error::Canceled)
          : client.Get(
                "/engine/cache_events?after=" + std::to_string(last_sequence_) +
                "&wait_ms=" + std::to_string(kLongPollTimeout.count()));
  poll_.Detach();
  if (!response || response->status != 200) return false;
  const std::optional<CacheEventBatch> batch = ParseCacheEvents(response->body);
  if (!batch) return false;
  // A restarted engine numbers its events from the start. Its first response
  // was requested with a number from before the restart and may lack the first
  // events, so it is discarded.
  const bool is_same_boot_id = batch->epoch.boot_id == boot_id_;
  boot_id_ = batch->epoch.boot_id;
  if (!is_same_boot_id && last_sequence_ > 0) {
    last_sequence_ = 0;
    return true;
  }
  if (!batch->notices.empty()) {
    last_sequence_ = batch->notices.back().sequence;
  }
  on_notices_(batch->epoch, batch->notices);
  return true;
}

}  // namespace dogwoodlatch::agent
