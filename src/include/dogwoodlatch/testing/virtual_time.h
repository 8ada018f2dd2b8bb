/// Instants of virtual time for tests.
#pragma once

#include <cstdint>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

inline TimePoint At(Duration since_start) { return TimePoint(since_start); }

/// In milliseconds.
inline TimePoint At(int64_t ms) { return At(std::chrono::milliseconds(ms)); }

}  // namespace dogwoodlatch
