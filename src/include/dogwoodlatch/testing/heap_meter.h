/// Counts what a test program allocates. Replaces the global allocation
/// functions: to be included in one source of a program.
#pragma once

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace dogwoodlatch::testing {

/// Bytes of all blocks, as the allocator rounds them.
inline size_t live_bytes = 0;
inline size_t peak_bytes = 0;

/// What has been allocated since the meter was made.
class HeapMeter {
 public:
  HeapMeter() : before_(live_bytes) { peak_bytes = live_bytes; }

  size_t held() const { return live_bytes - before_; }
  /// The most at any time; of the newest meter only.
  size_t peak() const { return peak_bytes - before_; }

 private:
  size_t before_;
};

inline void* Record(void* block) {
  if (block != nullptr) live_bytes += malloc_usable_size(block);
  peak_bytes = std::max(peak_bytes, live_bytes);
  return block;
}

}  // namespace dogwoodlatch::testing

void* operator new(size_t size) {
  void* const block = dogwoodlatch::testing::Record(std::malloc(size));
  if (block == nullptr) throw std::bad_alloc();
  return block;
}

// The test library allocates some of its objects by this form. The sanitizers
// take a block of their own for a mismatch when it is freed below.
void* operator new(size_t size, const std::nothrow_t& /*tag*/) noexcept {
  return dogwoodlatch::testing::Record(std::malloc(size));
}

void operator delete(void* block) noexcept {
  dogwoodlatch::testing::live_bytes -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, size_t /*size*/) noexcept {
  ::operator delete(block);
}
