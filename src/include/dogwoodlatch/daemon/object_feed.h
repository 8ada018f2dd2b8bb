/// Follows the objects of one kind in the platform's object store: lists them,
/// then watches for changes after the list's revision.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dogwoodlatch/dataplane/http_client.h"
#include "dogwoodlatch/serving/store_era.h"
#include "dogwoodlatch/time.h"
#include "platform/objects.h"

namespace dogwoodlatch::daemon {

struct FeedOptions {
  platform::ObjectKind kind = platform::ObjectKind::kConfiguration;
  std::string store_address;
  std::chrono::milliseconds wait{1000};  ///< long-poll time of one watch
  std::chrono::milliseconds max_retry_pause{500};  ///< after failed calls
  /// Delay before the next watch after a change, so that several changes come
  /// with one call.
  std::chrono::milliseconds coalesce_delay{0};
  /// When set, the feed polls lists at this period instead of watching. Such
  /// lists may be stale.
  std::optional<std::chrono::milliseconds> poll_period;
  /// When set, the feed makes one linearizable list for each ListNow and
  /// nothing else.
  bool is_on_demand = false;
  /// Limit on the memory of the objects of a list, or of the answer of a watch,
  /// as decoded. Above it, the largest ones are refused.
  size_t max_held_bytes = 16UL * 1024 * 1024;
};

struct FeedHandlers {
  /// Receives a complete list; `sent` is when its first call was sent.
  std::function<void(const std::vector<platform::StoredObject>&,
                     TimePoint sent)>
      on_list;
  /// Receives what has been listed of a list that cannot be continued. Returns
  /// false, as an empty function does, if only a complete list is of use: the
  /// call has then failed.
  std::function<bool(const std::vector<platform::StoredObject>&,
                     TimePoint sent)>
      on_incomplete_list;
  /// Receives the changes of a watch, possibly none.
  std::function<void(const std::vector<platform::StoredObject>&,
                     TimePoint sent)>
      on_changes;
  /// Receives the objects of an answer that are not used, if there are any; may
  /// be empty.
  std::function<void(const platform::ObjectRefusals&)> on_refused;
  /// The changes of a watch cannot be read and are listed instead; may be
  /// empty.
  std::function<void()> on_changes_unread;
  /// A call has failed whose answer was due `overdue` ago.
  std::function<void(const std::string& reason, Duration overdue)> on_failure;
  std::function<void()> on_call;  ///< a call is sent; may be empty
  /// Judges the era of each answer, whatever its status.
  std::function<serving::EraVerdict(uint64_t era)> on_era;
};

class ObjectFeed {
 public:
  ObjectFeed(asio::io_context& context, FeedOptions options,
             FeedHandlers handlers);

  void Start();

  /// Starts a list unless one is in progress; returns whether it did. For feeds
  /// on demand.
  bool ListNow();

  /// Ends the pause between calls, for example because the store has answered
  /// another feed.
  void RetryNow();

  /// Replaces a watch that may be held for long by one that is answered at
  /// once, to learn whether and since when the store answers.
  void Probe();

  /// Lists again after a short random pause, because the store was restored
  /// from an older copy.
  void Relist();

 private:
  /// Handles the era of an answer. Returns false if the answer must not be
  /// used; the next call is then already scheduled.
  bool CheckEra(const dataplane::CallResponse& response);
  void StartList();
  void RequestPage();
  void Watch();
  void ScheduleNext(bool has_changed);
  void Pause(std::chrono::milliseconds pause);
  void OnListed(Result<dataplane::CallResponse> response);
  void RecordList();
  void OnListStuck(const std::vector<platform::StoredObject>& listed);
  void ReportRefusals(const platform::ObjectRefusals& refusals);
  void OnWatched(Result<dataplane::CallResponse> response);
  void OnWatchFailed(const Error& error);
  void ListNext(const std::string& reason);
  void PauseBeforeRetry();
  void Retry(const std::string& reason);
  void Continue();

  FeedOptions options_;
  FeedHandlers handlers_;
  dataplane::HttpClient client_;
  asio::steady_timer pause_timer_;
  std::minstd_rand random_;
  std::chrono::milliseconds retry_pause_;
  bool is_pausing_ = false;
  bool is_listing_ = false;
  bool has_list_ = false;        ///< the next call is a watch
  bool has_failed_ = false;      ///< the last call
  uint64_t revision_ = 0;        ///< the next watch starts here
  std::optional<uint64_t> era_;  ///< in which `revision_` is valid
  platform::ListCursor cursor_;  ///< in the list in progress
  uint64_t list_revision_ = 0;   ///< revision of the list's first page
  TimePoint list_sent_{};
  TimePoint call_sent_{};
  TimePoint call_due_{};              ///< when the answer is expected
  platform::ObjectCollector listed_;  ///< of the list in progress
};

/// Lets all feeds but the one at `index` list again. That one has received the
/// answer that shows the new era, and handles it itself.
void RelistOthers(const std::vector<std::unique_ptr<ObjectFeed>>& feeds,
                  size_t index);

}  // namespace dogwoodlatch::daemon
