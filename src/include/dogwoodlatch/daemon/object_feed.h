/// Follows the objects of one kind in the platform's store: a list, then
/// watches from its revision.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/time.h"
#include "platform/objects.h"

namespace dogwoodlatch::daemon {

struct FeedOptions {
  platform::ObjectKind kind = platform::ObjectKind::kConfiguration;
  std::string store_address;
  std::chrono::milliseconds wait{1000};          ///< of one watch
  std::chrono::milliseconds longest_pause{500};  ///< between failed calls
  /// After a change, so that several come with one call.
  std::chrono::milliseconds gather{0};
  /// Lists that may be stale at this period take the place of watches.
  std::optional<std::chrono::milliseconds> poll_period;
};

struct FeedHandlers {
  /// The whole list; `sent` is when its first call was sent.
  std::function<void(const std::vector<platform::StoredObject>&,
                     TimePoint sent)>
      on_list;
  /// What a watch brought, maybe nothing.
  std::function<void(const std::vector<platform::StoredObject>&,
                     TimePoint sent)>
      on_changes;
  std::function<void(const std::string& reason)> on_failure;
};

class ObjectFeed {
 public:
  ObjectFeed(asio::io_context& context, FeedOptions options,
             FeedHandlers handlers);

  void Start();

  /// Ends a pause: the store has answered somebody else.
  void Hurry();

 private:
  void ListFrom(std::string_view after);
  void Watch();
  void FollowUp(bool has_changed);
  void Pause(std::chrono::milliseconds pause);
  void OnListed(Result<dataplane::CallResponse> answer);
  void OnWatched(Result<dataplane::CallResponse> answer);
  void Retry(const std::string& reason);
  void Continue();

  FeedOptions options_;
  FeedHandlers handlers_;
  dataplane::HttpClient caller_;
  asio::steady_timer pause_timer_;
  std::minstd_rand random_;
  std::chrono::milliseconds pause_;
  bool is_pausing_ = false;
  bool has_list_ = false;
  uint64_t revision_ = 0;       ///< watches continue from here
  uint64_t list_revision_ = 0;  ///< of the list's first page
  TimePoint list_sent_{};
  TimePoint call_sent_{};
  std::vector<platform::StoredObject> listed_;
};

}  // namespace dogwoodlatch::daemon
