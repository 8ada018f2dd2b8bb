#include "dogwoodlatch/daemon/object_feed.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"

namespace dogwoodlatch::daemon {
namespace {

constexpr std::chrono::milliseconds kListTimeout{1500};

// Added to a watch's own wait: the store may be slow by a factor of 60 at 4 ms
// an answer.
constexpr std::chrono::milliseconds kWatchSlack{700};

constexpr std::chrono::milliseconds kFirstPause{100};

constexpr int kGone = 410;
constexpr int kOk = 200;

}  // namespace

ObjectFeed::ObjectFeed(asio::io_context& context, FeedOptions options,
                       FeedHandlers handlers)
    : options_(std::move(options)),
      handlers_(std::move(handlers)),
      caller_(context, options_.store_address),
      pause_timer_(context),
      random_(std::random_device{}()),
      pause_(kFirstPause) {}

void ObjectFeed::Start() { ListFrom(""); }

void ObjectFeed::Hurry() {
  if (!is_pausing_) return;
  pause_timer_.cancel();
  pause_ = kFirstPause;
  Continue();
}

void ObjectFeed::Continue() {
  is_pausing_ = false;
  if (has_list_) {
    Watch();
  } else {
    ListFrom("");
  }
}

void ObjectFeed::ListFrom(std::string_view after) {
  call_sent_ = BootNow();
  if (after.empty()) {
    listed_.clear();
    list_sent_ = call_sent_;
    list_revision_ = 0;
  }
  caller_.Start(dataplane::Call::Get(
                    platform::ListPath(options_.kind, after,
                                       options_.poll_period
                                           ? platform::Currency::kMayBeStale
                                           : platform::Currency::kLinearizable),
                    kListTimeout),
                [this](Result<dataplane::CallResponse> answer) {
                  OnListed(std::move(answer));
                });
}

void ObjectFeed::OnListed(Result<dataplane::CallResponse> answer) {
  if (!answer) {
    Retry(ToString(answer.error()));
    return;
  }
  if (answer.value().status != kOk) {
    Retry("status " + std::to_string(answer.value().status));
    return;
  }
  Result<platform::ObjectPage> page = platform::DecodeList(answer.value().body);
  if (!page) {
    Retry(ToString(page.error()));
    return;
  }
  auto& objects = page.value().objects;
  // Changes made between two pages are watched for from the first page on.
  if (list_revision_ == 0) list_revision_ = page.value().revision;
  std::ranges::move(objects, std::back_inserter(listed_));
  if (page.value().has_more && !listed_.empty()) {
    ListFrom(listed_.back().name);
    return;
  }
  pause_ = kFirstPause;
  has_list_ = !options_.poll_period;
  revision_ = list_revision_;
  handlers_.on_list(std::exchange(listed_, {}), list_sent_);
  FollowUp(false);
}

void ObjectFeed::Watch() {
  call_sent_ = BootNow();
  caller_.Start(
      dataplane::Call::Get(
          platform::WatchPath(options_.kind, revision_, options_.wait),
          options_.wait + kWatchSlack),
      [this](Result<dataplane::CallResponse> answer) {
        OnWatched(std::move(answer));
      });
}

void ObjectFeed::OnWatched(Result<dataplane::CallResponse> answer) {
  if (!answer) {
    Retry(ToString(answer.error()));
    return;
  }
  if (answer.value().status == kGone) {
    has_list_ = false;
    ListFrom("");
    return;
  }
  if (answer.value().status != kOk) {
    Retry("status " + std::to_string(answer.value().status));
    return;
  }
  Result<platform::ObjectPage> page =
      platform::DecodeChanges(answer.value().body);
  if (!page) {
    Retry(ToString(page.error()));
    return;
  }
  pause_ = kFirstPause;
  // The position moves with changes only: a store that drops its history tells
  // watchers nothing for a while, and an older position makes it say so.
  const auto& changes = page.value().objects;
  if (!changes.empty()) {
    revision_ = std::max(revision_, page.value().revision);
  }
  handlers_.on_changes(changes, call_sent_);
  FollowUp(!changes.empty());
}

void ObjectFeed::FollowUp(bool has_changed) {
  const auto pause = options_.poll_period.value_or(
      has_changed ? options_.gather : std::chrono::milliseconds(0));
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

// Pauses grow and differ between processes, so a store that returns does not
// meet all of them at once.
void ObjectFeed::Retry(const std::string& reason) {
  handlers_.on_failure(reason);
  std::uniform_real_distribution<double> spread(0.6, 1.2);
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      pause_ * spread(random_));
  pause_ = std::min(pause_ * 2, options_.longest_pause);
  Pause(pause);
}

}  // namespace dogwoodlatch::daemon
