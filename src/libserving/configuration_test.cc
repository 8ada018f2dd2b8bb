#include "dogwoodlatch/serving/configuration.h"

#include <catch2/catch.hpp>
#include <map>

namespace dogwoodlatch::serving {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.shares = {{"plain", 1}};
  return route;
}

Service MakeStore(std::string name, std::string address, std::string domain) {
  Service service;
  service.name = std::move(name);
  service.kept_cache_address = std::move(address);
  service.kept_cache_domain = std::move(domain);
  return service;
}

}  // namespace

TEST_CASE("the longest prefix of the host wins") {
  const Configuration configuration =
      Configuration::Builder()
          .AddRoute(MakeRoute("short", "a.example", "/x/"))
          .AddRoute(MakeRoute("long", "a.example", "/x/y/"))
          .AddRoute(MakeRoute("other", "b.example", "/"))
          .Build();
  CHECK(configuration.FindRoute("a.example", "/x/y/z")->name == "long");
  CHECK(configuration.FindRoute("a.example", "/x/yy")->name == "short");
  CHECK(configuration.FindRoute("a.example", "/x") == nullptr);
  CHECK(configuration.FindRoute("c.example", "/x/") == nullptr);
  CHECK(configuration.FindRoute("b.example", "/any")->name == "other");
}

TEST_CASE("shares are taken by weight") {
  Route route = MakeRoute("split", "a.example", "/");
  route.shares = {{"first", 90}, {"second", 10}, {"never", 0}};
  std::map<std::string, int> taken;
  for (uint64_t draw = 0; draw < 1000; ++draw) {
    ++taken[Configuration::PickService(route, draw)];
  }
  CHECK(taken == std::map<std::string, int>{{"first", 900}, {"second", 100}});
}

TEST_CASE("keys find their workspace and are needed once there are any") {
  const Configuration configuration =
      Configuration::Builder()
          .AddWorkspace({.name = "north", .priority = 1}, {"k1", "k2"})
          .AddWorkspace({.name = "south", .priority = {}, .isolated = true},
                        {"k3"})
          .Build();
  CHECK(configuration.needs_keys());
  CHECK(configuration.FindWorkspace("k2")->name == "north");
  CHECK(configuration.FindWorkspace("k3")->isolated);
  CHECK(configuration.FindWorkspace("") == nullptr);
  CHECK_FALSE(Configuration::Builder().Build().needs_keys());
}

TEST_CASE("the nearest cache store serves a failure domain") {
  const Configuration configuration =
      Configuration::Builder()
          .AddService(MakeStore("keep-a", "10.0.0.1:1", "a"))
          .AddService(MakeStore("keep-b", "10.0.0.2:1", "b"))
          .AddService(MakeStore("plain", "", ""))
          .Build();
  CHECK(configuration.KeptCacheFor("a") == "10.0.0.1:1");
  CHECK(configuration.KeptCacheFor("b") == "10.0.0.2:1");
  CHECK_FALSE(configuration.KeptCacheFor("c").empty());
}

}  // namespace dogwoodlatch::serving
