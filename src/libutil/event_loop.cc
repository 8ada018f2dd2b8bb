#include "dogwoodlatch/util/event_loop.h"

#include <cxxabi.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <string>
#include <typeinfo>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch {
namespace {

std::atomic<uint64_t> failures{0};

std::string TypeName(const std::exception& fault) {
  int status = 0;
  const std::unique_ptr<char, void (*)(void*)> name(
      abi::__cxa_demangle(typeid(fault).name(), nullptr, nullptr, &status),
      std::free);
  return name ? name.get() : typeid(fault).name();
}

}  // namespace

void ReportHandlerFailure(std::string_view source,
                          const std::exception& fault) {
  ++failures;
  LogEvent(EventId::kHandlerFailed, {{"source", std::string(source)},
                                     {"exception", TypeName(fault)},
                                     {"fault", fault.what()}});
}

uint64_t HandlerFailures() { return failures; }

// The loop can run on after an exception: the handler that threw is done, and
// all others still wait.
void RunEventLoop(asio::io_context& context) {
  bool is_done = false;
  while (!is_done) {
    RunGuarded("event loop", [&] {
      context.run();
      is_done = true;
    });
  }
}

}  // namespace dogwoodlatch
