/// Limits the retries of all routers together in every window of time to a
/// share of the requests and a number beyond it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// Why a request is sent once more, the most urgent first.
enum class RetryPurpose {
  kResume,  ///< the caller has part of the answer and its run has ended
  kRerun,   ///< a run has failed or is lost, the caller has nothing yet
  kResend,  ///< a target has refused the request without running it
  kMove,    ///< a target that has the request is silent
};

constexpr size_t kRetryPurposes = 4;

std::string_view ToString(RetryPurpose purpose);

struct RetryWindowLimits {
  double share = 0.2;  ///< retries for each first attempt
  double extra = 0;    ///< retries of all routers beyond that share
  Duration window = std::chrono::seconds(10);
};

/// How many routers share a number of retries. A part that grows at once would
/// be spent twice: by the router that had it, and by those that take it over.
/// So the largest number that was known lately counts for most of it. The rest
/// is for routers that have just started.
class RouterCount {
 public:
  /// Numbers count for `memory`; `initial` counts as known at `now`.
  RouterCount(Duration memory, size_t initial, TimePoint now);

  /// `routers` share the retries now; it is at least 1.
  void Update(size_t routers, TimePoint now);

  /// The share of this router.
  double Part(TimePoint now) const;

  /// The largest number that was in force within the memory.
  size_t Most(TimePoint now) const;

 private:
  struct Slot {
    int64_t number = -1;
    size_t most = 0;
  };

  Duration slot_width_;
  std::vector<Slot> slots_;
  size_t last_;
  int64_t last_slot_;
};

/// What a window holds.
struct RetryCounts {
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  double left = 0;  ///< retries that may still be made now, for any purpose
};

/// One router's retries at one service. In every window of time they are at
/// most `share` of the first attempts, averaged over this window and the one
/// before it, and the router's part of the extra ones. The averages of all
/// routers add up to no more than what all of them were asked in one of the two
/// windows. Less urgent purposes leave a reserve to the others. Not
/// thread-safe; memory and time for each call are constant.
class RetryWindow {
 public:
  explicit RetryWindow(RetryWindowLimits limits);

  /// Counts the first attempt of a request.
  void OnFirstAttempt(TimePoint now);

  /// Takes one retry; false if none is left for this purpose. `part` of the
  /// extra retries are this router's.
  bool Withdraw(RetryPurpose purpose, double part, TimePoint now);

  /// Keeps one of the retries that are left from others, for the way back of a
  /// request that has moved.
  void Hold() { ++held_; }

  /// The retry that was held is not needed any more.
  void Release() { --held_; }

  /// Takes the retry that was held; false if none is left, as this router's
  /// part has shrunk.
  bool WithdrawHeld(double part, TimePoint now);

  /// Replaces the share and the extra retries; the window's length stays.
  void SetLimits(const RetryWindowLimits& limits);

  RetryCounts Counts(double part, TimePoint now) const;

 private:
  struct Slot {
    int64_t number = -1;
    uint32_t first_attempts = 0;
    uint32_t retries = 0;
  };

  Slot& Current(TimePoint now);
  Slot At(int64_t number) const;
  double Left(double usable_share, double part, TimePoint now) const;

  RetryWindowLimits limits_;
  Duration slot_width_;
  std::vector<Slot> slots_;  ///< two windows
  int held_ = 0;
};

}  // namespace dogwoodlatch
