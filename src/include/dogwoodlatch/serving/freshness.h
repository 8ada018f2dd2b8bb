/// Bounds the age of the configuration by which API keys are accepted, as
/// operators can revoke keys.
#pragma once

#include <optional>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Records when the platform last confirmed which configuration is newest.
/// Times come from a clock that also runs while the VM is suspended.
class FreshnessGuard {
 public:
  /// `bound` is the greatest age of the configuration at which its keys are
  /// still accepted.
  explicit FreshnessGuard(Duration bound) : bound_(bound) {}

  /// A linearizable read or watch that was sent at `sent` has been answered.
  /// An earlier confirmation never replaces a later one.
  void OnConfirmed(TimePoint sent);

  /// Ignores confirmations that were sent before `time`. Earlier confirmations
  /// keep their value.
  void IgnoreUntil(TimePoint time) { ignored_until_ = time; }

  /// True if a confirmation was sent after the time that IgnoreUntil named.
  bool HasProof() const {
    return confirmed_at_ && *confirmed_at_ >= ignored_until_;
  }

  /// When the last confirmation was sent; none before the first one.
  std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }

  /// Time since the last confirmation; none before the first one.
  std::optional<Duration> Age(TimePoint now) const;

  /// True while keys of the active configuration may be accepted.
  bool IsFresh(TimePoint now) const;

 private:
  Duration bound_;
  std::optional<TimePoint> confirmed_at_;
  TimePoint ignored_until_ = TimePoint::min();
};

}  // namespace dogwoodlatch::serving
