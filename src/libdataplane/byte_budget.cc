#include "dogwoodlatch/dataplane/byte_budget.h"

#include <algorithm>

namespace dogwoodlatch::dataplane {

size_t ByteReservation::Counted(size_t bytes) const {
  return bytes - std::min(bytes, budget_.uncounted_);
}

bool ByteReservation::Resize(size_t bytes, size_t limit) {
  const size_t used_by_others = budget_.used_ - Counted(held_);
  const size_t used = used_by_others + Counted(bytes);
  const bool exceeds_budget =
      Counted(bytes) > Counted(held_) && used > budget_.capacity_;
  if (bytes > held_ && (bytes > limit || exceeds_budget)) return false;
  budget_.used_ = used;
  held_ = bytes;
  return true;
}

void ByteReservation::Record(size_t bytes) {
  budget_.used_ = budget_.used_ - Counted(held_) + Counted(bytes);
  held_ = bytes;
}

void ByteReservation::Release() {
  budget_.used_ -= Counted(held_);
  held_ = 0;
}

}  // namespace dogwoodlatch::dataplane
