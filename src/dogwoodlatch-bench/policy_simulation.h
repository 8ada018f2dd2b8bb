// Discrete-event simulation of replicas, their agents' decision code and
// several routers.
#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/prefill_scheduler.h"
#include "dogwoodlatch/standin/engine_model.h"
#include "policy_workload.h"

namespace dogwoodlatch::bench {

inline constexpr size_t kReplicaCount = 10;
inline constexpr size_t kRouterCount = 4;

enum class Fault { kNone, kReplicaCrash, kDomainLost, kRoutersRestart };

struct Scenario {
  std::string_view name;
  double load = 0.8;
  Duration shift_interval{0};
  Fault fault = Fault::kNone;
  double event_loss = 0;  // share of cache events that are lost
  Duration load_lag = std::chrono::milliseconds(200);
};

// State that policies can read. Each policy reads only what a router with that
// policy would know.
class FleetView {
 public:
  virtual ~FleetView() = default;
  virtual std::span<const TargetEntry> targets() const = 0;
  // Returns the agent's reply, or nothing if the replica is down.
  virtual std::optional<ProbeReply> ProbeAgent(size_t replica,
                                               const Probe& probe) const = 0;
  // Returns the load in tokens, queued and in the engine, as last published.
  virtual uint64_t PublishedLoad(size_t replica) const = 0;
  virtual uint32_t ActualCachedPieces(size_t replica,
                                      std::span<const PieceKey> keys) const = 0;
};

struct Choice {
  size_t replica = 0;
  Duration decision_time{0};
};

// The routing policy of one router. Routers share no state.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual std::optional<Choice> Choose(const FleetView& fleet,
                                       const SimRequest& request,
                                       std::span<const size_t> usable,
                                       TimePoint now) = 0;
  virtual void OnSent(size_t) {}
  virtual void OnEnded(size_t) {}
};

Probe MakeProbe(const SimRequest& request);

// Returns the round-trip time between a router and a replica's agent in the
// given failure domains.
Duration RoundTrip(std::string_view router_domain,
                   std::string_view replica_domain);

struct SimulationResult {
  uint64_t requests = 0;
  uint64_t in_time = 0;
  uint64_t shed = 0;
  uint64_t lost = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t computed_tokens = 0;
  uint64_t wasted_tokens = 0;
  double seconds = 0;
  std::vector<Duration> first_token;  // times to first token of served requests
  struct WorkspaceCounts {
    uint64_t offered = 0;
    uint64_t served = 0;
    uint64_t computed_tokens = 0;
  };
  std::vector<WorkspaceCounts> workspaces =
      std::vector<WorkspaceCounts>(kWorkspaceCount);
};

using PolicyFactory =
    std::function<std::unique_ptr<Policy>(const Deployment&, size_t router)>;

SimulationResult Simulate(const Deployment& deployment,
                          const Scenario& scenario,
                          const PolicyFactory& make_policy, uint64_t seed);

}  // namespace dogwoodlatch::bench
