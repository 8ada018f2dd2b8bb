/// Counts over a sliding window that forgets in steps of one bucket.
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
/// windows of one width agree on which samples are too old.
class WindowedCounts {
 public:
  WindowedCounts(Duration bucket_width, size_t bucket_count);

  /// Counts one request; `now` never falls.
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

/// The number of the bucket that holds `now`.
int64_t BucketNumber(TimePoint now, Duration bucket_width);

}  // namespace dogwoodlatch
