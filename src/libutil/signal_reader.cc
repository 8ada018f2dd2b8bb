#include "dogwoodlatch/util/signal_reader.h"

#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <utility>

#include "dogwoodlatch/util/event_loop.h"

namespace dogwoodlatch {
namespace {

std::array<std::atomic<bool>, NSIG> has_arrived{};
std::atomic<int> waker_descriptor{-1};
static_assert(std::atomic<bool>::is_always_lock_free &&
              std::atomic<int>::is_always_lock_free);

void SetDisposition(int number, void (*disposition)(int)) {
  struct sigaction action {};
  action.sa_handler = disposition;
  action.sa_flags = SA_RESTART;
  sigaction(number, &action, nullptr);
}

// Ignored signals cost their receiver nothing: a process that runs this for
// each one of a flood may not get to anything else.
void OnSignal(int number) {
  const int saved_error = errno;
  SetDisposition(number, SIG_IGN);
  has_arrived[static_cast<size_t>(number)] = true;
  const char wakeup = 0;
  // Cannot fail for want of room: the pipe holds one byte a number at most.
  [[maybe_unused]] const ssize_t written =
      write(waker_descriptor, &wakeup, sizeof(wakeup));
  errno = saved_error;
}

}  // namespace

SignalReader::SignalReader(asio::io_context& loop, std::vector<int> numbers)
    : wakeups_(loop), waker_(loop), numbers_(std::move(numbers)) {
  asio::connect_pipe(wakeups_, waker_, open_error_);
  if (open_error_) return;
  waker_descriptor = waker_.native_handle();
  for (const int number : numbers_) {
    has_arrived.at(static_cast<size_t>(number)) = false;
    SetDisposition(number, &OnSignal);
  }
}

SignalReader::~SignalReader() {
  for (const int number : numbers_) SetDisposition(number, SIG_IGN);
  waker_descriptor = -1;
}

Result<void> SignalReader::Start(std::function<void(int)> handler) {
  if (open_error_) {
    return Error{ErrorCode::kIo, "signals", open_error_.message()};
  }
  handler_ = std::move(handler);
  AwaitSignals();
  return boost::outcome_v2::success();
}

void SignalReader::AwaitSignals() {
  wakeups_.async_read_some(asio::buffer(input_),
                           [this](std::error_code error, size_t /*count*/) {
                             if (error) return;
                             HandlePending();
                             AwaitSignals();
                           });
}

void SignalReader::HandlePending() {
  for (const int number : numbers_) {
    if (!has_arrived.at(static_cast<size_t>(number)).exchange(false)) continue;
    // Before the handler: what is signalled from here on is handled next time.
    SetDisposition(number, &OnSignal);
    RunGuarded("signal", [&] { handler_(number); });
  }
}

}  // namespace dogwoodlatch
