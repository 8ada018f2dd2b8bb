/// Counts and logs clients that are refused because of what they hold.
#pragma once

#include <array>
#include <cstdint>

#include "dogwoodlatch/daemon/metrics.h"
#include "dogwoodlatch/dataplane/connection_ledger.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

class ClientRefusals {
 public:
  explicit ClientRefusals(Metrics& metrics) : metrics_(metrics) {}

  void Record(dataplane::RefusalReason reason);

  /// Logs what was recorded since the last line, at most once per second.
  void Tick(TimePoint now);

 private:
  Metrics& metrics_;
  std::array<uint64_t, dataplane::kRefusalReasons.size()> unlogged_{};
  TimePoint next_log_{};
};

}  // namespace dogwoodlatch::daemon
