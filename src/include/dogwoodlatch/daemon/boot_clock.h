/// A clock that also runs while the VM is suspended.
#pragma once

#include <ctime>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

/// The time since the VM's start, suspension included. Only spans between two
/// of its points have a meaning.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace dogwoodlatch::daemon
