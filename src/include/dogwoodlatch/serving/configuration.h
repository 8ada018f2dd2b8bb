/// The active configuration: routes, services, workspaces and HTTP limits.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/quota_limit.h"

namespace dogwoodlatch::serving {

/// Whether requests of a route may be repeated.
enum class RouteKind {
  kIdempotent,     ///< may run any number of times
  kNonIdempotent,  ///< runs at most once for each client attempt
  kStream          ///< answered by an event stream; repeated only if resumable
};

struct ServiceShare {
  std::string service;
  uint32_t weight = 1;  ///< relative to the other shares of the route
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};    ///< longest duration of a request
  std::chrono::milliseconds objective{0};  ///< until answer or first event
  int priority = 5;                        ///< 0 is the most urgent
  std::vector<ServiceShare> shares;
  int max_attempts = 1;  ///< targets that one client attempt may run on
  bool is_public = false;
  bool carries_prompt = false;
  bool resumable = false;

  /// True if a request may run on a second target.
  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< over all callers; 0 means unlimited
  bool runs_model = false;
  int batch_slots = 0;              ///< requests decoded together
  int64_t kv_capacity_tokens = 0;   ///< of one target, or of the cache store
  std::string cache_store_address;  ///< set if this is a KV cache store
  std::string cache_store_domain;   ///< failure domain of the cache store
};

struct Workspace {
  std::string name;
  std::optional<int> priority;  ///< takes precedence over the route's
  bool isolated = false;        ///< shares no cached prompt parts with others
  std::optional<QuotaLimit> quota{};  ///< none if its use is not limited
};

struct HttpLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 4UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the configuration. Immutable once built.
class Configuration {
 public:
  class Builder;

  uint64_t version() const { return version_; }
  const HttpLimits& limits() const { return limits_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<Workspace>& workspaces() const { return workspaces_; }

  /// True if requests must carry an API key, except on public routes.
  bool requires_keys() const { return requires_keys_; }

  /// The route on `host` with the longest matching prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// Null if the service is not configured.
  const Service* FindService(std::string_view name) const;

  /// The KV cache store responsible for `part`, the same at every router; null
  /// if there is no store.
  const Service* FindCacheStore(uint64_t part) const;

  /// Total capacity of all KV cache stores, in tokens.
  int64_t CacheStoreCapacityTokens() const;

  /// The workspace that owns the API key `key`, or null.
  const Workspace* FindWorkspace(std::string_view key) const;

  /// The workspaces whose use is limited.
  std::vector<std::pair<std::string, QuotaLimit>> QuotaLimits() const;

  /// Name of the scope within which requests of `workspace` share cached prompt
  /// parts: its own if it is isolated, else that of all others. It depends only
  /// on which workspaces are isolated. `workspace` may be of an earlier
  /// version, or null for requests without a key.
  std::string CacheScope(const Workspace* workspace) const;

  /// The service for a request of this route. `draw` is a random number that
  /// spreads requests over the route's shares by weight; the same draw gives
  /// the same service.
  static const std::string& PickService(const Route& route, uint64_t draw);

 private:
  struct StringHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  template <typename T>
  using ByName =
      std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

  uint64_t version_ = 0;
  HttpLimits limits_;
  std::vector<Route> routes_;
  std::vector<Workspace> workspaces_;
  std::set<std::string, std::less<>> isolated_;  ///< names of workspaces
  std::string shared_cache_scope_;               ///< of all that are not
  bool requires_keys_ = false;
  ByName<std::vector<size_t>> routes_by_host_;  ///< longest prefix first
  ByName<Service> services_;
  ByName<size_t> workspace_by_key_;
};

class Configuration::Builder {
 public:
  Builder& Version(uint64_t version);
  Builder& Limits(const HttpLimits& limits);
  Builder& AddRoute(Route route);
  Builder& AddService(Service service);
  Builder& AddWorkspace(Workspace workspace,
                        const std::vector<std::string>& keys);

  /// Makes API keys mandatory, even if no workspace is added.
  Builder& RequireKeys();

  /// Returns the configuration; the builder is empty afterwards.
  Configuration Build();

 private:
  Configuration built_;
};

}  // namespace dogwoodlatch::serving
