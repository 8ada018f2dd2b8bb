#include "dogwoodlatch/serving/stop_plan.h"

namespace dogwoodlatch::serving {
namespace {

// The balancer asks once a second and takes a VM out after two misses.
constexpr Duration kBalancerRemovalTime = std::chrono::milliseconds(2600);

// Left between the process's own end and the moment at which it is killed.
constexpr Duration kMargin = std::chrono::milliseconds(600);

}  // namespace

bool ShutdownPlan::IsInRotation(TimePoint now) const {
  return now - began_ < kBalancerRemovalTime;
}

// Callers that come while the balancer sends them have nowhere else to go;
// their streams get the rest of the grace. Later ones are served elsewhere, and
// a stream may last longer than what is left.
bool ShutdownPlan::Accepts(const Route& route, TimePoint now) const {
  if (IsInRotation(now)) return true;
  return route.kind != RouteKind::kStream && now + route.timeout <= End();
}

bool ShutdownPlan::MustExit(TimePoint now) const { return now >= End(); }

TimePoint ShutdownPlan::End() const { return began_ + grace_ - kMargin; }

}  // namespace dogwoodlatch::serving
