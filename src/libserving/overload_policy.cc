#include "dogwoodlatch/serving/overload_policy.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "dogwoodlatch/serving/admission.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

// A kind that has not arrived for this time needs no room.
constexpr Duration kKindMemory = std::chrono::seconds(2);

// Share of a more urgent kind's wait limit up to which others may fill the
// targets. The rest absorbs bursts of the more urgent kind.
constexpr double kLessUrgentShare = 0.75;

// Share of the objective that is left for the network and the first decode
// step when a request waits behind less urgent ones, which its target may let
// it pass.
constexpr double kNetworkShare = 0.1;

// The accepted wait falls from the whole limit to kFreeWaitShare of it while
// the work of a workspace grows between these multiples of its fair share. One
// that asks for less than its share thus finds room that others leave.
constexpr double kMinShareUsed = 0.5;
constexpr double kMaxShareUsed = 1.1;

// Sums decay at this rate at every router alike, so that offered and admitted
// work differ by rounding alone if nothing was refused.
constexpr double kRoundingMargin = 1.001;

// Dividing the work among thousands of workspaces takes some 100 us, which is
// too long for every decision.
constexpr Duration kFairSharePeriod = milliseconds(200);
constexpr Duration kFairSharePeriodEach = std::chrono::microseconds(500);
constexpr double kNegligibleWorkMs = 0.01;
constexpr int kMaxFillingSteps = 64;

// A request costs something even if all of its prompt is cached.
constexpr double kMinWorkMs = 1.0;

// Callers follow a Retry-After of up to a third of the time that they have
// left. The returns are spread over a quarter.
constexpr int kMaxRetryAfterDivisor = 3;
constexpr int kSpreadDivisor = 4;

// The delay that the present backlog asks for varies by this much.
constexpr double kMinDelayFactor = 0.7;
constexpr double kDelayFactorRange = 0.6;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

void DecayingSum::Add(double amount, TimePoint now) {
  value_ = Value(now) + amount;
  at_ = now;
}

double DecayingSum::Value(TimePoint now) const {
  if (value_ == 0 || now <= at_) return value_;
  return value_ * std::exp(-ToMs(now - at_) / ToMs(kMemory));
}

std::string_view ToString(OverloadReason reason) {
  switch (reason) {
    case OverloadReason::kNone:
      return "none";
    case OverloadReason::kDeadline:
      return "deadline";
    case OverloadReason::kObjective:
      return "objective";
    case OverloadReason::kPriority:
      return "priority";
    case OverloadReason::kFairShare:
      return "fair_share";
  }
  return "unknown";
}

double OverloadPolicy::Kind::MeanWorkMs(TimePoint now) const {
  const double count = requests.Value(now);
  return count > 0 ? offered.Value(now) / count : 0;
}

OverloadPolicy::Kind& OverloadPolicy::Service::KindOf(
    const OverloadRequest& request, TimePoint now) {
  const auto found = std::ranges::find_if(kinds, [&](const Kind& kind) {
    return kind.priority == request.priority &&
           kind.objective == request.objective;
  });
  if (found != kinds.end()) return *found;
  std::erase_if(kinds, [&](const Kind& kind) {
    return now - kind.last_seen > kKindMemory;
  });
  return kinds.emplace_back(
      Kind{.priority = request.priority, .objective = request.objective});
}

Duration OverloadPolicy::Service::MeanWork(TimePoint now) const {
  const double count = requests.Value(now);
  return FromMs(count > 0 ? offered.Value(now) / count : 0);
}

bool OverloadPolicy::Service::IsBelowMinimum(const Kind& kind,
                                             TimePoint now) const {
  const double kind_ms = kind.admitted.Value(now);
  return kind_ms < kMinKindShare * admitted.Value(now) &&
         kind_ms * kRoundingMargin < kind.offered.Value(now);
}

// A target that has work for at least one mean request does not run idle before
// the next request arrives.
Duration OverloadPolicy::Service::FreeWait(TimePoint now) const {
  Duration smallest = Duration::max();
  for (const Kind& kind : kinds) {
    const auto limit = MaxQueueWait(kind.objective);
    if (limit && now - kind.last_seen <= kKindMemory) {
      smallest = std::min(smallest, *limit);
    }
  }
  return std::max(MeanWork(now), Scale(smallest, kFreeWaitShare));
}

