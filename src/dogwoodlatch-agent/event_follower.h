// Polls the engine's cache events on a dedicated thread, using long polls.
#pragma once

#include <functional>
#include <thread>
#include <vector>

#include "agent_settings.h"
#include "dogwoodlatch/cache_index.h"
#include "target_client.h"

namespace dogwoodlatch::agent {

// Receives the events that the engine has published since the last call, and
// the cache epoch that they belong to.
using NoticeHandler =
    std::function<void(const CacheEpoch&, const std::vector<CacheNotice>&)>;

class EventFollower {
 public:
  EventFollower(const AgentSettings& settings, NoticeHandler on_notices)
      : settings_(settings), on_notices_(std::move(on_notices)) {}
  ~EventFollower() { Stop(); }
  EventFollower(const EventFollower&) = delete;
  EventFollower& operator=(const EventFollower&) = delete;

  void Start();
  void Stop();

 private:
  void Follow();
  // Makes one poll. Returns false if the engine gave no valid response.
  bool Poll();

  const AgentSettings& settings_;
  NoticeHandler on_notices_;
  std::string boot_id_;
  uint64_t last_sequence_ = 0;
  Cancellation poll_;
  std::thread thread_;
};

}  // namespace dogwoodlatch::agent
