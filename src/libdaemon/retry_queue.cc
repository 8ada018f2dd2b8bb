#include "dogwoodlatch/daemon/retry_queue.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch::daemon {

RetryQueue::RetryQueue(asio::io_context& context)
    : io_(context), timer_(context) {}

void RetryQueue::Add(std::function<void()> retry) {
  const TimePoint now = SteadyNow();
  if (retries_.empty()) latest_ = now + kMaxWait;
  retries_.push_back(std::move(retry));
  timer_.expires_after(std::min<Duration>(kQuietTime, latest_ - now));
  timer_.async_wait([this](std::error_code error) {
    if (!error) AfterTurn([this] { RunAll(); });
  });
}

// The first handler runs before those of the sockets that the event loop finds
// readable in this turn, the second one after them.
void RetryQueue::AfterTurn(std::function<void()> next) {
  asio::post(io_, [this, next = std::move(next)]() mutable {
    asio::post(io_, std::move(next));
  });
}

void RetryQueue::RunAll() {
  std::ranges::for_each(std::exchange(retries_, {}),
                        [](const auto& retry) { retry(); });
}

}  // namespace dogwoodlatch::daemon
