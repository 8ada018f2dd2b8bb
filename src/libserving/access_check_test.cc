#include "dogwoodlatch/serving/access_check.h"

#include <catch2/catch.hpp>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

Configuration MakeConfiguration() {
  Route keyed;
  keyed.host = "h";
  keyed.path_prefix = "/keyed/";
  keyed.shares = {{"s", 1}};
  Route open = keyed;
  open.path_prefix = "/open/";
  open.is_public = true;
  return Configuration::Builder()
      .AddRoute(keyed)
      .AddRoute(open)
      .AddWorkspace({.name = "north", .priority = {}}, {"k1"})
      .Build();
}

// The verdict `age_ms` after the last confirmation.
AccessVerdict Ask(std::string_view path, std::string_view key, int64_t age_ms,
                  std::string_view id = "1") {
  const Configuration configuration = MakeConfiguration();
  FreshnessGuard freshness(milliseconds(4750));
  freshness.OnConfirmed(At(1000));
  return CheckAccess(&configuration, freshness, {id, "h", path, key},
                     milliseconds(2000), At(1000 + age_ms))
      .verdict;
}

}  // namespace

TEST_CASE("a recent configuration allows and denies") {
  CHECK(Ask("/keyed/x", "k1", 100) == AccessVerdict::kAllowed);
  CHECK(Ask("/open/x", "", 100) == AccessVerdict::kAllowed);
  CHECK(Ask("/keyed/x", "k2", 100) == AccessVerdict::kUnknownKey);
  CHECK(Ask("/keyed/x", "", 100) == AccessVerdict::kUnknownKey);
  CHECK(Ask("/none/x", "k1", 100) == AccessVerdict::kUnknownRoute);
  CHECK(Ask("/keyed/x", "k1", 100, "") == AccessVerdict::kBadRequest);
}

TEST_CASE("an older configuration allows known keys and denies none") {
  CHECK(Ask("/keyed/x", "k1", 3000) == AccessVerdict::kAllowed);
  CHECK(Ask("/keyed/x", "k2", 3000) == AccessVerdict::kStale);
  CHECK(Ask("/none/x", "k1", 3000) == AccessVerdict::kStale);
  CHECK(Ask("/keyed/x", "", 3000) == AccessVerdict::kUnknownKey);
}

TEST_CASE("beyond the bound no key is accepted but public routes are served") {
  CHECK(Ask("/keyed/x", "k1", 4751) == AccessVerdict::kStale);
  CHECK(Ask("/open/x", "", 60000) == AccessVerdict::kAllowed);
}

TEST_CASE("no request is denied before the first configuration") {
  const FreshnessGuard freshness(milliseconds(4750));
  CHECK(CheckAccess(nullptr, freshness, {"1", "h", "/x", "k"},
                    milliseconds(2000), At(0))
            .verdict == AccessVerdict::kStarting);
}

}  // namespace dogwoodlatch::serving
