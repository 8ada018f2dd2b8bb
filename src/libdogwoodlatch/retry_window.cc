#include "dogwoodlatch/retry_window.h"

#include <algorithm>
#include <array>
#include <limits>

#include "dogwoodlatch/windowed_counts.h"

namespace dogwoodlatch {
namespace {

constexpr int64_t kSlotsPerWindow = 40;

/// The share that is divided by the largest number of routers known lately, and
/// the one that is divided by the number known now. Routers that have started
/// or have lost others use the second one at most as often as there are
/// routers.
constexpr double kSettledShare = 0.75;
constexpr double kStartingShare = 1 - kSettledShare;

/// What a purpose may use and what must be left for it.
struct Claim {
  std::string_view name;
  double usable_share;  ///< of the retries that a window allows
  double needed;        ///< retries that must be left
};

// A moved stream may be refused by the other target, and is then sent once
// more.
constexpr std::array<Claim, kRetryPurposes> kClaims{{
    {"resume", 1.0, 1},
    {"rerun", 0.7, 1},
    {"resend", 0.5, 1},
    {"move", 0.3, 2},
}};

const Claim& ClaimOf(RetryPurpose purpose) {
  return kClaims.at(static_cast<size_t>(purpose));
}

size_t Index(int64_t number, size_t size) {
  return static_cast<size_t>(number) % size;
}

}  // namespace

std::string_view ToString(RetryPurpose purpose) {
  return ClaimOf(purpose).name;
}

RouterCount::RouterCount(Duration memory, size_t initial, TimePoint now)
    : slot_width_(std::max(Duration{1}, memory / kSlotsPerWindow)),
      slots_(kSlotsPerWindow + 2),
      last_(initial),
      last_slot_(BucketNumber(now, slot_width_)) {
  slots_[Index(last_slot_, slots_.size())] = {last_slot_, initial};
}

// The number that was known before counts until now.
void RouterCount::Update(size_t routers, TimePoint now) {
  const int64_t current = BucketNumber(now, slot_width_);
  const auto size = static_cast<int64_t>(slots_.size());
  for (int64_t number = std::max(last_slot_, current - size + 1);
       number <= current; ++number) {
    Slot& slot = slots_[Index(number, slots_.size())];
    if (slot.number != number) slot = {number, 0};
    slot.most = std::max(slot.most, last_);
  }
  Slot& slot = slots_[Index(current, slots_.size())];
  slot.most = std::max(slot.most, routers);
  last_ = routers;
  last_slot_ = current;
}

double RouterCount::Part(TimePoint now) const {
  return std::max(kSettledShare / static_cast<double>(Most(now)),
                  kStartingShare / static_cast<double>(last_));
}

size_t RouterCount::Most(TimePoint now) const {
  const int64_t oldest =
      BucketNumber(now, slot_width_) - static_cast<int64_t>(slots_.size()) + 1;
  size_t most = last_;
  for (const Slot& slot : slots_) {
    if (slot.number >= oldest) most = std::max(most, slot.most);
  }
  return most;
}

RetryWindow::RetryWindow(RetryWindowLimits limits)
    : limits_(limits),
      slot_width_(limits.window / kSlotsPerWindow),
      slots_(2 * kSlotsPerWindow) {}

void RetryWindow::OnFirstAttempt(TimePoint now) {
  ++Current(now).first_attempts;
}

bool RetryWindow::Withdraw(RetryPurpose purpose, double part, TimePoint now) {
  const Claim& claim = ClaimOf(purpose);
  if (Left(claim.usable_share, part, now) < claim.needed) return false;
  ++Current(now).retries;
  return true;
}

bool RetryWindow::WithdrawHeld(double part, TimePoint now) {
  Release();
  return Withdraw(RetryPurpose::kResume, part, now);
}

void RetryWindow::SetLimits(const RetryWindowLimits& limits) {
  limits_.share = limits.share;
  limits_.extra = limits.extra;
}

RetryCounts RetryWindow::Counts(double part, TimePoint now) const {
  RetryCounts counts{.left = std::max(0.0, Left(1, part, now))};
  const int64_t current = BucketNumber(now, slot_width_);
  for (int64_t number = current - kSlotsPerWindow + 1; number <= current;
       ++number) {
    const Slot slot = At(number);
    counts.first_attempts += slot.first_attempts;
    counts.retries += slot.retries;
  }
  return counts;
}

RetryWindow::Slot& RetryWindow::Current(TimePoint now) {
  const int64_t number = BucketNumber(now, slot_width_);
  Slot& slot = slots_[Index(number, slots_.size())];
  if (slot.number != number) slot = {.number = number};
  return slot;
}

RetryWindow::Slot RetryWindow::At(int64_t number) const {
  const Slot& slot = slots_[Index(number, slots_.size())];
  return slot.number == number ? slot : Slot{.number = number};
}

// The least that any window which contains this moment has left. A window that
// starts within a slot holds all retries of that slot; the one before it holds
// none of the first attempts of the slot in which that one starts.
double RetryWindow::Left(double usable_share, double part,
                         TimePoint now) const {
  const int64_t current = BucketNumber(now, slot_width_);
  double first_attempts = 0;
  for (int64_t number = current - kSlotsPerWindow + 2; number <= current;
       ++number) {
    first_attempts += At(number).first_attempts;
  }
  double retries = 0;
  double left = std::numeric_limits<double>::infinity();
  for (int64_t start = current; start >= current - kSlotsPerWindow; --start) {
    retries += At(start).retries;
    first_attempts += At(start - kSlotsPerWindow + 1).first_attempts;
    const double allowed =
        limits_.share * first_attempts / 2 + limits_.extra * part;
    left = std::min(left, allowed * usable_share - retries);
  }
  return left - held_;
}

}  // namespace dogwoodlatch
