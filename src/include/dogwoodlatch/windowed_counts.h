/// Counts over a sliding window that advances in steps of one bucket.
#pragma once

#include <cstdint>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// Good requests and all requests.
struct SloCounts {
  uint64_t good = 0;
  uint64_t total = 0;

  bool operator==(const SloCounts&) const = default;
  SloCounts& operator+=(const SloCounts& other);
  uint64_t bad() const { return total - good; }
};

/// A ring of buckets aligned to multiples of the bucket width, so that two
/// windows of the same width agree on which samples have expired.
class WindowedCounts {
 public:
  WindowedCounts(Duration bucket_width, size_t bucket_count);

  /// Counts one request; `now` must not decrease between calls.
  void Add(TimePoint now, bool good);

  SloCounts Sum(TimePoint now) const;

  /// The buckets of the window, oldest first.
  std::vector<SloCounts> History(TimePoint now) const;

 private:
  struct Bucket {
    int64_t number = -1;
    SloCounts counts;
  };

  Duration bucket_width_;
  std::vector<Bucket> buckets_;
};

/// The index of the bucket that contains `now`, counted from the clock's epoch.
int64_t BucketNumber(TimePoint now, Duration bucket_width);

}  // namespace dogwoodlatch
