#include "dogwoodlatch/daemon/client_refusals.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using dataplane::RefusalReason;

constexpr std::chrono::seconds kLogPeriod{1};

}  // namespace

void ClientRefusals::Record(RefusalReason reason) {
  metrics_.Count("dogwoodlatch_clients_refused_total",
                 "reason=\"" + std::string(ToString(reason)) + "\"");
  ++unlogged_.at(static_cast<size_t>(reason));
}

void ClientRefusals::Tick(TimePoint now) {
  const bool is_quiet =
      std::ranges::all_of(unlogged_, [](uint64_t count) { return count == 0; });
  if (is_quiet || now < next_log_) return;
  next_log_ = now + kLogPeriod;
  const auto count = [this](RefusalReason reason) {
    return std::to_string(
        std::exchange(unlogged_.at(static_cast<size_t>(reason)), 0));
  };
  LogEvent(EventId::kClientsRefused,
           {{"memory", count(RefusalReason::kMemory)},
            {"header_lines", count(RefusalReason::kHeaderLines)},
            {"denied", count(RefusalReason::kDenied)},
            {"descriptors", count(RefusalReason::kDescriptors)},
            {"slow_reader", count(RefusalReason::kSlowReader)}});
}

}  // namespace dogwoodlatch::daemon
