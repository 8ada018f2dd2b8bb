#include "policy_simulation.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace dogwoodlatch::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTraceTime = seconds(300);
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kFaultInterval = seconds(60);
constexpr Duration kFirstFaultTime = seconds(30);
constexpr Duration kCrashDuration = seconds(5);
constexpr Duration kDomainLossDuration = seconds(20);
constexpr Duration kEventLag = milliseconds(100);
constexpr Duration kLoadPeriod = milliseconds(50);
constexpr Duration kFirstTokenDeadline = seconds(5);
constexpr Duration kDecodeTime = milliseconds(640);
constexpr Duration kSameDomainRoundTrip = std::chrono::microseconds(300);
constexpr Duration kCrossDomainRoundTrip = milliseconds(3);
constexpr Duration kConnectTimeout = milliseconds(20);
// Time for which a router does not use a replica after a failed connect.
constexpr Duration kDownTime = seconds(1);
constexpr int kMaxAttempts = 4;
constexpr size_t kCacheCapacityPieces = 128;

const standin::EngineParameters kEngine = {
    .cache_pieces = kCacheCapacityPieces,
    .piece_tokens = kPieceTokens,
    .prefill_tokens_per_second = 20000,
};

RequestId ToRunId(const SimRequest& request) {
  return {std::to_string(request.id)};
}

WorkspaceId ToWorkspaceId(const SimRequest& request) {
  return {std::to_string(request.workspace)};
}

struct Replica {
  standin::EngineModel model{kEngine};
  PrefillScheduler scheduler{AdmissionLimits{}};
  CacheEpoch cache_epoch;
  bool is_alive = true;
  uint64_t boot = 0;       // number of the incarnation
  uint64_t published = 0;  // sequence of the last event put on the stream
  std::unordered_map<uint64_t, const SimRequest*> awaiting_first_token;
  // Samples of the tokens queued and in the engine, oldest first.
  std::deque<std::pair<TimePoint, uint64_t>> loads;
};

struct Router {
  std::unique_ptr<Policy> policy;
  std::vector<TimePoint> down_until = std::vector<TimePoint>(kReplicaCount);
};

class Simulation : public FleetView {
 public:
  Simulation(const Deployment& deployment, const Scenario& scenario,
             const PolicyFactory& make_policy, uint64_t seed)
      : deployment_(deployment),
        scenario_(scenario),
        make_policy_(make_policy),
        random_(seed),
        trace_(GenerateTrace(
            deployment,
            {scenario.load, scenario.shift_interval, kTraceTime, seed},
            kRouterCount)),
        replicas_(kReplicaCount),
        routers_(kRouterCount) {
    for (size_t i = 0; i < kReplicaCount; ++i) {
      targets_.push_back(MakeTarget(i));
      StartIncarnation(i, 0);
    }
    StartRouters();
  }

  SimulationResult Run() {
    for (const SimRequest& request : trace_) {
      ScheduleAt(request.arrival, [this, &request] { Route(request, 0, {}); });
    }
    ScheduleFaults();
    SampleLoads();
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    result_.seconds =
        std::chrono::duration<double>(kTraceTime - kWarmUp).count();
    return std::move(result_);
  }

  std::span<const TargetEntry> targets() const override { return targets_; }

  std::optional<ProbeReply> ProbeAgent(size_t i,
                                       const Probe& probe) const override {
    const Replica& replica = replicas_[i];
    if (!replica.is_alive) return std::nullopt;
    ProbeReply reply;
    replica.scheduler.FillReply(probe, reply);
    reply.prefill_tokens_per_second = kEngine.prefill_tokens_per_second;
    return reply;
  }

  uint64_t PublishedLoad(size_t i) const override {
    const auto& loads = replicas_[i].loads;
    const auto newest_published = std::ranges::find_if(
        loads.rbegin(), loads.rend(), [this](const auto& sample) {
          return sample.first + scenario_.load_lag <= now_;
        });
    return newest_published == loads.rend() ? 0 : newest_published->second;
  }

  uint32_t ActualCachedPieces(size_t i,
                              std::span<const PieceKey> keys) const override {
    return replicas_[i].model.CachedPieces(keys);
  }

 private:
  struct Event {
    TimePoint time;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  void ScheduleAt(TimePoint time, std::function<void()> action) {
    events_.push({time, ++order_, std::move(action)});
  }

  TargetEntry MakeTarget(size_t i) const {
    TargetEntry target;
    target.id.value = "replica-" + std::to_string(i);
    target.failure_domain = DomainOf(i);
    return target;
  }

  std::string DomainOf(size_t i) const {
    return std::string(
        1, static_cast<char>('a' + i % deployment_.failure_domains));
  }

  void StartRouters() {
    for (size_t i = 0; i < kRouterCount; ++i) {
      routers_[i] = Router{};
      routers_[i].policy = make_policy_(deployment_, i);
    }
  }

  bool IsMeasured(const SimRequest& request) const {
    return request.arrival.time_since_epoch() >= kWarmUp;
  }

