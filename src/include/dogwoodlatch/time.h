/// Time types of the decision library. Its functions take the time as an
/// argument and never read a clock.
#pragma once

#include <chrono>

namespace dogwoodlatch {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The current monotonic time, for daemons only; decision code takes the time
/// as an argument.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/// The current wall-clock time, for daemons only.
inline WallTime WallNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

}  // namespace dogwoodlatch
