// What the router counts of its requests: outcomes, usage and service-level
// burn.
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

  // Text lines of figures.
  std::string Metrics(TimePoint now) const;

  // "burn" and "usage" as operators' reports merge them.
  nlohmann::json Status(TimePoint now) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> outcome_counts_;
  SloRecorder burn_;
  UsageReport usage_;
};

}  // namespace dogwoodlatch::router
