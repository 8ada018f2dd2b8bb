#include "dogwoodlatch/dataplane/headers.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch::dataplane {

TEST_CASE("names are compared without case and the first value is found") {
  const HeaderList headers = {
      {"Host", "a"}, {"X-Twice", "1"}, {"x-twice", "2"}};
  CHECK(FindHeader(headers, "HOST") == "a");
  CHECK(FindHeader(headers, "X-TWICE") == "1");
  CHECK(FindHeader(headers, "absent").empty());
}

TEST_CASE("fields of one connection do not travel on") {
  const HeaderList headers = {
      {"Connection", "close, X-Mine"}, {"X-Mine", "1"},
      {"Keep-Alive", "timeout=5"},     {"Transfer-Encoding", "chunked"},
      {"Content-Length", "4"},         {"X-Yours", "2"}};
  CHECK(EndToEndHeaders(headers) == HeaderList{{"X-Yours", "2"}});
}

}  // namespace dogwoodlatch::dataplane
