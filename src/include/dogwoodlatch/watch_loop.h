/// Decides when a daemon calls the platform and which call it makes: list, then
/// watch from the list's revision, with back-off, a rate limit and a random
/// start delay; in between, histories of single objects.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

struct WatchLoopOptions {
  /// Longest random delay of the first call.
  Duration start_spread = std::chrono::milliseconds(500);
  Duration first_retry_pause = std::chrono::milliseconds(200);
  Duration longest_retry_pause = std::chrono::seconds(3);
  Duration watch_wait = std::chrono::seconds(5);  ///< longest wait of one watch
  /// Follow each list with a watch that returns at once.
  bool confirm_lists = true;
  double calls_per_second = 2;
  double call_burst = 4;
};

/// Token bucket: limits the call rate and allows bursts of up to `burst` calls.
class CallRateLimiter {
 public:
  CallRateLimiter(double calls_per_second, double burst, TimePoint now);

  /// The time from which the next call is allowed.
  TimePoint NextAllowedAt(TimePoint now) const;
  /// Counts one call.
  void Consume(TimePoint now);

 private:
  double TokensAt(TimePoint now) const;

  double calls_per_second_;
  double burst_;
  double tokens_;
  TimePoint updated_;
};

/// One call to the platform.
struct WatchCall {
  enum class Kind { kList, kWatch, kHistory };

  Kind kind = Kind::kList;
  uint64_t revision = 0;  ///< of kWatch: report later changes
  Duration wait{0};       ///< of kWatch: maximum wait; 0 after a list
  std::string path;       ///< of kHistory
};

/// One call is outstanding at a time: TakeCall returns it, and exactly one of
/// OnList, OnWatch, OnHistory and OnFailure ends it.
class WatchLoop {
 public:
  WatchLoop(WatchLoopOptions options, std::mt19937_64 random, TimePoint now);

  /// The time from which TakeCall returns a call.
  TimePoint next_call_at() const { return next_call_at_; }

  /// The call to make now; nullopt before next_call_at() or while a call is
  /// outstanding.
  std::optional<WatchCall> TakeCall(TimePoint now);

  void OnList(uint64_t revision, TimePoint now);
  void OnWatch(uint64_t revision, TimePoint now);
  void OnHistory(TimePoint now);
  void OnFailure(ErrorCode code, TimePoint now);

  /// Schedules a read of the object's history, not before `not_before`.
  void RequestHistory(const std::string& path, TimePoint not_before);

  /// Consecutive failures; 0 while the platform answers.
  int failures() const { return failures_; }

 private:
  WatchCall NextCall(TimePoint now);
  void Schedule(Duration pause, TimePoint now);
  Duration NextPause();

  WatchLoopOptions options_;
  std::mt19937_64 random_;
  CallRateLimiter rate_limiter_;
  std::optional<uint64_t> watch_revision_;
  std::map<std::string, TimePoint> history_requests_;  ///< path to not_before
  bool confirms_list_ = false;  ///< the next watch follows a list
  bool call_pending_ = false;
  int failures_ = 0;
  TimePoint next_call_at_;
};

}  // namespace dogwoodlatch
