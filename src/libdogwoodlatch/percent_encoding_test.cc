#include "dogwoodlatch/percent_encoding.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch {

// Guards against names that change the URL of which they become part.
TEST_CASE("only unreserved characters are sent as they are") {
  CHECK(PercentEncode("az-AZ.09_~") == "az-AZ.09_~");
  CHECK(PercentEncode("a%20b") == "a%2520b");
  CHECK(PercentEncode("a b&c=d+e#f?g/h") == "a%20b%26c%3Dd%2Be%23f%3Fg%2Fh");
  CHECK(PercentEncode("a\r\nX: y") == "a%0D%0AX%3A%20y");
  CHECK(PercentEncode("\xC3\xA9\xFF") == "%C3%A9%FF");
  CHECK(PercentEncode("").empty());
}

TEST_CASE("a path keeps its slashes") {
  CHECK(PercentEncodePath("settings/a%b c/x?y") == "settings/a%25b%20c/x%3Fy");
  CHECK(PercentEncodePath("/a:b@c/(d)?\r\n#") == "/a:b@c/(d)%3F%0D%0A%23");
}

}  // namespace dogwoodlatch
