/// A clock that also runs while the VM is suspended.
#pragma once

#include <ctime>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

/// Time since the VM was booted, including time while it was suspended. Only
/// differences between two values are meaningful.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace dogwoodlatch::daemon