OverloadPolicy::Usage& OverloadPolicy::PriorityClass::UsageOf(
    std::string_view workspace, TimePoint now) {
  const auto found = usages.find(workspace);
  if (found != usages.end()) return found->second;
  if (usages.size() >= kMaxWorkspaces) {
    std::erase_if(usages, [&](const auto& entry) {
      return entry.second.offered.Value(now) < kNegligibleWorkMs;
    });
    if (usages.size() >= kMaxWorkspaces) usages.clear();
  }
  return usages[std::string(workspace)];
}

// Divides the admitted work as if it had been divided fairly: a workspace that
// asks for less than its share gets what it asks for, and the others share the
// rest. Each step of the last loop serves at least one more workspace in full.
void OverloadPolicy::PriorityClass::UpdateFairWork(TimePoint now) {
  if (now < next_update) return;
  next_update = now + kFairSharePeriod + kFairSharePeriodEach * usages.size();
  fair_work_ms.reset();
  struct Demand {
    double work_ms;
    double weight;
  };
  std::vector<Demand> demands;
  demands.reserve(usages.size());
  double demanded = 0;
  double left = 0;
  double weights = 0;
  for (auto entry = usages.begin(); entry != usages.end();) {
    const Usage& usage = entry->second;
    const double work_ms = usage.offered.Value(now);
    if (work_ms < kNegligibleWorkMs) {
      entry = usages.erase(entry);
      continue;
    }
    demands.push_back({work_ms, usage.weight});
    demanded += work_ms;
    left += usage.admitted.Value(now);
    weights += usage.weight;
    ++entry;
  }
  if (demands.size() < 2 || demanded <= left * kRoundingMargin) return;
  double level = left / weights;
  for (int step = 0; step < kMaxFillingSteps; ++step) {
    const auto satisfied = std::partition(
        demands.begin(), demands.end(), [&](const Demand& demand) {
          return demand.work_ms > level * demand.weight;
        });
    if (satisfied == demands.end() || satisfied == demands.begin()) break;
    std::for_each(satisfied, demands.end(), [&](const Demand& demand) {
      left -= demand.work_ms;
      weights -= demand.weight;
    });
    demands.erase(satisfied, demands.end());
    level = left / weights;
  }
  fair_work_ms = level;
}

// Less urgent than a kind is one of a higher priority number and, of the same
// number, one that has a longer objective and costs more: refusing it frees
// the room of several requests that would be late behind it. A kind of a longer
// objective that costs less gives way only while the other has no minimum.
Duration OverloadPolicy::LimitForKind(const Service& service, const Kind& kind,
                                      Duration own_limit, Duration prefill,
                                      TimePoint now) {
  const bool has_minimum = !service.IsBelowMinimum(kind, now);
  const Duration mean_work = service.MeanWork(now);
  Duration limit = own_limit;
  double less_urgent_ms = 0;
  for (const Kind& other : service.kinds) {
    const auto other_limit = MaxQueueWait(other.objective);
    if (&other == &kind || !other_limit ||
        now - other.last_seen > kKindMemory) {
      continue;
    }
    if (other.priority > kind.priority) {
      less_urgent_ms += other.admitted.Value(now);
    } else if (!has_minimum) {
      continue;
    } else if (other.priority < kind.priority) {
      limit = std::min(
          limit, std::max(Scale(*other_limit, kLessUrgentShare), mean_work));
    } else if (other.objective < kind.objective &&
               (other.MeanWorkMs(now) < kind.MeanWorkMs(now) ||
                service.IsBelowMinimum(other, now))) {
      limit = std::min(limit, std::max(*other_limit, mean_work));
    }
  }
  const double admitted_ms = service.admitted.Value(now);
  if (limit < own_limit || less_urgent_ms <= 0 || admitted_ms <= 0) {
    return limit;
  }
  // Targets run the more urgent of the requests that wait there first, so this
  // part of the wait is not that of the request. It is still sent only if it
  // would be on time at a target that does not.
  const double share = std::min(1.0, less_urgent_ms / admitted_ms);
  const Duration latest = Scale(kind.objective, 1 - kNetworkShare) - prefill;
  return std::clamp(share < 1 ? Scale(own_limit, 1 / (1 - share)) : latest,
                    own_limit, std::max(own_limit, latest));
}

