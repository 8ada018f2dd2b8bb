#include "dogwoodlatch/messages.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace dogwoodlatch {

TEST_CASE("a Submit message is unchanged by encoding and decoding") {
  rc::prop("encode then decode",
           [](const std::string& key, const std::string& body,
              const std::vector<PieceKey>& keys, uint32_t attempt) {
             Submit submit;
             submit.request_id.value = "r1";
             submit.attempt = attempt;
             submit.idempotency_key = key;
             submit.body = body;
             submit.piece_keys = keys;
             submit.time_left = std::chrono::seconds(3);
             submit.claim = {body,
                             attempt,
                             std::chrono::hours(1),
                             {key},
                             WallTime(std::chrono::seconds(attempt)),
                             attempt % 2 == 1};
             const auto decoded = Decode(Encode(submit));
             RC_ASSERT(decoded.has_value());
             const auto& copy = std::get<Submit>(decoded.value());
             RC_ASSERT(copy.idempotency_key == key);
             RC_ASSERT(copy.body == body);
             RC_ASSERT(copy.piece_keys == keys);
             RC_ASSERT(copy.attempt == attempt);
             RC_ASSERT(copy.time_left == submit.time_left);
             RC_ASSERT(copy.claim.service == body);
             RC_ASSERT(copy.claim.logs == attempt);
             RC_ASSERT(copy.claim.retention == submit.claim.retention);
             RC_ASSERT(copy.claim.take_over_from == TargetId{key});
             RC_ASSERT(copy.claim.issued == submit.claim.issued);
             RC_ASSERT(copy.claim.lookup_only == submit.claim.lookup_only);
           });
}

TEST_CASE("a Refused message is unchanged by encoding and decoding") {
  const bool key_not_run = GENERATE(false, true);
  const Refused refused{
      {"r1"}, 3,          RefusalReason::kNotOwner, std::chrono::seconds(2),
      "t1",   key_not_run};
  const auto decoded = Decode(Encode(refused));
  REQUIRE(decoded.has_value());
  const auto& copy = std::get<Refused>(decoded.value());
  CHECK(copy.request_id == refused.request_id);
  CHECK(copy.attempt == refused.attempt);
  CHECK(copy.reason == refused.reason);
  CHECK(copy.retry_after == refused.retry_after);
  CHECK(copy.owner == refused.owner);
  CHECK(copy.key_not_run == key_not_run);
}

TEST_CASE("bytes that no message encodes to fail with kBadMessage") {
  rc::prop("decoding never crashes", [](const std::string& bytes) {
    const auto decoded = Decode(bytes);
    if (!decoded) RC_ASSERT(decoded.error().code == ErrorCode::kBadMessage);
  });
  std::string truncated = Encode(Cancel{{"r1"}, 2});
  truncated.pop_back();
  CHECK(Decode(truncated).error().code == ErrorCode::kBadMessage);
}

}  // namespace dogwoodlatch
