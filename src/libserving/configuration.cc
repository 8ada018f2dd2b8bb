#include "dogwoodlatch/serving/configuration.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <utility>

#include "dogwoodlatch/quarantine.h"

namespace dogwoodlatch::serving {
namespace {

// What a workspace read before it became isolated stays cached under the name
// that the shared scope had then. So the name follows the set of isolated
// workspaces: a scope of one name holds only parts of workspaces that share
// them whenever that name is used. A name that every router derives from the
// present configuration alone needs no history, which a router that has just
// started does not have.
std::string SharedCacheScope(
    const std::set<std::string, std::less<>>& isolated) {
  if (isolated.empty()) return {};
  std::string names;
  for (const std::string& name : isolated) {
    names.append(std::to_string(name.size())).append(":").append(name);
  }
  const XXH128_hash_t digest = XXH3_128bits(names.data(), names.size());
  return "~" + FormatDigestHex(digest.high64) + FormatDigestHex(digest.low64);
}

}  // namespace

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const auto host_entry = routes_by_host_.find(host);
  if (host_entry == routes_by_host_.end()) return nullptr;
  const auto found =
      std::ranges::find_if(host_entry->second, [&](size_t index) {
        return path.starts_with(routes_[index].path_prefix);
      });
  return found == host_entry->second.end() ? nullptr : &routes_[*found];
}

const Service* Configuration::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

// Rendezvous hashing assigns every part to one store. The stores hold no
// duplicates, so their capacities add up, and each router finds what the
// requests of other routers have saved.
const Service* Configuration::FindCacheStore(uint64_t part) const {
  const Service* store = nullptr;
  uint64_t highest = 0;
  for (const auto& [name, service] : services_) {
    const std::string& address = service.cache_store_address;
    if (address.empty()) continue;
    const uint64_t rank = XXH64(address.data(), address.size(), part);
    if (store != nullptr && rank <= highest) continue;
    store = &service;
    highest = rank;
  }
  return store;
}

int64_t Configuration::CacheStoreCapacityTokens() const {
  return std::accumulate(
      services_.begin(), services_.end(), int64_t{0},
      [](int64_t sum, const auto& entry) {
        const Service& service = entry.second;
        const bool is_store = !service.cache_store_address.empty();
        return sum + (is_store ? service.kv_capacity_tokens : 0);
      });
}

const Workspace* Configuration::FindWorkspace(std::string_view key) const {
  const auto found = workspace_by_key_.find(key);
  return found == workspace_by_key_.end() ? nullptr
                                          : &workspaces_[found->second];
}

std::vector<std::pair<std::string, QuotaLimit>> Configuration::QuotaLimits()
    const {
  std::vector<std::pair<std::string, QuotaLimit>> limits;
  for (const Workspace& workspace : workspaces_) {
    if (workspace.quota) limits.emplace_back(workspace.name, *workspace.quota);
  }
  return limits;
}

std::string Configuration::CacheScope(const Workspace* workspace) const {
  if (workspace == nullptr) return shared_cache_scope_;
  // A workspace that was removed stays as it was.
  const auto is_removed = [&] {
    return std::ranges::find(workspaces_, workspace->name, &Workspace::name) ==
           workspaces_.end();
  };
  const bool is_isolated = isolated_.contains(workspace->name) ||
                           (workspace->isolated && is_removed());
  return is_isolated ? "/" + workspace->name : shared_cache_scope_;
}

const std::string& Configuration::PickService(const Route& route,
                                              uint64_t draw) {
  const uint64_t total =
      std::accumulate(route.shares.begin(), route.shares.end(), uint64_t{0},
                      [](uint64_t sum, const ServiceShare& share) {
                        return sum + share.weight;
                      });
  uint64_t point = total == 0 ? 0 : draw % total;
  const auto picked =
      std::ranges::find_if(route.shares, [&](const ServiceShare& share) {
        if (point < share.weight) return true;
        point -= share.weight;
        return false;
      });
  return picked == route.shares.end() ? route.shares.front().service
                                      : picked->service;
}

using Builder = Configuration::Builder;

Builder& Builder::Version(uint64_t version) {
  built_.version_ = version;
  return *this;
}

Builder& Builder::Limits(const HttpLimits& limits) {
  built_.limits_ = limits;
  return *this;
}

Builder& Builder::AddRoute(Route route) {
  built_.routes_.push_back(std::move(route));
  return *this;
}

Builder& Builder::AddService(Service service) {
  std::string name = service.name;
  built_.services_.insert_or_assign(std::move(name), std::move(service));
  return *this;
}

Builder& Builder::AddWorkspace(Workspace workspace,
                               const std::vector<std::string>& keys) {
  const size_t index = built_.workspaces_.size();
  if (workspace.isolated) built_.isolated_.insert(workspace.name);
  built_.workspaces_.push_back(std::move(workspace));
  for (const std::string& key : keys) built_.workspace_by_key_[key] = index;
  built_.requires_keys_ = true;
  return *this;
}

Builder& Builder::RequireKeys() {
  built_.requires_keys_ = true;
  return *this;
}

Configuration Builder::Build() {
  for (size_t i = 0; i < built_.routes_.size(); ++i) {
    built_.routes_by_host_[built_.routes_[i].host].push_back(i);
  }
  for (auto& [host, indexes] : built_.routes_by_host_) {
    std::ranges::stable_sort(indexes, std::ranges::greater{}, [&](size_t i) {
      return built_.routes_[i].path_prefix.size();
    });
  }
  built_.shared_cache_scope_ = SharedCacheScope(built_.isolated_);
  return std::exchange(built_, {});
}

}  // namespace dogwoodlatch::serving
