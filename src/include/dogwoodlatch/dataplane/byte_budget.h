/// Bounds the memory of messages that are buffered whole, per message and for
/// all connections together.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace dogwoodlatch::dataplane {

/// Size up to which a message does not count against its budget. Almost all
/// messages of sound peers are smaller, and so do not depend on what endless
/// messages of others have taken.
constexpr size_t kSmallMessageBytes = 4UL * 1024;

/// Empties `text` and frees its memory, which neither clear() nor the
/// assignment of an empty string does in libstdc++.
inline void FreeMemory(std::string& text) { std::string().swap(text); }

/// Bytes that all messages in progress may occupy together, besides the first
/// `uncounted` bytes of each.
class ByteBudget {
 public:
  explicit ByteBudget(size_t capacity, size_t uncounted = 0)
      : capacity_(capacity), uncounted_(uncounted) {}

  void SetCapacity(size_t capacity) { capacity_ = capacity; }
  size_t used() const { return used_; }

 private:
  friend class ByteReservation;

  size_t capacity_;
  size_t uncounted_;
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
  bool Grow(size_t bytes, size_t limit) { return Resize(held_ + bytes, limit); }

  /// Changes the size of the message. Returns false, and changes nothing, if it
  /// grows beyond `limit` or the budget's capacity.
  bool Resize(size_t bytes, size_t limit);

  /// Changes the size of a message that is held already, whatever the capacity.
  void Record(size_t bytes);

  /// Bytes by which a change to this size would add to the budget.
  size_t Growth(size_t bytes) const {
    return Counted(std::max(bytes, held_)) - Counted(held_);
  }

  /// Bytes that count against the budget.
  size_t counted() const { return Counted(held_); }

  void Release();

 private:
  size_t Counted(size_t bytes) const;

  ByteBudget& budget_;
  size_t held_ = 0;
};

}  // namespace dogwoodlatch::dataplane
