#include "dogwoodlatch/daemon/object_feed.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/util/event_loop.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using dataplane::Call;

constexpr std::chrono::milliseconds kListTimeout{1500};

// Timeout of a list on demand, whose proof is worth less the later it comes.
constexpr std::chrono::milliseconds kDemandedListTimeout{800};

// The HTTP timeout of a watch exceeds its wait by this margin, as a store that
// usually answers within 4 ms may become slower by a factor of 60.
constexpr std::chrono::milliseconds kWatchTimeoutMargin{700};

// Wait of the first watch after a failed call. It is answered at once, and so
// shows when the store has returned.
constexpr std::chrono::milliseconds kProbeWait{1};

constexpr std::chrono::milliseconds kInitialRetryPause{100};

// Spreads the lists of all processes after the store was restored.
constexpr std::chrono::milliseconds kMaxRelistPause{200};

// A page holds about 500 objects or 1 MB, and an object 1 MB at most.
constexpr size_t kMaxPageBytes = 4UL * 1024 * 1024;

constexpr int kStatusGone = 410;
constexpr int kStatusOk = 200;

}  // namespace

ObjectFeed::ObjectFeed(asio::io_context& context, FeedOptions options,
                       FeedHandlers handlers)
    : options_(std::move(options)),
      handlers_(std::move(handlers)),
      client_(context, options_.store_address),
      pause_timer_(context),
      random_(std::random_device{}()),
      retry_pause_(kInitialRetryPause),
      listed_(options_.max_held_bytes) {}

void ObjectFeed::Start() {
  if (!options_.is_on_demand) StartList();
}

bool ObjectFeed::ListNow() {
  if (is_listing_) return false;
  StartList();
  return true;
}

void ObjectFeed::RetryNow() {
  if (!is_pausing_) return;
  pause_timer_.cancel();
  retry_pause_ = kInitialRetryPause;
  Continue();
}

void ObjectFeed::Probe() {
  const bool is_watching = has_list_ && !is_listing_ && !is_pausing_;
  if (!is_watching || options_.is_on_demand) return;
  has_failed_ = true;
  client_.Cancel();
  Watch();
}

void ObjectFeed::Relist() {
  client_.Cancel();
  is_listing_ = false;
  if (options_.is_on_demand) return;
  pause_timer_.cancel();
  has_list_ = false;
  std::uniform_int_distribution<int64_t> spread(1, kMaxRelistPause.count());
  Pause(std::chrono::milliseconds(spread(random_)));
}

bool ObjectFeed::CheckEra(const dataplane::CallResponse& response) {
  const auto era = platform::DecodeStoreEra(response.headers);
  if (!era || !handlers_.on_era) return true;
  const serving::EraVerdict verdict = handlers_.on_era(*era);
  if (verdict == serving::EraVerdict::kOutdated) {
    Retry("answer of an earlier era");
    return false;
  }
  if (std::exchange(era_, era).value_or(*era) == *era) return true;
  // The answer continues a list or a watch of the earlier era.
  Relist();
  return false;
}

void ObjectFeed::Continue() {
  is_pausing_ = false;
  if (has_list_) {
    Watch();
  } else {
    StartList();
  }
}

void ObjectFeed::StartList() {
  listed_ = platform::ObjectCollector(options_.max_held_bytes);
  cursor_ = {};
  list_revision_ = 0;
  list_sent_ = BootNow();
  RequestPage();
}

void ObjectFeed::RequestPage() {
  is_listing_ = true;
  call_sent_ = BootNow();
  call_due_ = call_sent_;
  if (handlers_.on_call) handlers_.on_call();
  Call call = Call::Get(
      platform::ListPath(options_.kind, cursor_.after(),
                         options_.poll_period
                             ? platform::ReadConsistency::kSerializable
                             : platform::ReadConsistency::kLinearizable),
      options_.is_on_demand ? kDemandedListTimeout : kListTimeout);
  call.max_body_bytes = kMaxPageBytes;
  client_.Start(std::move(call),
                [this](Result<dataplane::CallResponse> response) {
                  OnListed(std::move(response));
                });
}

void ObjectFeed::OnListed(Result<dataplane::CallResponse> response) {
  is_listing_ = false;
  if (!response) {
    Retry(ToString(response.error()));
    return;
  }
  if (!CheckEra(response.value())) return;
  if (response.value().status != kStatusOk) {
    Retry("status " + std::to_string(response.value().status));
    return;
  }
  const auto page =
      platform::DecodeList(options_.kind, response.value().body, listed_);
  if (!page) {
    Retry(ToString(page.error()));
    return;
  }
  // The watch starts at the revision of the first page, so that it returns
  // changes made while the later pages were listed.
  if (list_revision_ == 0) list_revision_ = page.value().revision;
  if (page.value().has_more && cursor_.Advance(page.value())) {
    RequestPage();
    return;
  }
  // A handler may start the next list.
  const platform::ObjectCollector listed = std::exchange(
      listed_, platform::ObjectCollector(options_.max_held_bytes));
  ReportRefusals(listed.refusals());
  if (page.value().has_more) {
    OnListStuck(listed.objects());
    return;
  }
  RecordList();
  RunGuarded("list", [&] { handlers_.on_list(listed.objects(), list_sent_); });
  if (!options_.is_on_demand) ScheduleNext(false);
}