// Callers that are refused at the same time return spread over a time that
// grows with the share of the work that is refused. The more urgent kinds and
// the callers that have waited longest return first.
Duration OverloadPolicy::RetryAfter(const Service& service,
                                    const OverloadRequest& request,
                                    Duration max_wait, TimePoint now) {
  const Duration base =
      Scale(std::max<Duration>(kMinRetryAfter, request.wait - max_wait),
            kMinDelayFactor + kDelayFactorRange * request.draw);
  const double offered = service.offered.Value(now);
  const double refused_share =
      offered > 0
          ? std::clamp(1 - service.admitted.Value(now) / offered, 0.0, 1.0)
          : 0;
  std::set<int> priorities;
  for (const Kind& kind : service.kinds) {
    if (now - kind.last_seen <= kKindMemory) priorities.insert(kind.priority);
  }
  const auto ahead = std::distance(priorities.begin(),
                                   priorities.upper_bound(request.priority));
  const double rank = priorities.empty()
                          ? 1.0
                          : static_cast<double>(std::max<ptrdiff_t>(ahead, 1)) /
                                static_cast<double>(priorities.size());
  const double time_share =
      request.timeout > Duration{0}
          ? std::clamp(ToMs(request.time_left) / ToMs(request.timeout), 0.0,
                       1.0)
          : 1.0;
  const Duration spread =
      Scale(request.time_left / kSpreadDivisor,
            refused_share * rank * time_share * request.draw);
  return std::min(base + spread,
                  std::max(base, request.time_left / kMaxRetryAfterDivisor));
}

OverloadDecision OverloadPolicy::Decide(const OverloadRequest& request,
                                        TimePoint now) {
  auto own_limit = MaxQueueWait(request.objective);
  if (!own_limit) return {};
  if (request.max_backlog) {
    own_limit = std::min(*own_limit, *request.max_backlog);
  }
  auto found = services_.find(request.service);
  if (found == services_.end()) {
    found = services_.emplace(request.service, Service{}).first;
  }
  Service& service = found->second;
  Kind& kind = service.KindOf(request, now);
  PriorityClass& priority_class = service.classes[request.priority];
  priority_class.UpdateFairWork(now);
  Usage& usage = priority_class.UsageOf(request.workspace, now);
  const double work_ms = std::max(kMinWorkMs, ToMs(request.prefill));
  kind.last_seen = now;
  usage.weight = request.weight;
  if (!request.is_repeat) {
    for (DecayingSum* sum : {&kind.requests, &service.requests}) {
      sum->Add(1, now);
    }
    for (DecayingSum* sum : {&kind.offered, &usage.offered, &service.offered}) {
      sum->Add(work_ms, now);
    }
  }

  OverloadDecision decision;
  const Duration kind_limit =
      LimitForKind(service, kind, *own_limit, request.prefill, now);
  if (priority_class.fair_work_ms && *priority_class.fair_work_ms > 0) {
    decision.share_used = usage.admitted.Value(now) /
                          (*priority_class.fair_work_ms * usage.weight);
  }
  const double excess = std::clamp(
      (decision.share_used - kMinShareUsed) / (kMaxShareUsed - kMinShareUsed),
      0.0, 1.0);
  decision.max_wait =
      std::max(Scale(kind_limit, 1 - (1 - kFreeWaitShare) * excess),
               std::min(kind_limit, service.FreeWait(now)));
  if (MissesDeadline({.objective = request.objective,
                      .time_left = request.time_left,
                      .backlog = request.wait,
                      .prefill = request.prefill,
                      .is_stream = request.is_stream})) {
    decision.reason = OverloadReason::kDeadline;
  } else if (request.wait > std::max(*own_limit, kind_limit)) {
    decision.reason = OverloadReason::kObjective;
  } else if (request.wait > kind_limit) {
    decision.reason = OverloadReason::kPriority;
  } else if (request.wait > *decision.max_wait) {
    decision.reason = OverloadReason::kFairShare;
  }
  if (!decision.sends()) {
    decision.retry_after =
        RetryAfter(service, request, *decision.max_wait, now);
  } else if (!request.is_repeat) {
    for (DecayingSum* sum :
         {&kind.admitted, &usage.admitted, &service.admitted}) {
      sum->Add(work_ms, now);
    }
  }
  return decision;
}

}  // namespace dogwoodlatch::serving
