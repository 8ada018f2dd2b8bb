/// Logs and exports what a router has learned of the engines' speed.
#pragma once

#include <map>
#include <set>
#include <string>

#include "dogwoodlatch/daemon/metrics.h"
#include "dogwoodlatch/serving/fleet.h"

namespace dogwoodlatch::daemon {

class EngineWatch {
 public:
  void RegisterGauges(Metrics& metrics) const;

  /// Logs estimates that have changed, at most once a second.
  void Tick(const serving::Fleet& fleet, TimePoint now);

  /// The highest slowness of a service whose targets run models.
  double slowness() const { return slowness_; }

 private:
  TimePoint next_look_{};
  double slowness_ = 1;
  std::map<std::string, serving::EngineProfile> logged_;  ///< by service
  std::set<std::string> slow_;                            ///< ids of targets
};

}  // namespace dogwoodlatch::daemon
