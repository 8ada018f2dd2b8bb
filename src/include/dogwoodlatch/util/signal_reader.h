/// Reads signals in the event loop. Unlike asio::signal_set, signals that keep
/// arriving cannot hold up other handlers.
#pragma once

#include <csignal>

// clang-format off
// Before asio.hpp, which chooses its allocation functions by the standard
// library's macros.
#include <cstdint>

#include <asio.hpp>
// clang-format on
#include <array>
#include <functional>
#include <vector>

#include "dogwoodlatch/error.h"

namespace dogwoodlatch {

/// A process has one at a time. A signal that has arrived is ignored until the
/// loop handles it, so that several of one number count as one.
class SignalReader {
 public:
  /// Begins to receive the signals, which Start then handles.
  SignalReader(asio::io_context& loop, std::vector<int> numbers);

  /// From here on the signals are ignored, so that none ends the process while
  /// it cleans up.
  ~SignalReader();
  SignalReader(const SignalReader&) = delete;
  SignalReader& operator=(const SignalReader&) = delete;

  /// Calls `handler` in the loop with the number of each signal that arrives,
  /// or has arrived; several of one turn in the order of the constructor's
  /// list. Fails if the constructor could not open a pipe.
  Result<void> Start(std::function<void(int)> handler);

 private:
  void AwaitSignals();
  void HandlePending();

  asio::readable_pipe wakeups_;
  asio::writable_pipe waker_;
  std::error_code open_error_;
  std::vector<int> numbers_;
  std::function<void(int)> handler_;
  std::array<char, 64> input_{};
};

}  // namespace dogwoodlatch
