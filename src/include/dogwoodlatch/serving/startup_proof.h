/// Whether what the platform's store returns to a process that has just started
/// may be taken for the newest state. The store may have come back from an
/// older copy a moment ago. See docs/design/0020-startup-proof.md.
#pragma once

#include <cstdint>
#include <optional>

#include "dogwoodlatch/serving/store_era.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// What another process knows of the store.
struct KnownState {
  uint64_t era = 0;
  uint64_t configuration = 0;  ///< newest version
  /// Its reads show everything that was acknowledged before the era began.
  bool is_settled = false;

  bool operator==(const KnownState&) const = default;
};

class StartupProof {
 public:
  /// Without `is_strict`, the first answer of the store is taken as it is.
  explicit StartupProof(bool is_strict) : is_strict_(is_strict) {}

  /// The store has answered, in `era`, to this process for the first time.
  void OnFirstAnswer(uint64_t era, TimePoint now);

  /// A process that runs has said what it knows.
  void OnPeerState(const KnownState& peer);

  /// From when on calls to the store must have been sent to prove that the
  /// configuration is current.
  TimePoint proves_from() const { return proves_from_; }

  /// Newest version that is known to have existed.
  uint64_t configuration() const { return configuration_; }

  /// True while an answer of another process may shorten the wait.
  bool NeedsPeers(TimePoint now) const;

 private:
  bool is_strict_;
  std::optional<uint64_t> first_era_;
  std::optional<uint64_t> settled_era_;  ///< newest one that a peer vouches for
  TimePoint proves_from_ = TimePoint::min();
  uint64_t configuration_ = 0;
};

}  // namespace dogwoodlatch::serving
