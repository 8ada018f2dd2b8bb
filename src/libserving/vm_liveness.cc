#include "dogwoodlatch/serving/vm_liveness.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

// Agents send several datagrams a second, and streams an event every few tens
// of ms. A VM that has sent nothing for this time is probed.
constexpr milliseconds kQuietTime{120};

// Several probes fall within the limit of silence, so that a lost packet does
// not count as silence. TCP repeats a lost SYN only after a second.
constexpr milliseconds kProbePeriod{50};

// Period of probes once a VM has been silent for long.
constexpr milliseconds kLongSilence{1000};
constexpr milliseconds kLongSilenceProbePeriod{250};

// A packet filter may drop probes. Silence counts only for a VM that has once
// answered one; others are asked again at this period.
constexpr milliseconds kFirstAnswerPeriod{10'000};

// The entry of a target lapses within a few seconds if its VM stands still. A
// target that is listed for longer has its probes dropped on the way.
constexpr milliseconds kMaxSilence{15'000};

}  // namespace

void VmLiveness::OnHeard(TimePoint now) {
  heard_at_ = now;
  unanswered_since_.reset();
}

void VmLiveness::OnProbeSent(TimePoint now) {
  probed_at_ = now;
  if (!unanswered_since_) unanswered_since_ = now;
}

void VmLiveness::OnProbeAnswered(TimePoint now) {
  answers_probes_ = true;
  OnHeard(now);
}

void VmLiveness::OnProcessResumed(TimePoint now) {
  if (unanswered_since_) unanswered_since_ = now;
}

bool VmLiveness::IsProbeDue(bool is_in_use, TimePoint now) const {
  const auto is_past = [&](Duration period) {
    return !probed_at_ || now - *probed_at_ >= period;
  };
  if (!answers_probes_) return is_in_use && is_past(kFirstAnswerPeriod);
  if (unanswered_since_) {
    const bool is_long = now - *unanswered_since_ > kLongSilence;
    return is_past(is_long ? kLongSilenceProbePeriod : kProbePeriod);
  }
  return is_in_use && now - heard_at_ >= kQuietTime;
}

Duration VmLiveness::SilentFor(TimePoint now) const {
  if (!answers_probes_ || !unanswered_since_) return Duration{0};
  const Duration silence = now - *unanswered_since_;
  return silence <= kMaxSilence ? silence : Duration{0};
}

}  // namespace dogwoodlatch::serving
