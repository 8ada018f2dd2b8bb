#include "dogwoodlatch/standin/engine_model.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch::standin {

TEST_CASE("a cached prefix is not recomputed") {
  EngineModel engine({.cache_pieces = 4,
                      .piece_tokens = 100,
                      .prefill_tokens_per_second = 1000});
  const TimePoint start{};
  const std::vector<BlockId> pieces = {1, 2};
  CHECK(engine.Admit("r1", pieces, 250, start).computed_tokens == 250);
  const PrefillPlan again =
      engine.Admit("r2", pieces, 250, start + std::chrono::seconds(1));
  CHECK(again.cached_pieces == 2);
  CHECK(again.computed_tokens == 50);
  CHECK(again.first_token == start + std::chrono::milliseconds(1050));
}

TEST_CASE("evicts the least recently used pieces and publishes their removal") {
  EngineModel engine({.cache_pieces = 2, .piece_tokens = 100});
  engine.Admit("r1", std::vector<BlockId>{1, 2}, 200, {});
  engine.Admit("r2", std::vector<BlockId>{3}, 100, {});
  const std::vector<CacheEvent> events = engine.EventsAfter(1);
  REQUIRE(events.size() == 2);
  CHECK(events[1].kind == CacheEventKind::kRemoved);
  CHECK(events[1].blocks == std::vector<BlockId>{2});
  CHECK(engine.CachedPieces(std::vector<BlockId>{1, 2}) == 1);
}

}  // namespace dogwoodlatch::standin
