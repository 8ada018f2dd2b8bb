#include "dogwoodlatch/serving/shutdown_plan.h"

namespace dogwoodlatch::serving {
namespace {

// The load balancer probes once a second and removes a VM after two failed
// probes.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(2600);

// Time between the process's own exit and the moment at which it is killed.
constexpr Duration kMargin = std::chrono::milliseconds(600);

// Time for the requests on connections that were set up last. Those that cannot
// end in time are refused at once.
constexpr Duration kLastRequestsTime = std::chrono::milliseconds(1000);

// Time for a last response to reach its caller.
constexpr Duration kLastAnswerTime = std::chrono::milliseconds(250);

}  // namespace

bool ShutdownPlan::IsInRotation(TimePoint now) const {
  return now - began_ < kBalancerRemovalTime;
}

// While the load balancer still sends new connections, their requests cannot be
// served elsewhere, so they are accepted and streams may use the rest of the
// grace period. Later ones are accepted only if they are sure to end in time,
// and streams only if no other router is ready: each of them delays the
// restart.
bool ShutdownPlan::Accepts(const Arrival& arrival, TimePoint now) const {
  if (IsInRotation(now)) return true;
  const bool is_stream = arrival.kind == RouteKind::kStream;
  if (is_stream && arrival.is_other_serving) return false;
  return now + arrival.time_limit <= End() && !MustAnswer(now);
}

bool ShutdownPlan::Listens(TimePoint now) const {
  return IsInRotation(now) || now < End() - kLastRequestsTime;
}

bool ShutdownPlan::MustAnswer(TimePoint now) const {
  return now >= End() - kLastAnswerTime;
}

bool ShutdownPlan::MustExit(TimePoint now) const { return now >= End(); }

TimePoint ShutdownPlan::End() const { return began_ + grace_ - kMargin; }

}  // namespace dogwoodlatch::serving
