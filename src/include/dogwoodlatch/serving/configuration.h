/// The configuration in force: routes, services, workspaces and door limits.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dogwoodlatch::serving {

/// What may be repeated.
enum class RouteKind {
  kIdempotent,     ///< may run any number of times
  kNonIdempotent,  ///< runs at most once for each client attempt
  kStream          ///< answered by events; repeated only if resumable
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
  std::chrono::milliseconds timeout{0};    ///< longest wait of a request
  std::chrono::milliseconds objective{0};  ///< answer or first event due
  int priority = 5;                        ///< 0 is the most urgent
  std::vector<ServiceShare> shares;
  int max_attempts = 1;  ///< targets that one client attempt may reach
  bool is_public = false;
  bool carries_prompt = false;
  bool resumable = false;

  /// True when a request may run on a second target.
  bool MayRepeat() const {
    return kind == RouteKind::kIdempotent ||
           (kind == RouteKind::kStream && resumable);
  }
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  ///< of all callers together; 0 is unlimited
  bool runs_model = false;
  int batch_slots = 0;              ///< requests decoded together
  int64_t kv_capacity_tokens = 0;   ///< memory of one target, or of the store
  std::string cache_store_address;  ///< set when this is a KV cache store
  std::string cache_store_domain;   ///< failure domain of that store
};

struct Workspace {
  std::string name;
  std::optional<int> priority;  ///< takes precedence over the route's
  bool isolated = false;        ///< shares no cached prompt part
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

  /// True when requests must carry a key, except on public routes.
  bool requires_keys() const { return requires_keys_; }

  /// The route with the longest prefix of `path` on `host`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// Null when the service is not configured.
  const Service* FindService(std::string_view name) const;

  /// The KV cache store that keeps `part`, the same for all routers; null when
  /// there is none.
  const Service* FindCacheStore(uint64_t part) const;

  /// Tokens that all KV cache stores keep together.
  int64_t CacheStoreCapacityTokens() const;

  /// The workspace that holds `key`, or null.
  const Workspace* FindWorkspace(std::string_view key) const;

  /// The service that takes a request of this route. `draw` spreads requests
  /// over the route's shares; the same draw gives the same service.
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

  /// Requests need a key from now on, even if no workspace was added.
  Builder& RequireKeys();
  /// Ends the building; the builder is empty afterwards.
  Configuration Build();

 private:
  Configuration built_;
};

}  // namespace dogwoodlatch::serving
