#include "dogwoodlatch/daemon/object_feed.h"

#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "dogwoodlatch/testing/scripted_store.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;
using testing::ScriptedStore;

std::string JsonResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the number after `wait_ms=` in a request line.
int WaitOf(const std::string& request) {
  const size_t at = request.find("wait_ms=");
  return at == std::string::npos ? -1 : std::stoi(request.substr(at + 8));
}

}  // namespace

// Guards against requests to a target that had left after an outage: the first
// watch after the outage was held for seconds without an event, so that the
// store's return was noticed only when the target left.
TEST_CASE("the first watch after a failed call is answered at once") {
  asio::io_context context{1};
  ScriptedStore store(
      context, {JsonResponse(200, R"({"items":[],"has_more":false,"as_of":5})"),
                JsonResponse(503, "{}"),
                JsonResponse(200, R"({"events":[],"as_of":5})")});
  int failures = 0;
  std::vector<size_t> changes;
  FeedHandlers handlers;
  handlers.on_list = [](const auto& /*objects*/, TimePoint /*sent*/) {};
  handlers.on_changes = [&](const auto& objects, TimePoint /*sent*/) {
    changes.push_back(objects.size());
  };
  handlers.on_failure = [&](const std::string& /*reason*/,
                            Duration /*overdue*/) { ++failures; };
  FeedOptions options;
  options.store_address = store.address();
  options.wait = milliseconds(8000);
  ObjectFeed feed(context, options, handlers);
  feed.Start();
  context.run_for(milliseconds(600));
  CHECK(failures == 1);
  REQUIRE(store.requests().size() == 4);
  CHECK(WaitOf(store.requests()[1]) == 8000);
  CHECK(WaitOf(store.requests()[2]) <= 1);
  CHECK(WaitOf(store.requests()[3]) == 8000);
  CHECK(changes == std::vector<size_t>{0});
}

std::string Page(const std::string& name, bool has_more) {
  return JsonResponse(
      200, R"({"items":[{"metadata":{"name":")" + name +
               R"(","rev":3},"spec":{"model":"m","version":1}}],)" +
               R"("as_of":5,"has_more":)" + (has_more ? "true}" : "false}"));
}

// What a feed makes of the given answers, until it makes a further call.
struct Listing {
  std::vector<std::string> requests;
  std::vector<size_t> complete, incomplete;  // objects of each list
  int failures = 0;
  int unread = 0;  // answers with changes
  uint64_t refused = 0;
};

Listing ListPages(std::deque<std::string> pages, bool uses_incomplete,
                  milliseconds time = milliseconds(60)) {
  asio::io_context context{1};
  const size_t count = pages.size();
  ScriptedStore store(context, std::move(pages));
  Listing result;
  FeedHandlers handlers;
  handlers.on_list = [&](const auto& objects, TimePoint /*sent*/) {
    result.complete.push_back(objects.size());
  };
  handlers.on_incomplete_list = [&](const auto& objects, TimePoint /*sent*/) {
    result.incomplete.push_back(objects.size());
    return uses_incomplete;
  };
  handlers.on_changes = [](const auto& /*objects*/, TimePoint /*sent*/) {};
  handlers.on_refused = [&](const platform::ObjectRefusals& refusals) {
    result.refused += refusals.total();
  };
  handlers.on_changes_unread = [&] { ++result.unread; };
  handlers.on_failure = [&](const std::string& /*reason*/,
                            Duration /*overdue*/) { ++result.failures; };
  FeedOptions options;
  options.kind = platform::ObjectKind::kWeights;
  options.wait = milliseconds(100);
  options.store_address = store.address();
  ObjectFeed feed(context, options, handlers);
  feed.Start();
  for (milliseconds step(10); time > step && store.requests().size() <= count;
       time -= step) {
    context.restart();
    context.run_for(step);
  }
  result.requests = store.requests();
  return result;
}

// Guards against a feed that asks for the same page for ever, as the name in
// its request is not the one that the store has.
TEST_CASE("a feed sends back the name on which a page ends") {
  const Listing listing =
      ListPages({Page("a b%20c", true), Page("z", false)}, true);
  REQUIRE(listing.requests.size() == 3);
  CHECK(listing.requests[1].ends_with("?after=a%20b%2520c HTTP/1.1"));
  CHECK(WaitOf(listing.requests[2]) > 0);
  CHECK(listing.complete == std::vector<size_t>{2});
}

TEST_CASE("a list that leads back to a page is used as far as it goes") {
  const std::deque<std::string> pages = {Page("a", true), Page("b", true),
                                         Page("a", true)};
  const Listing used = ListPages(pages, true);
  CHECK(used.incomplete == std::vector<size_t>{3});
  CHECK(used.complete.empty());
  CHECK(used.failures == 0);
  REQUIRE(used.requests.size() == 4);
  CHECK(WaitOf(used.requests[3]) > 0);  // goes on to watch
  const Listing unused = ListPages(pages, false);
  CHECK(unused.failures == 1);
  CHECK(unused.complete.empty());
  CHECK(unused.requests.size() == 3);  // lists again after a pause
}

