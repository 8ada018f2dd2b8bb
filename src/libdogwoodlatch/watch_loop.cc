#include "dogwoodlatch/watch_loop.h"

#include <algorithm>

namespace dogwoodlatch {
namespace {

using Seconds = std::chrono::duration<double>;

// Keeps the shift in NextPause within its type.
constexpr int kMaxDoublings = 16;

Duration Uniform(Duration low, Duration high, std::mt19937_64& random) {
  std::uniform_int_distribution<int64_t> pick(low.count(), high.count());
  return Duration(pick(random));
}

}  // namespace

CallRateLimiter::CallRateLimiter(double calls_per_second, double burst,
                                 TimePoint now)
    : calls_per_second_(calls_per_second),
      burst_(burst),
      tokens_(burst),
      updated_(now) {}

TimePoint CallRateLimiter::NextAllowedAt(TimePoint now) const {
  const double missing_tokens = 1 - TokensAt(now);
  if (missing_tokens <= 0) return now;
  return now + std::chrono::ceil<Duration>(
                   Seconds(missing_tokens / calls_per_second_));
}

void CallRateLimiter::Consume(TimePoint now) {
  tokens_ = TokensAt(now) - 1;
  updated_ = now;
}

double CallRateLimiter::TokensAt(TimePoint now) const {
  const double earned = Seconds(now - updated_).count() * calls_per_second_;
  return std::min(burst_, tokens_ + earned);
}

WatchLoop::WatchLoop(WatchLoopOptions options, std::mt19937_64 random,
                     TimePoint now)
    : options_(options),
      random_(random),
      rate_limiter_(options.calls_per_second, options.call_burst, now),
      next_call_at_(now + Uniform(Duration(0), options.start_spread, random_)) {
}

std::optional<WatchCall> WatchLoop::TakeCall(TimePoint now) {
  if (call_pending_ || now < next_call_at_) return std::nullopt;
  call_pending_ = true;
  rate_limiter_.Consume(now);
  return NextCall(now);
}

WatchCall WatchLoop::NextCall(TimePoint now) {
  if (!watch_revision_) return {WatchCall::Kind::kList, 0, Duration(0), ""};
  WatchCall watch{WatchCall::Kind::kWatch, *watch_revision_,
                  options_.watch_wait, ""};
  if (confirms_list_) watch.wait = Duration(0);
  const auto first = std::ranges::min_element(
      history_requests_, {}, [](const auto& entry) { return entry.second; });
  if (first == history_requests_.end()) return watch;
  if (first->second > now) {
    watch.wait = std::min(watch.wait, first->second - now);
    return watch;
  }
  WatchCall history{WatchCall::Kind::kHistory, 0, Duration(0), first->first};
  history_requests_.erase(first);
  return history;
}

// A list may also lower the revision: after a restore the platform counts on
// from its older revision, and a watch from a later one would always expire.
// ObjectReplica guards the versions of objects.
void WatchLoop::OnList(uint64_t revision, TimePoint now) {
  watch_revision_ = revision;
  confirms_list_ = options_.confirm_lists;
  failures_ = 0;
  Schedule(Duration(0), now);
}

void WatchLoop::OnWatch(uint64_t revision, TimePoint now) {
  watch_revision_ = std::max(watch_revision_.value_or(0), revision);
  confirms_list_ = false;
  failures_ = 0;
  Schedule(Duration(0), now);
}

void WatchLoop::OnHistory(TimePoint now) {
  failures_ = 0;
  Schedule(Duration(0), now);
}

void WatchLoop::RequestHistory(const std::string& path, TimePoint not_before) {
  history_requests_.emplace(path, not_before);
}

void WatchLoop::OnFailure(ErrorCode code, TimePoint now) {
  // Changes made while the platform was unreachable may be gone from its change
  // log, so every failure leads to a list.
  watch_revision_.reset();
  // kExpired is an answer, so it does not count as a failure.
  if (code == ErrorCode::kExpired) {
    failures_ = 0;
    return Schedule(Duration(0), now);
  }
  ++failures_;
  Schedule(NextPause(), now);
}

void WatchLoop::Schedule(Duration pause, TimePoint now) {
  call_pending_ = false;
  next_call_at_ = std::max(now + pause, rate_limiter_.NextAllowedAt(now));
}

Duration WatchLoop::NextPause() {
  const int doublings = std::min(failures_ - 1, kMaxDoublings);
  const Duration pause =
      std::min(options_.first_retry_pause * (int64_t{1} << doublings),
               options_.longest_retry_pause);
  return Uniform(pause / 2, pause, random_);
}

}  // namespace dogwoodlatch