void ObjectFeed::ReportRefusals(const platform::ObjectRefusals& refusals) {
  if (refusals.total() == 0) return;
  for (const auto& [name, fault] : refusals.examples) {
    LogEvent(EventId::kBadObject, {{"object", name}, {"fault", fault}});
  }
  LogEvent(
      EventId::kObjectsRefused,
      {{"feed", std::string(ToString(options_.kind))},
       {"form", std::to_string(refusals.count(platform::RefusalCause::kForm))},
       {"size",
        std::to_string(refusals.count(platform::RefusalCause::kSize))}});
  if (handlers_.on_refused) handlers_.on_refused(refusals);
}

// To ask for the same page again would never end.
void ObjectFeed::OnListStuck(
    const std::vector<platform::StoredObject>& listed) {
  bool is_used = false;
  RunGuarded("list", [&] {
    is_used = handlers_.on_incomplete_list &&
              handlers_.on_incomplete_list(listed, list_sent_);
  });
  LogEvent(EventId::kListIncomplete,
           {{"feed", std::string(ToString(options_.kind))},
            {"objects", std::to_string(listed.size())},
            {"used", is_used ? "yes" : "no"}});
  if (!is_used) {
    Retry("the list cannot be continued");
    return;
  }
  RecordList();
  if (!options_.is_on_demand) ScheduleNext(false);
}

void ObjectFeed::RecordList() {
  retry_pause_ = kInitialRetryPause;
  has_failed_ = false;
  has_list_ = !options_.poll_period;
  revision_ = list_revision_;
}

void ObjectFeed::Watch() {
  call_sent_ = BootNow();
  if (handlers_.on_call) handlers_.on_call();
  const auto wait = has_failed_ ? kProbeWait : options_.wait;
  call_due_ = call_sent_ + wait;
  Call call = Call::Get(platform::WatchPath(options_.kind, revision_, wait),
                        wait + kWatchTimeoutMargin);
  call.max_body_bytes = kMaxPageBytes;
  client_.Start(std::move(call),
                [this](Result<dataplane::CallResponse> response) {
                  OnWatched(std::move(response));
                });
}

void ObjectFeed::OnWatched(Result<dataplane::CallResponse> response) {
  if (!response) {
    OnWatchFailed(response.error());
    return;
  }
  if (!CheckEra(response.value())) return;
  if (response.value().status == kStatusGone) {
    has_list_ = false;
    StartList();
    return;
  }
  if (response.value().status != kStatusOk) {
    Retry("status " + std::to_string(response.value().status));
    return;
  }
  platform::ObjectCollector changes(options_.max_held_bytes);
  const auto page =
      platform::DecodeChanges(options_.kind, response.value().body, changes);
  if (!page) {
    ListNext(ToString(page.error()));
    PauseBeforeRetry();
    return;
  }
  retry_pause_ = kInitialRetryPause;
  has_failed_ = false;
  // The revision only advances with changes. A store that has dropped its
  // history returns no changes for a while. As the feed keeps watching from its
  // old revision, the store answers 410 Gone, and the feed lists again.
  const bool has_changed = page.value().entries > 0;
  if (has_changed) revision_ = std::max(revision_, page.value().revision);
  ReportRefusals(changes.refusals());
  RunGuarded("changes",
             [&] { handlers_.on_changes(changes.objects(), call_sent_); });
  ScheduleNext(has_changed);
}

// To repeat the watch would bring the same changes and more. A list has each
// object once, however often it has changed.
void ObjectFeed::ListNext(const std::string& reason) {
  LogEvent(EventId::kChangesUnread,
           {{"feed", std::string(ToString(options_.kind))},
            {"after", std::to_string(revision_)},
            {"reason", reason}});
  has_list_ = false;
  if (handlers_.on_changes_unread) handlers_.on_changes_unread();
}

void ObjectFeed::OnWatchFailed(const Error& error) {
  const std::string reason = ToString(error);
  const bool is_too_long = error.code == ErrorCode::kTooLong;
  if (is_too_long || error.code == ErrorCode::kIncomplete) ListNext(reason);
  if (is_too_long) {
    PauseBeforeRetry();  // The store does answer.
  } else {
    Retry(reason);
  }
}

void RelistOthers(const std::vector<std::unique_ptr<ObjectFeed>>& feeds,
                  size_t index) {
  for (size_t i = 0; i < feeds.size(); ++i) {
    if (i != index) feeds[i]->Relist();
  }
}

void ObjectFeed::ScheduleNext(bool has_changed) {
  const auto pause = options_.poll_period.value_or(
      has_changed ? options_.coalesce_delay : std::chrono::milliseconds(0));
  if (pause.count() == 0) {
    Watch();
    return;
  }
  Pause(pause);
}

void ObjectFeed::Pause(std::chrono::milliseconds pause) {
  is_pausing_ = true;
  pause_timer_.expires_after(pause);
  pause_timer_.async_wait([this](std::error_code error) {
    if (!error && is_pausing_) Continue();
  });
}

// Pauses grow and are randomised, so that a store that recovers does not
// receive the calls of all processes at once.
void ObjectFeed::PauseBeforeRetry() {
  std::uniform_real_distribution<double> spread(0.6, 1.2);
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      retry_pause_ * spread(random_));
  retry_pause_ = std::min(retry_pause_ * 2, options_.max_retry_pause);
  Pause(pause);
}

void ObjectFeed::Retry(const std::string& reason) {
  has_failed_ = true;
  if (!options_.is_on_demand) PauseBeforeRetry();
  // The handler may probe: not this feed, which pauses already.
  handlers_.on_failure(reason, std::max(Duration{0}, BootNow() - call_due_));
}

}  // namespace dogwoodlatch::daemon
