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
#include <functional>
#include <vector>

#include "dogwoodlatch/error.h"

namespace dogwoodlatch {

class SignalReader {
 public:
  /// Blocks the signals in this thread and in those that it starts later. They
  /// stay blocked when the reader has ended, so that none ends the process
  /// while it cleans up. Call it before any thread is started.
  SignalReader(asio::io_context& loop, std::vector<int> numbers);
  SignalReader(const SignalReader&) = delete;
  SignalReader& operator=(const SignalReader&) = delete;

  /// Calls `handler` with the number of each signal that has arrived since the
  /// last turn of the loop, also before this call. Signals of one number that
  /// arrive within a turn count as one.
  Result<void> Start(std::function<void(int)> handler);

 private:
  void AwaitSignals();
  void HandlePending();

  asio::posix::stream_descriptor descriptor_;
  std::vector<int> numbers_;
  std::function<void(int)> handler_;
};

}  // namespace dogwoodlatch
