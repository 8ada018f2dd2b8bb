#include "dogwoodlatch/daemon/order_fence.h"

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/store_era.h"
#include "dogwoodlatch/testing/scripted_store.h"
#include "platform/object_examples.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;
using testing::ScriptedStore;

std::string Answer(int status, uint64_t revision, uint64_t era) {
  const std::string body = R"({"metadata":{"name":"order-fence","rev":)" +
                           std::to_string(revision) + R"(},"spec":{}})";
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" +
         platform::MakeEraHeader(era) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct Play {
  explicit Play(std::deque<std::string> answers)
      : store(context, std::move(answers)),
        fence(context, store.address(), "side-1") {}

  // Asks for a fence in the term, for some seconds, or until there is one or
  // the store has been asked for a number of times.
  std::optional<uint64_t> Request(uint64_t term, uint64_t era,
                                  size_t calls = 100) {
    for (int i = 0; i < 500 && !fence.Of(term); ++i) {
      if (store.requests().size() >= calls) break;
      fence.Request(term, era, SteadyNow());
      context.restart();
      context.run_for(milliseconds(10));
    }
    return fence.Of(term);
  }

  asio::io_context context{1};
  ScriptedStore store;
  OrderFence fence;
};

}  // namespace

// ONE (review/8). Guards against an agent that orders with the revision of a
// naming although another holder has used a higher one since.
TEST_CASE("each term has a fence of its own") {
  Play play({Answer(200, 40, 1), Answer(200, 45, 1)});
  CHECK(play.Request(1, 1) == serving::MakeFence(1, 40));
  CHECK_FALSE(play.fence.Of(2));
  CHECK(play.Request(1, 1) == serving::MakeFence(1, 40));
  CHECK(play.Request(2, 1) == serving::MakeFence(1, 45));
  CHECK_FALSE(play.fence.Of(1));
}

TEST_CASE("the object is created by the first write") {
  Play play({Answer(404, 0, 1), Answer(201, 9, 1)});
  CHECK(play.Request(1, 1) == serving::MakeFence(1, 9));
  REQUIRE(play.store.requests().size() == 2);
  CHECK(play.store.requests()[0].starts_with("PUT "));
  CHECK(play.store.requests()[1].starts_with("POST "));
}

TEST_CASE("a refused write and an answer of an earlier era give no fence") {
  Play play({Answer(503, 0, 2), Answer(409, 30, 2), Answer(200, 41, 1),
             Answer(200, 12, 2)});
  CHECK(play.Request(1, 2, 3) == std::nullopt);
  CHECK(play.store.requests().size() == 3);
  CHECK(play.Request(1, 2) == serving::MakeFence(2, 12));
}

}  // namespace dogwoodlatch::daemon
