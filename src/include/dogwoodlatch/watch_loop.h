/// When a daemon calls the platform, and for what: list, then watch from the
/// list's revision, with back-off, a call budget and a spread start; between
/// them, histories of single objects.
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
  Duration start_spread = std::chrono::milliseconds(500);
  Duration first_retry_pause = std::chrono::milliseconds(200);
  Duration longest_retry_pause = std::chrono::seconds(3);
  Duration watch_wait = std::chrono::seconds(5);  ///< longest time of a watch
  bool confirm_lists = true;  ///< follow a list with a watch that does not wait
  double calls_per_second = 2;
  double call_burst = 4;
};

/// A bounded rate: a full bucket allows a burst.
class CallRateLimiter {
 public:
  CallRateLimiter(double calls_per_second, double burst, TimePoint now);

  /// When the next call may be made.
  TimePoint NextAllowedAt(TimePoint now) const;
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
  uint64_t revision = 0;  ///< of kWatch: report what came after it
  Duration wait{0};       ///< of kWatch: longest wait for a change; 0 after
                          ///< a list
  std::string path;       ///< of kHistory
};

/// One call is out at a time: TakeCall gives it, and exactly one of OnList,
/// OnWatch, OnHistory and OnFailure ends it.
class WatchLoop {
 public:
  WatchLoop(WatchLoopOptions options, std::mt19937_64 random, TimePoint now);

  /// The time from which TakeCall gives a call.
  TimePoint next_call_at() const { return next_call_at_; }

  /// The call to make now; none before next_call_at or while one is out.
  std::optional<WatchCall> TakeCall(TimePoint now);

  void OnList(uint64_t revision, TimePoint now);
  void OnWatch(uint64_t revision, TimePoint now);
  void OnHistory(TimePoint now);
  void OnFailure(ErrorCode code, TimePoint now);

  /// Asks for the history of an object, from `not_before` on.
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
  std::map<std::string, TimePoint>
      history_requests_;        ///< asked for, with not_before
  bool confirms_list_ = false;  ///< the next watch follows a list
  bool call_pending_ = false;
  int failures_ = 0;
  TimePoint next_call_at_;
};

}  // namespace dogwoodlatch
