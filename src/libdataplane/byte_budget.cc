#include "dogwoodlatch/dataplane/byte_budget.h"

namespace dogwoodlatch::dataplane {

bool ByteReservation::Grow(size_t bytes, size_t limit) {
  const size_t free =
      budget_.capacity_ > budget_.used_ ? budget_.capacity_ - budget_.used_ : 0;
  if (bytes > free || held_ + bytes > limit) return false;
  held_ += bytes;
  budget_.used_ += bytes;
  return true;
}

void ByteReservation::Release() {
  budget_.used_ -= held_;
  held_ = 0;
}

}  // namespace dogwoodlatch::dataplane
