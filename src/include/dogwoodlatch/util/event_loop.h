/// Runs handlers of the event loop so that an exception ends what it concerns
/// and not the process.
#pragma once

// clang-format off
// Before asio.hpp, which chooses its allocation functions by the standard
// library's macros.
#include <cstdint>

#include <asio.hpp>
// clang-format on
#include <exception>
#include <string_view>
#include <utility>

namespace dogwoodlatch {

/// Logs and counts an exception that has left a handler. `source` names what
/// the handler was about.
void ReportHandlerFailure(std::string_view source, const std::exception& fault);

/// How many exceptions have left handlers since the process started.
uint64_t HandlerFailures();

/// Calls `handler`. An exception that leaves it is reported; the caller goes
/// on, for example to wait for the next message or tick.
template <typename Handler>
void RunGuarded(std::string_view source, Handler&& handler) {
  // Libraries report some faults only by exceptions.
  try {
    std::forward<Handler>(handler)();
  } catch (const std::exception& fault) {
    ReportHandlerFailure(source, fault);
  }
}

/// Runs handlers until the loop is stopped or has nothing left to wait for. An
/// exception that leaves a handler is reported and ends only this handler.
void RunEventLoop(asio::io_context& context);

}  // namespace dogwoodlatch
