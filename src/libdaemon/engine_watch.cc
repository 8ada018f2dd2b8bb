#include "dogwoodlatch/daemon/engine_watch.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(1);

// Changes of a service's estimate that are smaller are not logged.
constexpr double kLoggedChange = 1.15;

// A target that takes this many times as long as its service is logged as slow,
// until it takes less than the lower limit.
constexpr double kSlow = 2.0;
constexpr double kNoLongerSlow = 1.5;

bool HasChanged(double value, double logged) {
  return value > logged * kLoggedChange || value * kLoggedChange < logged;
}

bool HasChanged(const serving::EngineProfile& profile,
                const serving::EngineProfile& logged) {
  return HasChanged(profile.slowness, logged.slowness) ||
         HasChanged(profile.overhead_ms, logged.overhead_ms) ||
         HasChanged(profile.run_ms, logged.run_ms) ||
         HasChanged(profile.plain_ms, logged.plain_ms);
}

std::string Format(double value) {
  std::ostringstream text;
  text << std::setprecision(3) << value;
  return text.str();
}

}  // namespace

void EngineWatch::RegisterGauges(Metrics& metrics) const {
  metrics.RegisterGauge("dogwoodlatch_engine_slowness",
                        [this] { return slowness_; });
  metrics.RegisterGauge("dogwoodlatch_targets_slow",
                        [this] { return static_cast<double>(slow_.size()); });
}

void EngineWatch::Tick(const serving::Fleet& fleet, TimePoint now) {
  if (now < next_look_) return;
  next_look_ = now + kPeriod;
  slowness_ = 0;
  for (const auto& [service, engine] : fleet.engines()) {
    const serving::EngineProfile& profile = engine->profile();
    slowness_ = std::max(slowness_, profile.slowness);
    serving::EngineProfile& logged = logged_[service];
    if (!HasChanged(profile, logged)) continue;
    logged = profile;
    LogEvent(EventId::kEngineProfileChanged,
             {{"service", service},
              {"slowness", Format(profile.slowness)},
              {"prefill_tokens_per_ms", Format(profile.PrefillTokensPerMs())},
              {"step_ms", Format(profile.step_ms)},
              {"step_ms_per_request", Format(profile.step_ms_per_request)},
              {"overhead_ms", Format(profile.overhead_ms)},
              {"run_ms", Format(profile.run_ms)},
              {"plain_ms", Format(profile.plain_ms)}});
  }
  if (slowness_ == 0) slowness_ = 1;
  for (const auto& [id, target] : fleet.targets()) {
    const double relative = target->signals.engine().RelativeSlowness(now);
    if (relative >= kSlow && slow_.insert(id).second) {
      LogEvent(EventId::kTargetSlow,
               {{"target", id}, {"slowness", Format(relative)}});
    } else if (relative < kNoLongerSlow && slow_.erase(id) > 0) {
      LogEvent(EventId::kTargetSpeedBack,
               {{"target", id}, {"slowness", Format(relative)}});
    }
  }
  std::erase_if(slow_, [&](const std::string& id) { return !fleet.Find(id); });
}

}  // namespace dogwoodlatch::daemon
