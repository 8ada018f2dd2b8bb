#include "dogwoodlatch/util/platform_client.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace dogwoodlatch {
namespace {

// Answers every call with the given body.
class OddPlatform {
 public:
  OddPlatform() {
    server_.Get(".*", [this](const httplib::Request& request,
                             httplib::Response& response) {
      target = request.target;
      path = request.path;
      response.set_content(body, "application/json");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) std::this_thread::yield();
  }
  ~OddPlatform() {
    server_.stop();
    thread_.join();
  }
  OddPlatform(const OddPlatform&) = delete;
  OddPlatform& operator=(const OddPlatform&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  std::string body;
  std::string target;  // of the last request, as sent
  std::string path;    // decoded

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace

// Guards against a process of the product's own door that ends because another
// writer left an odd object: fields of another type were reported by exceptions
// that nothing caught.
TEST_CASE("odd objects leave the others of a list in use") {
  OddPlatform platform;
  const PlatformClient client(
      {.address = platform.address(), .timeout = std::chrono::seconds(2)});
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::string good = R"({"path":"a","version":2,"value":{"k":1}})";
  for (const std::string& odd :
       {std::string("7"), std::string("null"), deep,
        R"({"path":7,"version":"x","value":)" + deep + "}",
        std::string(R"({"path":"b","version":-1,"value":1e400})")}) {
    CAPTURE(odd.substr(0, 80));
    std::string objects = "[";
    objects.append(good).append(",").append(odd).append(",").append(good);
    objects.append("]");
    platform.body = R"({"revision":5,"objects":)" + objects + "}";
    const auto list = client.List("");
    REQUIRE(list);
    CHECK(list.value().revision == 5);
    CHECK(list.value().objects.front().path == "a");
    CHECK(list.value().objects.back().value == nlohmann::json{{"k", 1}});
    platform.body = R"({"revision":6,"changes":)" + objects + "}";
    const auto changes = client.Watch({""}, 5, std::chrono::milliseconds(1));
    REQUIRE(changes);
    CHECK(changes.value().revision == 6);
    CHECK(changes.value().changes.front().object.version == 2);
  }
}

// Guards against reading another object than the one that was listed, because
// its name holds characters with a meaning in URLs.
TEST_CASE("paths of objects are encoded") {
  OddPlatform platform;
  platform.body = R"({"changes":[]})";
  const PlatformClient client(
      {.address = platform.address(), .timeout = std::chrono::seconds(2)});
  const std::string odd = "settings/a%20b c?d#e+f&g";
  CHECK(client.Get(odd));
  CHECK(platform.path == "/objects/" + odd);
  CHECK(client.GetVersion(odd, 3));
  CHECK(platform.path == "/objects/" + odd);
  CHECK(platform.target.ends_with("?version=3"));
  CHECK(client.History(odd));
  CHECK(platform.path == "/history/" + odd);
  CHECK(client.List("a&b=c+d e"));
  CHECK(platform.target == "/objects?prefix=a%26b%3Dc%2Bd%20e&");
}

TEST_CASE("answers of another type are failed calls") {
  OddPlatform platform;
  const PlatformClient client(
      {.address = platform.address(), .timeout = std::chrono::seconds(2)});
  for (const char* body : {"[]", "7", "\"x\"", "null", "[[]]"}) {
    CAPTURE(body);
    platform.body = body;
    CHECK_FALSE(client.List(""));
    CHECK_FALSE(client.Watch({""}, 5, std::chrono::milliseconds(1)));
    CHECK_FALSE(client.Get("a"));
    CHECK_FALSE(client.GetVmList(0, std::chrono::milliseconds(1)));
  }
}

}  // namespace dogwoodlatch
