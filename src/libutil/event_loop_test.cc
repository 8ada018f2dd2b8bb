#include "dogwoodlatch/util/event_loop.h"

#include <catch2/catch.hpp>
#include <stdexcept>

namespace dogwoodlatch {

// LOST (review/1): an exception that left a handler ended the process and all
// requests in it.
TEST_CASE("the event loop runs on after an exception in a handler") {
  asio::io_context context(1);
  const uint64_t before = HandlerFailures();
  int handled = 0;
  asio::post(context, [] { throw std::out_of_range("array size"); });
  asio::post(context, [&] { ++handled; });
  asio::post(context, [] { throw std::bad_alloc(); });
  asio::post(context, [&] { ++handled; });
  RunEventLoop(context);
  CHECK(handled == 2);
  CHECK(HandlerFailures() == before + 2);
}

TEST_CASE("a guarded handler does not keep its caller from going on") {
  const uint64_t before = HandlerFailures();
  RunGuarded("test", [] { throw std::runtime_error("no"); });
  RunGuarded("test", [] {});
  CHECK(HandlerFailures() == before + 1);
}

TEST_CASE("a loop that is stopped from a handler ends") {
  asio::io_context context(1);
  bool has_run = false;
  asio::post(context, [&] { context.stop(); });
  asio::post(context, [&] { has_run = true; });
  RunEventLoop(context);
  CHECK_FALSE(has_run);
}

}  // namespace dogwoodlatch
