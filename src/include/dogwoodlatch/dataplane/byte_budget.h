/// Bounds the memory of messages that are buffered whole, per message and for
/// all connections together.
#pragma once

#include <cstddef>

namespace dogwoodlatch::dataplane {

/// Bytes that all messages in progress may occupy together.
class ByteBudget {
 public:
  explicit ByteBudget(size_t capacity) : capacity_(capacity) {}

  void SetCapacity(size_t capacity) { capacity_ = capacity; }
  size_t used() const { return used_; }

 private:
  friend class ByteReservation;

  size_t capacity_;
  size_t used_ = 0;
};

/// The bytes of one message. They return to the budget, which must outlive the
/// reservation, when it ends.
class ByteReservation {
 public:
  explicit ByteReservation(ByteBudget& budget) : budget_(budget) {}
  ~ByteReservation() { Release(); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// Adds `bytes`. Returns false, and adds nothing, if the message would exceed
  /// `limit` or the budget its capacity.
  bool Grow(size_t bytes, size_t limit);

  void Release();

 private:
  ByteBudget& budget_;
  size_t held_ = 0;
};

}  // namespace dogwoodlatch::dataplane
