#include "dogwoodlatch/daemon/agent_link.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace dogwoodlatch::daemon {

TEST_CASE("news survive the wire") {
  TargetNews news;
  news.target_id = "i-1";
  news.weights = {{"m", 4}};
  news.phase = serving::RolloutPhase::kLoading;
  news.active = 3;
  news.routers = {"10.0.0.1:7340"};
  CHECK(DecodeNews(Encode(news)).value() == news);
  RouterNews sent;
  sent.targets.push_back({"i-1", std::chrono::milliseconds(12), {1, ~0ULL}});
  sent.parts_saved = {9};
  CHECK(DecodeRouterNews(Encode(sent)).value() == sent);
}

TEST_CASE("the kinds of datagrams are told apart") {
  CHECK(IsSubscription(EncodeSubscription()));
  CHECK_FALSE(IsSubscription(Encode(TargetNews{})));
  CHECK(IsRouterNews(Encode(RouterNews{})));
  CHECK_FALSE(IsRouterNews(EncodeSubscription()));
}

TEST_CASE("foreign and torn datagrams are refused") {
  const std::vector<uint8_t> whole = Encode(TargetNews{});
  rc::prop("torn", [&] {
    const auto length = *rc::gen::inRange<size_t>(0, whole.size());
    RC_ASSERT(!DecodeNews(std::span(whole).first(length)));
  });
  rc::prop("any bytes", [] {
    const auto bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();
    static_cast<void>(DecodeNews(bytes));
    static_cast<void>(DecodeRouterNews(bytes));
    static_cast<void>(IsSubscription(bytes));
  });
}

}  // namespace dogwoodlatch::daemon
