// Statistics of the router's requests: outcomes, token usage and burn of the
// service-level objectives.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "dogwoodlatch/burn.h"
#include "dogwoodlatch/settings.h"
#include "dogwoodlatch/usage.h"

namespace dogwoodlatch::router {

// Thread-safe.
class RequestStats {
 public:
  void Record(const SettingsSnapshot& settings, const SloSample& sample,
              const Outcome& outcome, TimePoint now);

  // Returns the metrics in text exposition format.
  std::string Metrics(TimePoint now) const;

  // Returns "burn" and "usage" in the form that the status reports merge.
  nlohmann::json Status(TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> outcome_counts_;
  SloRecorder burn_;
  UsageReport usage_;
};

}  // namespace dogwoodlatch::router
