/// Time points on the virtual clock of tests.
#pragma once

#include <cstdint>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

inline TimePoint At(Duration since_start) { return TimePoint(since_start); }

/// The time point `ms` milliseconds after the start.
inline TimePoint At(int64_t ms) { return At(std::chrono::milliseconds(ms)); }

}  // namespace dogwoodlatch
