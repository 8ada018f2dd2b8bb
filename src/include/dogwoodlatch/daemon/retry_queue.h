/// Delays the retries of requests whose connections broke.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

/// Targets that crash together break their connections within some
/// milliseconds. Retries wait until these breaks have been read, so that none
/// is sent to a target that has crashed as well.
class RetryQueue {
 public:
  explicit RetryQueue(asio::io_context& context);

  /// Calls `retry` once nothing has been added for kQuietTime, but no later
  /// than kMaxWait after the first one, and once everything that could be read
  /// by then has been read.
  void Add(std::function<void()> retry);

  static constexpr std::chrono::milliseconds kQuietTime{3};
  static constexpr std::chrono::milliseconds kMaxWait{8};

 private:
  /// Calls `next` after the event loop has read what is readable now.
  void AfterTurn(std::function<void()> next);
  void RunAll();

  asio::io_context& io_;
  asio::steady_timer timer_;
  TimePoint latest_{};  ///< by when the waiting ones are called
  std::vector<std::function<void()>> retries_;
};

}  // namespace dogwoodlatch::daemon
