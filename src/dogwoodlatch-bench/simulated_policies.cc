#include "simulated_policies.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "dogwoodlatch/prefix_key.h"
#include "dogwoodlatch/routing.h"

namespace dogwoodlatch::bench {
namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(5);

class RoundRobinPolicy : public Policy {
 public:
  std::optional<Choice> Choose(const FleetView&, const SimRequest&,
                               std::span<const size_t> usable,
                               TimePoint) override {
    return Choice{usable[next_++ % usable.size()], Duration(0)};
  }

 private:
  size_t next_ = 0;
};

// Picks the replica with the lowest published load. Ties are broken in rotating
// order.
class LeastLoadedPolicy : public Policy {
 public:
  std::optional<Choice> Choose(const FleetView& fleet, const SimRequest&,
                               std::span<const size_t> usable,
                               TimePoint) override {
    const size_t start = next_++;
    const auto rank = [&](size_t i) {
      return std::pair(fleet.PublishedLoad(i), (i + start) % kReplicaCount);
    };
    return Choice{*std::ranges::min_element(usable, {}, rank), Duration(0)};
  }

 private:
  size_t next_ = 0;
};

// Rendezvous hashing of the prompt prefix with bounded loads: skips replicas
// that have reached their bound of this router's requests in flight.
class PrefixHashPolicy : public Policy {
 public:
  explicit PrefixHashPolicy(size_t depth) : depth_(depth) {}

  std::optional<Choice> Choose(const FleetView& fleet,
                               const SimRequest& request,
                               std::span<const size_t> usable,
                               TimePoint) override {
    const size_t depth = std::min(depth_, request.pieces.size());
    const std::string key = std::to_string(request.pieces[depth - 1]);
    std::vector<size_t> ranked(usable.begin(), usable.end());
    std::ranges::sort(ranked, std::greater(), [&](size_t i) {
      return ComputeDigest({fleet.targets()[i].id.value, key});
    });
    const double average =
        static_cast<double>(total_ + 1) / static_cast<double>(usable.size());
    const auto bound = static_cast<uint32_t>(std::ceil(kLoadFactor * average));
    const auto found = std::ranges::find_if(
        ranked, [&](size_t i) { return in_flight_[i] < bound; });
    return Choice{found == ranked.end() ? ranked.front() : *found, Duration(0)};
  }

  void OnSent(size_t replica) override {
    ++in_flight_[replica];
    ++total_;
  }

  void OnEnded(size_t replica) override {
    if (in_flight_[replica] == 0) return;
    --in_flight_[replica];
    --total_;
  }

 private:
  static constexpr double kLoadFactor = 1.25;

  size_t depth_;
  std::vector<uint32_t> in_flight_ = std::vector<uint32_t>(kReplicaCount);
  uint32_t total_ = 0;
};

PromptShape MakePromptShape(const SimRequest& request) {
  return {request.pieces, request.prompt_tokens, kPieceTokens};
}

RoutingPolicy MakeRoutingPolicy(const Deployment& deployment, size_t router) {
  RoutingPolicy policy;
  policy.recompute_weight = deployment.recompute_weight;
  policy.failure_domain = std::string(
      1, static_cast<char>('a' + router % deployment.failure_domains));
  return policy;
}

// Runs the router's own decision code.
class ProbePolicy : public Policy {
 public:
  ProbePolicy(const Deployment& deployment, size_t router)
      : policy_(MakeRoutingPolicy(deployment, router)) {}

  std::optional<Choice> Choose(const FleetView& fleet,
                               const SimRequest& request,
                               std::span<const size_t> usable,
                               TimePoint) override {
    std::vector<const TargetEntry*> serving;
    for (const size_t i : usable) serving.push_back(&fleet.targets()[i]);
    const PromptShape prompt = MakePromptShape(request);
    const Probe probe = MakeProbe(request);
    std::vector<ProbedTarget> probed;
    std::vector<size_t> replica_of;
    Duration slowest{0};
    for (const TargetId& id : PickCandidates(serving, prompt, policy_)) {
      const auto target =
          std::ranges::find(fleet.targets(), id, &TargetEntry::id);
      const auto i = static_cast<size_t>(target - fleet.targets().begin());
      const std::optional<ProbeReply> reply = fleet.ProbeAgent(i, probe);
      const Duration round_trip =
          reply ? RoundTrip(policy_.failure_domain, target->failure_domain)
                : kProbeTimeout;
      slowest = std::max(slowest, round_trip);
      if (!reply) continue;
      probed.push_back({id, *reply, round_trip});
      replica_of.push_back(i);
    }
    const std::optional<size_t> best = ChooseTarget(probed, prompt, policy_);
    if (!best) return std::nullopt;
    return Choice{replica_of[*best], slowest};
  }

 private:
  RoutingPolicy policy_;
};

// Chooses with exact, undelayed knowledge of every cache and queue.
class OmniscientPolicy : public Policy {
 public:
  explicit OmniscientPolicy(const Deployment& deployment)
      : policy_(MakeRoutingPolicy(deployment, 0)) {}

  std::optional<Choice> Choose(const FleetView& fleet,
                               const SimRequest& request,
                               std::span<const size_t> usable,
                               TimePoint) override {
    const Probe probe = MakeProbe(request);
    std::vector<ProbedTarget> probed;
    std::vector<size_t> replica_of;
    for (const size_t i : usable) {
      std::optional<ProbeReply> reply = fleet.ProbeAgent(i, probe);
      if (!reply) continue;
      reply->cached_pieces = fleet.ActualCachedPieces(i, request.pieces);
      reply->pending_pieces =
          std::max(reply->pending_pieces, reply->cached_pieces);
      probed.push_back({fleet.targets()[i].id, *reply});
      replica_of.push_back(i);
    }
    const std::optional<size_t> best =
        ChooseTarget(probed, MakePromptShape(request), policy_);
    if (!best) return std::nullopt;
    return Choice{replica_of[*best], Duration(0)};
  }

 private:
  RoutingPolicy policy_;
};

// Returns the number of pieces in the first `levels` levels.
size_t CountPiecesOfLevels(const Deployment& deployment, size_t levels) {
  return std::accumulate(
      deployment.levels.begin(),
      deployment.levels.begin() + static_cast<std::ptrdiff_t>(levels),
      size_t{0},
      [](size_t sum, const PromptLevel& level) { return sum + level.pieces; });
}

}  // namespace

std::span<const NamedPolicy> Policies() {
  static const std::vector<NamedPolicy> policies = {
      {"round-robin", true,
       [](const Deployment&, size_t) {
         return std::make_unique<RoundRobinPolicy>();
       }},
      {"least-loaded", true,
       [](const Deployment&, size_t) {
         return std::make_unique<LeastLoadedPolicy>();
       }},
      {"hash-level-2", true,
       [](const Deployment& deployment, size_t) {
         return std::make_unique<PrefixHashPolicy>(
             CountPiecesOfLevels(deployment, 2));
       }},
      {"hash-level-3", true,
       [](const Deployment& deployment, size_t) {
         return std::make_unique<PrefixHashPolicy>(
             CountPiecesOfLevels(deployment, 3));
       }},
      {"probe", false,
       [](const Deployment& deployment, size_t router) {
         return std::make_unique<ProbePolicy>(deployment, router);
       }},
      {"omniscient", false,
       [](const Deployment& deployment, size_t) {
         return std::make_unique<OmniscientPolicy>(deployment);
       }},
  };
  return policies;
}

}  // namespace dogwoodlatch::bench
