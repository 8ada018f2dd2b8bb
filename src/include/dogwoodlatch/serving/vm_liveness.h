/// Whether the VM of a target answers, whatever its processes do: a VM that
/// stands still or cannot be reached acknowledges nothing.
#pragma once

#include <chrono>
#include <optional>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Signs of life of one VM, and of the probes that ask for one. A probe is a
/// TCP connection that the VM's kernel accepts or refuses within a round trip.
class VmLiveness {
 public:
  /// The VM counts as silent once probes are unanswered for this time.
  static constexpr std::chrono::milliseconds kSilenceLimit{200};

  /// Bytes of an answer, or a datagram of the VM's agent, have arrived.
  void OnHeard(TimePoint now);

  void OnProbeSent(TimePoint now);

  /// The VM has accepted or refused a probe.
  void OnProbeAnswered(TimePoint now);

  /// This process has not run for a while. Answers to its probes may lie
  /// unread, so silence counts from now.
  void OnProcessResumed(TimePoint now);

  /// True if a probe is to be sent. `is_in_use` means that requests wait at the
  /// VM.
  bool IsProbeDue(bool is_in_use, TimePoint now) const;

  /// Time since the first probe that is unanswered, nothing having been heard
  /// since; 0 for a VM that has never answered a probe, and for one that has
  /// been silent for so long that its target's entry would have lapsed.
  Duration SilentFor(TimePoint now) const;

  /// When anything was last heard; the epoch if nothing was.
  TimePoint heard_at() const { return heard_at_; }

  bool IsSilent(TimePoint now) const { return SilentFor(now) >= kSilenceLimit; }

 private:
  bool answers_probes_ = false;  ///< has answered one
  TimePoint heard_at_{};
  std::optional<TimePoint> probed_at_;         ///< the last probe
  std::optional<TimePoint> unanswered_since_;  ///< the first unanswered one
};

}  // namespace dogwoodlatch::serving
