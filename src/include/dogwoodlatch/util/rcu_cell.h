/// Read-copy-update: readers get the current immutable value without blocking,
/// writers publish a new one.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace dogwoodlatch {

template <typename T>
class RcuCell {
 public:
  RcuCell() : value_(std::make_shared<const T>()) {}

  /// Returns the current value, which stays valid while the caller holds the
  /// pointer.
  std::shared_ptr<const T> Read() const { return std::atomic_load(&value_); }

  /// Replaces the value that later reads return.
  void Publish(T value) {
    std::atomic_store(&value_, std::make_shared<const T>(std::move(value)));
  }

 private:
  std::shared_ptr<const T> value_;
};

}  // namespace dogwoodlatch
