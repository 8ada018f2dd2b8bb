/// How long the configuration may be relied on for keys that operators can
/// take away.
#pragma once

#include <optional>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Keeps when the platform last proved which configuration is newest. Times
/// come from a clock that also runs while the VM is suspended.
class FreshnessGuard {
 public:
  /// `bound` is the longest age at which a key is still accepted.
  explicit FreshnessGuard(Duration bound) : bound_(bound) {}

  /// A linearizable read or watch that was sent at `sent` has come back.
  /// Earlier proofs never replace later ones.
  void OnConfirmed(TimePoint sent);

  /// The age of the proof; none before the first one.
  std::optional<Duration> Age(TimePoint now) const;

  /// True while keys of the configuration in force may be accepted.
  bool IsFresh(TimePoint now) const;

 private:
  Duration bound_;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace dogwoodlatch::serving