  // The router of a lost failure domain is down too; callers use the next one.
  size_t RouterFor(const SimRequest& request) const {
    const bool is_lost = DomainOf(request.router) == lost_domain_;
    return is_lost ? (request.router + 1) % kRouterCount : request.router;
  }

  void Route(const SimRequest& request, int attempt,
             const std::vector<size_t>& avoid) {
    if (attempt == 0 && IsMeasured(request)) {
      ++result_.requests;
      ++result_.workspaces[request.workspace].offered;
    }
    const size_t router_index = RouterFor(request);
    Router& router = routers_[router_index];
    std::vector<size_t> usable;
    for (size_t i = 0; i < kReplicaCount; ++i) {
      const bool is_avoided = std::ranges::find(avoid, i) != avoid.end();
      if (!is_avoided && router.down_until[i] <= now_) usable.push_back(i);
    }
    const std::optional<Choice> choice =
        usable.empty() ? std::nullopt
                       : router.policy->Choose(*this, request, usable, now_);
    if (!choice || attempt >= kMaxAttempts) {
      if (IsMeasured(request)) ++result_.lost;
      return;
    }
    router.policy->OnSent(choice->replica);
    const Duration one_way_delay =
        RoundTrip(DomainOf(router_index),
                  targets_[choice->replica].failure_domain) /
        2;
    ScheduleAt(now_ + choice->decision_time + one_way_delay,
               [this, &request, attempt, avoid, choice, router_index] {
                 Submit(request, attempt, avoid, choice->replica, router_index);
               });
  }

  void Submit(const SimRequest& request, int attempt, std::vector<size_t> avoid,
              size_t i, size_t router_index) {
    Replica& replica = replicas_[i];
    if (!replica.is_alive) {
      ScheduleAt(now_ + kConnectTimeout,
                 [this, &request, attempt, avoid, i, router_index]() mutable {
                   routers_[router_index].down_until[i] = now_ + kDownTime;
                   routers_[router_index].policy->OnEnded(i);
                   avoid.push_back(i);
                   Route(request, attempt + 1, avoid);
                 });
      return;
    }
    const PrefillRequest prefill_request = {
        ToRunId(request),
        ToWorkspaceId(request),
        1,
        0,
        request.pieces,
        request.prompt_tokens,
        kPieceTokens,
        request.arrival + kFirstTokenDeadline};
    if (replica.scheduler.Offer(prefill_request, now_)) {
      routers_[router_index].policy->OnEnded(i);
      if (IsMeasured(request)) ++result_.shed;
      return;
    }
    replica.awaiting_first_token[request.id] = &request;
    router_by_request_[request.id] = router_index;
    DispatchPrefills(i);
  }

  void DispatchPrefills(size_t i) {
    Replica& replica = replicas_[i];
    while (const std::optional<PrefillDispatch> dispatch =
               replica.scheduler.Take(now_)) {
      const std::string& run_id = dispatch->run_id.value;
      const SimRequest& request =
          *replica.awaiting_first_token.at(std::stoull(run_id));
      if (dispatch->shed) {
        ShedQueued(request, i);
        continue;
      }
      const uint32_t cached_elsewhere = BestCachedElsewhere(i, request);
      const standin::PrefillPlan plan = replica.model.Admit(
          run_id, request.pieces, request.prompt_tokens, now_);
      CountPrefill(request, plan, cached_elsewhere);
      PublishEvents(i);
      ScheduleAt(plan.first_token, [this, &request, i, boot = replica.boot] {
        if (replicas_[i].boot == boot) OnFirstToken(request, i);
      });
    }
  }

  void ShedQueued(const SimRequest& request, size_t i) {
    replicas_[i].awaiting_first_token.erase(request.id);
    routers_[router_by_request_[request.id]].policy->OnEnded(i);
    if (IsMeasured(request)) ++result_.shed;
  }

  uint32_t BestCachedElsewhere(size_t own, const SimRequest& request) const {
    uint32_t best = 0;
    for (size_t i = 0; i < kReplicaCount; ++i) {
      if (i == own || !replicas_[i].is_alive) continue;
      best = std::max(best, ActualCachedPieces(i, request.pieces));
    }
    return best;
  }

  void CountPrefill(const SimRequest& request, const standin::PrefillPlan& plan,
                    uint32_t cached_elsewhere) {
    if (!IsMeasured(request)) return;
    const uint32_t wasted =
        cached_elsewhere - std::min(cached_elsewhere, plan.cached_pieces);
    SimulationResult::WorkspaceCounts& workspace =
        result_.workspaces[request.workspace];
    ++workspace.served;
    workspace.computed_tokens += plan.computed_tokens;
    result_.prompt_tokens += request.prompt_tokens;
    result_.computed_tokens += plan.computed_tokens;
    result_.cached_tokens += request.prompt_tokens - plan.computed_tokens;
    result_.wasted_tokens += uint64_t{wasted} * kPieceTokens;
  }

