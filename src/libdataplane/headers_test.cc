#include "dogwoodlatch/dataplane/headers.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch::dataplane {

TEST_CASE("header lookup ignores case and returns the first value") {
  const HeaderList headers = {
      {"Host", "a"}, {"X-Twice", "1"}, {"x-twice", "2"}};
  CHECK(FindHeader(headers, "HOST") == "a");
  CHECK(FindHeader(headers, "X-TWICE") == "1");
  CHECK(FindHeader(headers, "absent").empty());
}

TEST_CASE("hop-by-hop fields are not forwarded") {
  const HeaderList headers = {
      {"Connection", "close, X-Mine"}, {"X-Mine", "1"},
      {"Keep-Alive", "timeout=5"},     {"Transfer-Encoding", "chunked"},
      {"Content-Length", "4"},         {"X-Yours", "2"}};
  CHECK(EndToEndHeaders(headers) == HeaderList{{"X-Yours", "2"}});
}

}  // namespace dogwoodlatch::dataplane
