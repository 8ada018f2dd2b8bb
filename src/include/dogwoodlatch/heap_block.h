/// What blocks of the heap occupy, for limits on memory.
#pragma once

#include <unistd.h>

#include <cstddef>

namespace dogwoodlatch {

/// What the allocator adds to a small block at most: its size and rounding.
inline constexpr size_t kBlockOverhead = 32;

/// The allocator maps blocks of this size, or of a higher threshold, on their
/// own and rounds them up to whole pages.
inline constexpr size_t kLeastMappedBytes = 128UL * 1024;

/// Upper limit of what a block for `size` bytes occupies.
inline size_t BlockBytes(size_t size) {
  if (size == 0) return 0;
  static const auto page_bytes = static_cast<size_t>(sysconf(_SC_PAGESIZE));
  const bool may_be_mapped = size + kBlockOverhead >= kLeastMappedBytes;
  return size + kBlockOverhead + (may_be_mapped ? page_bytes : 0);
}

}  // namespace dogwoodlatch
