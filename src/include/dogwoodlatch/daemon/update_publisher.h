/// Collects what a router publishes in its updates, and sends it when it
/// may change their decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/exchange.h"
#include "dogwoodlatch/daemon/relay_link.h"
#include "dogwoodlatch/serving/update_period.h"

namespace dogwoodlatch::daemon {

/// Maximum number of routers of the own domain that receive one update.
inline constexpr size_t kMaxRoutersPerUpdate = 64;

/// Maximum number of routers that receive one set of reports on suspects.
inline constexpr size_t kMaxRoutersPerReport = 8;

class UpdatePublisher {
 public:
  /// What the router says of itself.
  struct State {
    serving::RouterPhase phase = serving::RouterPhase::kStarting;
    Duration stopping_for{0};  ///< since its stop began
    uint64_t own_key = 0;      ///< its RouterKey
  };

  UpdatePublisher(ExchangeContext& context, RelayLink& relay)
      : context_(context), relay_(relay) {}

  /// Sends what is due. To be called at every tick.
  void Tick(const State& state, TimePoint now);

  /// Another router has announced its use of a part at a target to all.
  void OnPartAnnounced(serving::TargetKey target, uint64_t part, TimePoint now);

  /// An agent or another router has announced to all that the target leaves.
  void OnLeavingAnnounced(const std::string& target_id);

 private:
  struct Pending {
    Duration backlog{0};  ///< as last sent
    std::vector<uint64_t> parts;
    std::vector<serving::SlownessSample> slowness;
  };

  void DropOldAnnouncements(TimePoint now);
  /// Takes what has changed since the last call.
  serving::ChangeSize Collect(TimePoint now);
  serving::ChangeSize CollectParts(TimePoint now);
  serving::ChangeSize CollectQuota();
  void PublishUpdate(const State& state, TimePoint now);
  void PublishSuspects(const State& state, TimePoint now);
  /// Targets that have said lately to this router that they leave. `is_urgent`
  /// is set if one of them was not sent before.
  std::vector<RouterUpdate::Leaving> CollectLeaving(bool& is_urgent,
                                                    TimePoint now);
  RouterUpdate MakeUpdate(const State& state) const;
  void Send(const RouterUpdate& update, bool is_urgent, TimePoint now);

  ExchangeContext& context_;
  RelayLink& relay_;
  serving::UpdateSchedule schedule_;
  std::map<std::string, Pending> pending_;  ///< by target
  serving::ChangeSize pending_parts_ = serving::ChangeSize::kNone;
  std::optional<serving::QuotaReport> quota_;
  std::vector<serving::PartSave> saved_;
  std::vector<uint64_t> fetched_;
  /// When this or another router last announced the use of a part, by target
  /// and part.
  std::unordered_map<uint64_t, TimePoint> announced_;
  /// When this router learned it, by target; long ago if others announced it.
  std::map<std::string, TimePoint> leaving_since_;
  serving::RouterPhase sent_phase_ = serving::RouterPhase::kStarting;
  uint8_t sequence_ = 0;
  TimePoint suspects_sent_at_{};
  serving::RoundRobinSelector suspects_rotation_{kMaxRoutersPerReport};
};

}  // namespace dogwoodlatch::daemon
