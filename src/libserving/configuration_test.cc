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
  service.cache_store_address = std::move(address);
  service.cache_store_domain = std::move(domain);
  return service;
}

}  // namespace

TEST_CASE("the route with the longest prefix on the host is selected") {
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

TEST_CASE("services are picked in proportion to their weights") {
  Route route = MakeRoute("split", "a.example", "/");
  route.shares = {{"first", 90}, {"second", 10}, {"never", 0}};
  std::map<std::string, int> taken;
  for (uint64_t draw = 0; draw < 1000; ++draw) {
    ++taken[Configuration::PickService(route, draw)];
  }
  CHECK(taken == std::map<std::string, int>{{"first", 900}, {"second", 100}});
}

TEST_CASE("keys map to their workspace and are required once one exists") {
  const Configuration configuration =
      Configuration::Builder()
          .AddWorkspace({.name = "north", .priority = 1}, {"k1", "k2"})
          .AddWorkspace({.name = "south", .priority = {}, .isolated = true},
                        {"k3"})
          .Build();
  CHECK(configuration.requires_keys());
  CHECK(configuration.FindWorkspace("k2")->name == "north");
  CHECK(configuration.FindWorkspace("k3")->isolated);
  CHECK(configuration.FindWorkspace("") == nullptr);
  CHECK_FALSE(Configuration::Builder().Build().requires_keys());
}

// Guards against stores that are chosen by failure domain: each router used the
// store of its own domain, so two of three parts had been saved elsewhere, and
// all three stores held copies of the same parts.
TEST_CASE("each part is assigned to one of several cache stores") {
  const std::vector<Service> stores = {MakeStore("store-a", "10.0.0.1:1", "a"),
                                       MakeStore("store-b", "10.0.0.2:1", "b"),
                                       MakeStore("store-c", "10.0.0.3:1", "c")};
  const auto build = [](std::vector<Service> services) {
    Configuration::Builder builder;
    builder.AddService(MakeStore("plain", "", ""));
    for (Service& service : services) builder.AddService(std::move(service));
    return builder.Build();
  };
  const Configuration all = build(stores);
  const Configuration reversed = build({stores[2], stores[1], stores[0]});
  const Configuration two = build({stores[0], stores[1]});
  std::map<std::string, int> parts_at;
  for (uint64_t part = 0; part < 3000; ++part) {
    const std::string& store_address =
        all.FindCacheStore(part)->cache_store_address;
    ++parts_at[store_address];
    CHECK(reversed.FindCacheStore(part)->cache_store_address == store_address);
    if (store_address != "10.0.0.3:1") {
      CHECK(two.FindCacheStore(part)->cache_store_address == store_address);
    }
  }
  for (const auto& [address, parts] : parts_at) CHECK(parts > 900);
  CHECK(parts_at.size() == 3);
  CHECK(build({}).FindCacheStore(1) == nullptr);
}

}  // namespace dogwoodlatch::serving
