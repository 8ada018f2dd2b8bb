#include "dogwoodlatch/daemon/agent_link.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace dogwoodlatch::daemon {

TEST_CASE("datagrams survive the wire") {
  TargetStatus news;
  news.target_id = "i-1";
  news.weights = {{"m", 4}};
  news.phase = serving::RolloutPhase::kLoading;
  news.active = 3;
  news.memory_used = 90000;
  news.memory_total = 173918;
  news.routers = {"10.0.0.1:7340"};
  CHECK(DecodeDatagram(Encode(news)).value() == Datagram(news));
  RouterUpdate sent;
  sent.targets.push_back({"i-1", std::chrono::milliseconds(12), {1, ~0ULL}});
  sent.parts_saved = {{9, 5382}};
  sent.parts_fetched = {10, 11};
  sent.runs_broken = {{7, ~0ULL}};
  CHECK(DecodeDatagram(Encode(sent)).value() == Datagram(sent));
  CHECK(DecodeDatagram(Encode(Subscription{})).value() ==
        Datagram(Subscription{}));
}

TEST_CASE("foreign and torn datagrams are refused") {
  const std::vector<uint8_t> whole = Encode(TargetStatus{});
  rc::prop("torn", [&] {
    const auto length = *rc::gen::inRange<size_t>(0, whole.size());
    RC_ASSERT(!DecodeDatagram(std::span(whole).first(length)));
  });
  rc::prop("any bytes", [] {
    static_cast<void>(
        DecodeDatagram(*rc::gen::arbitrary<std::vector<uint8_t>>()));
  });
}

}  // namespace dogwoodlatch::daemon
