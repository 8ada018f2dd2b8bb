#include "dogwoodlatch/windowed_counts.h"

#include <numeric>

namespace dogwoodlatch {

SloCounts& SloCounts::operator+=(const SloCounts& other) {
  good += other.good;
  total += other.total;
  return *this;
}

int64_t BucketNumber(TimePoint now, Duration bucket_width) {
  return now.time_since_epoch() / bucket_width;
}

WindowedCounts::WindowedCounts(Duration bucket_width, size_t bucket_count)
    : bucket_width_(bucket_width), buckets_(bucket_count) {}

void WindowedCounts::Add(TimePoint now, bool good) {
  const int64_t number = BucketNumber(now, bucket_width_);
  Bucket& bucket = buckets_[static_cast<size_t>(number) % buckets_.size()];
  if (bucket.number != number) bucket = {number, {}};
  bucket.counts += {good ? 1U : 0U, 1};
}

SloCounts WindowedCounts::Sum(TimePoint now) const {
  const std::vector<SloCounts> history = History(now);
  return std::accumulate(history.begin(), history.end(), SloCounts{},
                         [](SloCounts sum, const SloCounts& counts) {
                           sum += counts;
                           return sum;
                         });
}

std::vector<SloCounts> WindowedCounts::History(TimePoint now) const {
  const int64_t newest = BucketNumber(now, bucket_width_);
  const auto size = static_cast<int64_t>(buckets_.size());
  std::vector<SloCounts> history(buckets_.size());
  for (const Bucket& bucket : buckets_) {
    const int64_t age = newest - bucket.number;
    if (bucket.number < 0 || age < 0 || age >= size) continue;
    history[static_cast<size_t>(size - 1 - age)] = bucket.counts;
  }
  return history;
}

}  // namespace dogwoodlatch