  void OnFirstToken(const SimRequest& request, size_t i) {
    Replica& replica = replicas_[i];
    const RequestId run_id = ToRunId(request);
    replica.awaiting_first_token.erase(request.id);
    replica.scheduler.OnPrefilled(run_id);
    routers_[router_by_request_[request.id]].policy->OnEnded(i);
    ScheduleAt(now_ + kDecodeTime, [this, run_id, i, boot = replica.boot] {
      if (replicas_[i].boot == boot) replicas_[i].scheduler.OnEnded(run_id);
    });
    DispatchPrefills(i);
    if (!IsMeasured(request)) return;
    const Duration first_token_delay = now_ - request.arrival;
    result_.first_token.push_back(first_token_delay);
    if (first_token_delay > kFirstTokenDeadline) return;
    ++result_.in_time;
  }

  void PublishEvents(size_t i) {
    Replica& replica = replicas_[i];
    std::bernoulli_distribution is_lost(scenario_.event_loss);
    for (const standin::CacheEvent& event :
         replica.model.EventsAfter(replica.published)) {
      replica.published = event.sequence;
      if (is_lost(random_)) continue;
      const CacheNotice notice = {event.sequence,
                                  static_cast<CacheChange>(event.kind),
                                  event.blocks, event.request_id};
      ScheduleAt(now_ + kEventLag, [this, i, notice, boot = replica.boot] {
        Replica& target = replicas_[i];
        if (target.boot != boot) return;
        target.scheduler.Apply(target.cache_epoch, std::span(&notice, 1));
      });
    }
  }

  void SampleLoads() {
    for (Replica& replica : replicas_) {
      const AdmissionQueue& queue = replica.scheduler.queue();
      replica.loads.emplace_back(now_,
                                 queue.engine_tokens() + queue.queued_tokens());
      while (replica.loads.front().first + scenario_.load_lag +
                 kLoadPeriod * 2 <
             now_) {
        replica.loads.pop_front();
      }
    }
    if (now_.time_since_epoch() < kTraceTime) {
      ScheduleAt(now_ + kLoadPeriod, [this] { SampleLoads(); });
    }
  }

  void ScheduleFaults() {
    if (scenario_.fault == Fault::kNone) return;
    for (Duration at = kFirstFaultTime; at < kTraceTime; at += kFaultInterval) {
      ScheduleAt(TimePoint(at), [this] { StartFault(); });
    }
  }

  void StartFault() {
    const size_t victim = faults_++;
    if (scenario_.fault == Fault::kRoutersRestart) return StartRouters();
    if (scenario_.fault == Fault::kReplicaCrash) {
      CrashReplica(victim % kReplicaCount);
      ScheduleAt(now_ + kCrashDuration,
                 [this, victim] { RestoreReplica(victim % kReplicaCount); });
      return;
    }
    lost_domain_ = DomainOf(victim);
    for (size_t i = 0; i < kReplicaCount; ++i) {
      if (DomainOf(i) != lost_domain_) continue;
      CrashReplica(i);
      ScheduleAt(now_ + kDomainLossDuration, [this, i] { RestoreReplica(i); });
    }
    ScheduleAt(now_ + kDomainLossDuration, [this] { lost_domain_.clear(); });
  }

  void CrashReplica(size_t i) {
    const uint64_t boot = replicas_[i].boot + 1;
    const auto awaiting_first_token =
        std::move(replicas_[i].awaiting_first_token);
    replicas_[i] = Replica{};
    replicas_[i].is_alive = false;
    StartIncarnation(i, boot);
    for (const auto& [id, request] : awaiting_first_token) {
      routers_[router_by_request_[id]].policy->OnEnded(i);
      ScheduleAt(now_ + kConnectTimeout,
                 [this, request = request, i] { Route(*request, 1, {i}); });
    }
  }

  void StartIncarnation(size_t i, uint64_t boot) {
    Replica& replica = replicas_[i];
    replica.boot = boot;
    replica.cache_epoch = {std::to_string(i) + "/" + std::to_string(boot), "1"};
    replica.scheduler.SetEngine(replica.cache_epoch,
                                kEngine.prefill_tokens_per_second);
  }

  void RestoreReplica(size_t i) { replicas_[i].is_alive = true; }

  const Deployment& deployment_;
  const Scenario& scenario_;
  const PolicyFactory& make_policy_;
  std::mt19937_64 random_;
  std::vector<SimRequest> trace_;
  std::vector<TargetEntry> targets_;
  std::vector<Replica> replicas_;
  std::vector<Router> routers_;
  std::unordered_map<uint64_t, size_t> router_by_request_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 0;
  size_t faults_ = 0;
  std::string lost_domain_;
  TimePoint now_{};
  SimulationResult result_;
};

}  // namespace

Probe MakeProbe(const SimRequest& request) { return {0, request.pieces}; }

Duration RoundTrip(std::string_view router_domain,
                   std::string_view replica_domain) {
  return router_domain == replica_domain ? kSameDomainRoundTrip
                                         : kCrossDomainRoundTrip;
}

SimulationResult Simulate(const Deployment& deployment,
                          const Scenario& scenario,
                          const PolicyFactory& make_policy, uint64_t seed) {
  return Simulation(deployment, scenario, make_policy, seed).Run();
}

}  // namespace dogwoodlatch::bench
