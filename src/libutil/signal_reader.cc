#include "dogwoodlatch/util/signal_reader.h"

#include <sys/signalfd.h>

#include <cerrno>
#include <cstring>
#include <ctime>
#include <utility>

#include "dogwoodlatch/util/event_loop.h"

namespace dogwoodlatch {
namespace {

sigset_t MakeSignalSet(const std::vector<int>& numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : numbers) sigaddset(&signals, number);
  return signals;
}

// Returns whether the signal was pending; it no longer is.
bool TakePending(int number) {
  const sigset_t signals = MakeSignalSet({number});
  const timespec no_wait{};
  return sigtimedwait(&signals, nullptr, &no_wait) == number;
}

}  // namespace

SignalReader::SignalReader(asio::io_context& loop, std::vector<int> numbers)
    : descriptor_(loop), numbers_(std::move(numbers)) {
  const sigset_t signals = MakeSignalSet(numbers_);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

Result<void> SignalReader::Start(std::function<void(int)> handler) {
  handler_ = std::move(handler);
  const sigset_t signals = MakeSignalSet(numbers_);
  const int descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  if (descriptor < 0) {
    return Error{ErrorCode::kIo, "signals", std::strerror(errno)};
  }
  descriptor_.assign(descriptor);
  AwaitSignals();
  return boost::outcome_v2::success();
}

void SignalReader::AwaitSignals() {
  descriptor_.async_wait(asio::posix::stream_descriptor::wait_read,
                         [this](std::error_code error) {
                           if (error) return;
                           HandlePending();
                           AwaitSignals();
                         });
}

// The descriptor only wakes the loop: reading it would return the lowest number
// first, and one that keeps arriving would hide the others.
void SignalReader::HandlePending() {
  for (const int number : numbers_) {
    if (TakePending(number)) {
      RunGuarded("signal", [&] { handler_(number); });
    }
  }
}

}  // namespace dogwoodlatch
