#include "event_follower.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "dogwoodlatch/util/address.h"

namespace dogwoodlatch::agent {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kLongestWait{200};
constexpr std::chrono::milliseconds kAnswerTimeout{1000};
constexpr std::chrono::milliseconds kRetryInterval{50};

struct Published {
  CacheEpoch life;
  std::vector<CacheNotice> notices;
};

std::optional<Published> ParsePublished(const std::string& text) {
  // The library reports wrong field types by exception only.
  try {
    const Json json = Json::parse(text);
    Published published;
    json.at("boot_id").get_to(published.life.boot_id);
    json.at("weights_version").get_to(published.life.weights_version);
    for (const Json& event : json.at("events")) {
      const int kind = event.at("kind").get<int>();
      if (kind < 0 || kind > static_cast<int>(CacheChange::kCleared)) {
        return std::nullopt;
      }
      published.notices.push_back({event.at("sequence").get<uint64_t>(),
                                   static_cast<CacheChange>(kind),
                                   event.at("blocks"), event.at("request_id")});
    }
    return published;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void EventFollower::Start() {
  thread_ = std::thread([this] { Follow(); });
}

void EventFollower::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void EventFollower::Follow() {
  while (!stopping_) {
    if (!Poll()) std::this_thread::sleep_for(kRetryInterval);
  }
}

bool EventFollower::Poll() {
  const Address address = ParseAddress(settings_.target_address);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kAnswerTimeout);
  client.set_read_timeout(kLongestWait + kAnswerTimeout);
  const auto answer = client.Get(
      "/engine/cache_events?after=" + std::to_string(last_sequence_) +
      "&wait_ms=" + std::to_string(kLongestWait.count()));
  if (!answer || answer->status != 200) return false;
  const std::optional<Published> published = ParsePublished(answer->body);
  if (!published) return false;
  // A new engine life numbers its events anew; its first answer was asked for
  // with a number of the old life and may lack the beginning.
  const bool is_same_boot = published->life.boot_id == boot_id_;
  boot_id_ = published->life.boot_id;
  if (!is_same_boot && last_sequence_ > 0) {
    last_sequence_ = 0;
    return true;
  }
  if (!published->notices.empty()) {
    last_sequence_ = published->notices.back().sequence;
  }
  on_notices_(published->life, published->notices);
  return true;
}

}  // namespace dogwoodlatch::agent
