#include "dogwoodlatch/serving/request_mix.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch::serving {
namespace {

// The mix is that of this period and the one before.
constexpr Duration kPeriod = std::chrono::seconds(2);

// More classes than a configuration has routes are not kept.
constexpr size_t kMaxClasses = 64;

// A class is considered if it is at least this share of the requests.
constexpr double kMinShare = 0.05;

// Prompts are much shorter if their prefill takes at most this share.
constexpr double kShortShare = 0.5;

constexpr double kGain = 0.1;

}  // namespace

void RequestMix::Advance(TimePoint now) {
  if (now - period_began_ < kPeriod) return;
  const bool is_next = now - period_began_ < 2 * kPeriod;
  period_began_ = now;
  for (auto& [key, entry] : classes_) {
    entry.count_before = is_next ? std::exchange(entry.count, 0) : 0;
    entry.count = 0;
  }
  std::erase_if(classes_, [](const auto& entry) {
    return entry.second.count_before == 0;
  });
}

void RequestMix::OnRequest(int priority, Duration max_queue_wait,
                           Duration prefill, TimePoint now) {
  Advance(now);
  const std::pair key(priority, max_queue_wait);
  if (classes_.size() >= kMaxClasses && !classes_.contains(key)) return;
  Class& entry = classes_[key];
  const auto us = static_cast<double>(prefill.count());
  if (entry.count + entry.count_before == 0) entry.prefill_us = us;
  entry.prefill_us += kGain * (us - entry.prefill_us);
  ++entry.count;
}

std::optional<Duration> RequestMix::Room(int priority, Duration prefill,
                                         TimePoint now) const {
  if (now - period_began_ >= 2 * kPeriod) return std::nullopt;
  double total = 0;
  for (const auto& [key, entry] : classes_) {
    total += entry.count + entry.count_before;
  }
  std::optional<Duration> room;
  for (const auto& [key, entry] : classes_) {
    const auto& [class_priority, max_queue_wait] = key;
    const bool is_later = class_priority == priority;
    const bool is_short =
        entry.prefill_us <= kShortShare * static_cast<double>(prefill.count());
    const bool is_frequent =
        entry.count + entry.count_before >= kMinShare * total;
    if (!is_later || !is_short || !is_frequent) continue;
    room = std::min(room.value_or(max_queue_wait), max_queue_wait);
  }
  return room;
}

}  // namespace dogwoodlatch::serving
