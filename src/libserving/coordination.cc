#include "dogwoodlatch/serving/coordination.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch::serving {
namespace {

// Routers notice at the same time that a target has no agent.
constexpr Duration kFirstCallSpread = std::chrono::milliseconds(1000);

// Pause after a failed call.
constexpr Duration kRetryPause = std::chrono::milliseconds(300);

// The holder sends a sign of life every second; one may be lost.
constexpr Duration kSilenceBeforeRead = std::chrono::milliseconds(2200);

}  // namespace

CoordinatorElection::CoordinatorElection(std::string own_name, Duration lease,
                                         uint64_t seed)
    : own_name_(std::move(own_name)),
      lease_(lease),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

Duration CoordinatorElection::Spread(Duration longest) {
  return Duration(
      std::uniform_int_distribution<int64_t>(0, longest.count())(random_));
}

CoordinatorElection::Step CoordinatorElection::NextStep(bool is_needed,
                                                        TimePoint now) {
  if (!is_needed) {
    was_needed_ = false;
    return Step::kNone;
  }
  if (!std::exchange(was_needed_, true)) {
    next_call_ = std::max(next_call_, now + Spread(kFirstCallSpread));
  }
  if (now < next_call_) return Step::kNone;
  if (is_own_write_) return Step::kReplace;
  if (!may_take_) return Step::kRead;
  return known_ ? Step::kReplace : Step::kCreate;
}

bool CoordinatorElection::HasWaited(TimePoint now) const {
  return unchanged_since_ && now - *unchanged_since_ >= lease_ * 3 / 2;
}

// An absent lease may have been lost with the state of the store, so it is not
// created at once either.
void CoordinatorElection::OnRead(const std::optional<CoordinatorLease>& lease,
                                 TimePoint now) {
  const bool is_unchanged = unchanged_since_ &&
                            lease.has_value() == known_.has_value() &&
                            (!lease || lease->revision == known_->revision);
  if (!is_unchanged) unchanged_since_ = now;
  known_ = lease;
  may_take_ = HasWaited(now);
  // The answer of a write by this process was lost.
  is_own_write_ = lease && lease->holder == own_name_ && has_written_;
  next_call_ =
      may_take_ || is_own_write_ ? now : now + lease_ / 2 + Spread(lease_ / 4);
}

void CoordinatorElection::OnHolderHeard(TimePoint now) {
  if (is_own_write_) return;
  may_take_ = false;
  next_call_ =
      std::max(next_call_, now + kSilenceBeforeRead + Spread(kRetryPause));
}

void CoordinatorElection::OnWritten(const CoordinatorLease& lease,
                                    TimePoint sent) {
  known_ = lease;
  unchanged_since_ = sent;
  may_take_ = false;
  is_own_write_ = true;
  has_written_ = true;
  renewal_sent_ = sent;
  next_call_ = sent + lease_ / 4;
}

// A write without an answer may have taken effect. The next read or conditional
// write shows which lease is there now.
void CoordinatorElection::OnFailed(TimePoint now) {
  if (may_take_) has_written_ = true;
  may_take_ = false;
  next_call_ = now + kRetryPause + Spread(kRetryPause);
}

// Another router may have held the lease in the lost seconds, also if the copy
// names this one.
void CoordinatorElection::OnStoreRestored(TimePoint now) {
  known_.reset();
  unchanged_since_.reset();
  may_take_ = false;
  is_own_write_ = false;
  has_written_ = false;
  renewal_sent_ = {};
  next_call_ = now + kRetryPause + Spread(kFirstCallSpread);
}

bool CoordinatorElection::Holds(TimePoint now) const {
  return is_own_write_ && known_ && known_->holder == own_name_ &&
         now - renewal_sent_ < lease_ / 2;
}

std::vector<std::string> ChooseTargetsToOrder(
    std::span<const UnattendedTarget> targets, uint64_t named,
    size_t model_targets, const RolloutLimits& limits) {
  const size_t most = 2 * MaxConcurrentLoads(model_targets, limits);
  const auto in_progress = static_cast<size_t>(
      std::ranges::count_if(targets, &UnattendedTarget::is_in_progress));
  std::vector<const UnattendedTarget*> waiting;
  for (const UnattendedTarget& target : targets) {
    if (!target.is_in_progress && target.version < named) {
      waiting.push_back(&target);
    }
  }
  std::ranges::sort(waiting, {}, [&](const UnattendedTarget* target) {
    return ComputeRolloutOrder(target->id, target->version, named);
  });
  waiting.resize(std::min(waiting.size(), most - std::min(most, in_progress)));
  std::vector<std::string> chosen;
  std::ranges::transform(
      waiting, std::back_inserter(chosen),
      [](const UnattendedTarget* target) { return target->id; });
  return chosen;
}

}  // namespace dogwoodlatch::serving