// Guards against a list that is taken for a complete one, so that all targets
// are dropped, because its first page holds no name.
TEST_CASE("a page without a name does not complete a list") {
  const std::string page =
      JsonResponse(200, R"({"items":[{}],"has_more":true,"as_of":5})");
  const Listing listing = ListPages({page}, true);
  CHECK(listing.complete.empty());
  CHECK(listing.incomplete == std::vector<size_t>{0});
}

// Guards against a watch that returns at once for ever, because what has
// changed is of no use.
TEST_CASE("a watch goes on after changes that are not used") {
  const std::string changes =
      JsonResponse(200, R"({"events":[{"object":{}},7],"as_of":9})");
  const Listing listing = ListPages({Page("a", false), changes}, true);
  REQUIRE(listing.requests.size() == 3);
  CHECK(listing.requests[1].find("watch=5&") != std::string::npos);
  CHECK(listing.requests[2].find("watch=9&") != std::string::npos);
  CHECK(listing.refused == 2);
}

// DRAIN (review/10). Guards against a watch that is repeated although its
// answer can only grow: the feed saw no change until the store dropped its
// history.
TEST_CASE("after changes that cannot be read, the feed lists again") {
  constexpr size_t kCutBytes = 100;
  const std::string unread = GENERATE(
      JsonResponse(200, std::string(5UL * 1024 * 1024, ' ')),  // too long
      JsonResponse(200, R"({"events":[{]})"),
      JsonResponse(200, std::string(100, ' ')).substr(0, kCutBytes));
  const Listing listing = ListPages(
      {Page("a", false), unread, Page("b", false)}, true, milliseconds(1300));
  REQUIRE(listing.requests.size() == 4);
  CHECK(listing.requests[1].find("watch=5&") != std::string::npos);
  CHECK(WaitOf(listing.requests[2]) == -1);
  CHECK(listing.requests[3].find("watch=5&") != std::string::npos);
  CHECK(listing.complete == std::vector<size_t>{1, 1});
  CHECK(listing.unread == 1);
  const bool is_cut = unread.size() == kCutBytes;
  CHECK(listing.failures == (is_cut ? 1 : 0));
}

// A feed that has listed and whose first watch is held for `wait` at most.
class WatchingFeed {
 public:
  WatchingFeed(milliseconds wait, FeedHandlers handlers)
      : store_(
            context_,
            {JsonResponse(200, R"({"items":[],"has_more":false,"as_of":5})")}) {
    handlers.on_list = [](const auto& /*objects*/, TimePoint /*sent*/) {};
    FeedOptions options;
    options.store_address = store_.address();
    options.wait = wait;
    feed_.emplace(context_, options, std::move(handlers));
    feed_->Start();
    RunFor(milliseconds(100));
    REQUIRE(store_.requests().size() == 2);
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  ObjectFeed& feed() { return *feed_; }
  const std::vector<std::string>& requests() const { return store_.requests(); }

 private:
  asio::io_context context_{1};
  ScriptedStore store_;
  std::optional<ObjectFeed> feed_;
};

// Guards against the same where another feed's call has failed: this one's
// watch was open throughout and is held.
TEST_CASE("a probe replaces a held watch by one that is answered at once") {
  WatchingFeed watching(milliseconds(8000), {});
  watching.feed().Probe();
  watching.RunFor(milliseconds(100));
  REQUIRE(watching.requests().size() == 3);
  CHECK(WaitOf(watching.requests()[2]) <= 1);
}

// Guards against a call that is cancelled and repeated: the failure of a feed
// made it probe, and its pause was armed only then.
TEST_CASE("a feed whose own call has failed pauses before the next one") {
  ObjectFeed* probed = nullptr;
  bool has_failed = false;
  FeedHandlers handlers;
  handlers.on_failure = [&](const std::string& /*reason*/,
                            Duration /*overdue*/) {
    has_failed = true;
    probed->Probe();
  };
  WatchingFeed watching(milliseconds(100), std::move(handlers));
  probed = &watching.feed();
  for (int i = 0; i < 300 && !has_failed; ++i) {
    watching.RunFor(milliseconds(10));
  }
  REQUIRE(has_failed);
  CHECK(watching.requests().size() == 2);
  watching.RunFor(milliseconds(300));
  CHECK(watching.requests().size() == 3);
}

// The failure of a watch that was to be held is as old as its late answer, not
// as the watch.
TEST_CASE("a failed call tells since when its answer is overdue") {
  std::optional<Duration> overdue;
  FeedHandlers handlers;
  handlers.on_failure = [&](const std::string& /*reason*/, Duration since) {
    if (!overdue) overdue = since;
  };
  WatchingFeed watching(milliseconds(300), std::move(handlers));
  watching.RunFor(milliseconds(1200));
  REQUIRE(overdue.has_value());
  CHECK(*overdue >= milliseconds(650));
  CHECK(*overdue < milliseconds(950));
}

}  // namespace dogwoodlatch::daemon
