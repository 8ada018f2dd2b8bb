#include "dogwoodlatch/daemon/agent_link.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace dogwoodlatch::daemon {

TEST_CASE("decoding restores encoded datagrams") {
  TargetStatus status;
  status.target_id = "i-1";
  status.weights = {{"m", 4}};
  status.phase = serving::RolloutPhase::kLoading;
  status.active = 3;
  status.memory_used = 90000;
  status.memory_total = 173918;
  status.routers = {"10.0.0.1:7340"};
  status.is_leaving = true;
  CHECK(DecodeDatagram(Encode(status)).value() == Datagram(status));
  RouterUpdate update;
  update.targets.push_back({"i-1", std::chrono::milliseconds(12), {1, ~0ULL}});
  update.parts_saved = {{9, 5382}};
  update.parts_fetched = {10, 11};
  update.suspects = {{.suspect = {serving::SuspectKind::kPart, ~0ULL},
                      .crashes = {{.target = 7,
                                   .age = std::chrono::milliseconds(40),
                                   .was_answering = true}},
                      .answered_ago = std::chrono::seconds(3),
                      .wanted_ago = std::chrono::milliseconds(5)},
                     {.suspect = {serving::SuspectKind::kRequest, 8}}};
  update.targets_leaving = {
      {"i-2", WallTime(std::chrono::seconds(1790000000))}};
  update.phase = serving::RouterPhase::kStopping;
  update.stopping_for = std::chrono::milliseconds(2600);
  CHECK(DecodeDatagram(Encode(update)).value() == Datagram(update));
  const RouterDirectory directory{{"10.0.0.1:7340", "10.0.0.2:7340"}};
  CHECK(DecodeDatagram(Encode(directory)).value() == Datagram(directory));
  CHECK(DecodeDatagram(Encode(Subscription{7})).value() ==
        Datagram(Subscription{7}));
  const FreshnessQuestion question{~0ULL};
  CHECK(DecodeDatagram(Encode(question)).value() == Datagram(question));
  const FreshnessAnswer answer{~0ULL, 12, 2, 700, 900};
  CHECK(DecodeDatagram(Encode(answer)).value() == Datagram(answer));
}

// Guards against a process that ends because of a deeply nested datagram.
TEST_CASE("deeply nested datagrams are refused") {
  for (const uint8_t opening : {0x81, 0x9F, 0xA1, 0xBF}) {
    CHECK_FALSE(DecodeDatagram(std::vector<uint8_t>(8192, opening)));
  }
}

TEST_CASE("truncated datagrams are refused and arbitrary bytes are handled") {
  const std::vector<uint8_t> complete = Encode(TargetStatus{});
  rc::prop("truncated datagrams are refused", [&] {
    const auto length = *rc::gen::inRange<size_t>(0, complete.size());
    RC_ASSERT(!DecodeDatagram(std::span(complete).first(length)));
  });
  rc::prop("arbitrary bytes do not crash the decoder", [] {
    static_cast<void>(
        DecodeDatagram(*rc::gen::arbitrary<std::vector<uint8_t>>()));
  });
}

}  // namespace dogwoodlatch::daemon
