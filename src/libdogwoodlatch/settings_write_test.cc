#include "dogwoodlatch/settings_write.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

const Json kBase = {{"models", {{"m", {{"piece_bytes", 64}}}}}};
const Json kOurs = {{"models", {{"m", {{"piece_bytes", 128}}}}}};
const Json kTheirs = {
    {"models", {{"m", {{"piece_bytes", 64}}}, {"n", Json::object()}}}};

ObjectChange Version(uint64_t version, const Json& value) {
  return {{"settings/a", version, value}, false};
}

}  // namespace

TEST_CASE("a conflicting write reports both changes") {
  SettingsWrite write({"settings/a", 3, kBase}, 3, kOurs);
  REQUIRE(std::get<PutCommand>(write.command()).expected_version == 3);
  write.OnPut(Error{ErrorCode::kConflict, "settings/a", ""});
  REQUIRE(std::holds_alternative<ReadHistoryCommand>(write.command()));
  write.OnHistory(ObjectHistory{Version(3, kBase), Version(5, kTheirs)});
  const auto& conflict = std::get<WriteConflict>(*write.result());
  CHECK(conflict.their_version == 5);
  REQUIRE(conflict.OurChanges().size() == 1);
  CHECK(conflict.OurChanges()[0].path == "models.m.piece_bytes");
  REQUIRE(conflict.TheirChanges().size() == 1);
  CHECK(conflict.TheirChanges()[0].path == "models.n");
}

TEST_CASE(
    "a write whose answer was lost is read back, also if a later version "
    "exists") {
  SettingsWrite write({"settings/a", 3, kBase}, 3, kOurs);
  write.OnPut(Error{ErrorCode::kUnknownOutcome, "settings/a", ""});
  SECTION("the write took effect and another write followed") {
    write.OnHistory(ObjectHistory{Version(3, kBase), Version(4, kOurs),
                                  Version(6, kTheirs)});
    CHECK(std::get<WriteAccepted>(*write.result()).version == 4);
  }
  SECTION("the write had no effect and is repeated") {
    write.OnHistory(ObjectHistory{Version(3, kBase)});
    REQUIRE_FALSE(write.result().has_value());
    CHECK(std::get<PutCommand>(write.command()).expected_version == 3);
  }
  SECTION("another write took effect") {
    write.OnHistory(ObjectHistory{Version(3, kBase), Version(4, kTheirs)});
    CHECK(std::holds_alternative<WriteConflict>(*write.result()));
  }
  SECTION("the outcome is unknown if the platform stays unavailable") {
    const Error unavailable{ErrorCode::kUnavailable, "settings/a", ""};
    while (!write.result()) write.OnHistory(unavailable);
    CHECK(std::get<Error>(*write.result()).code == ErrorCode::kUnknownOutcome);
  }
}

}  // namespace dogwoodlatch
