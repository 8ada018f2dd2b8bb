#include "dogwoodlatch/serving/order_ownership.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

// Covers the transmission of messages, and orders that are under way when an
// agent stops.
constexpr Duration kSilenceMargin = milliseconds(1000);

// A message that has reached one router reaches the coordinator within this
// time, and an order of the coordinator that was under way has ended.
constexpr Duration kHandOverMargin = milliseconds(500);

// The event loop ticks every 50 ms. Messages that waited during a longer pause
// say nothing about the present.
constexpr Duration kPauseLimit = milliseconds(1000);

// The election of a coordinator takes more than one and a half leases, so it
// begins before the silence limit.
constexpr Duration kElectionSilence = milliseconds(3000);

}  // namespace

std::string_view VmOfAddress(std::string_view address) {
  return address.substr(0, address.rfind(':'));
}

Duration SilenceLimit(Duration lease) {
  return kContactLimit + lease + kSilenceMargin;
}

void AgentOwnership::OnRunning(TimePoint now) {
  const bool was_suspended = now - ran_at_ > kPauseLimit;
  const bool is_out_of_touch = now - confirmed_ > kContactLimit;
  if (was_suspended || is_out_of_touch) since_.reset();
  ran_at_ = now;
}

void AgentOwnership::OnConfirmed(Duration age, TimePoint now) {
  OnRunning(now);
  if (age > kContactLimit) return;
  const TimePoint arrived = now - age;
  if (!since_) {
    // Nothing that was sent before a pause proves a hand-over.
    since_ = now;
    ++term_;
    confirmed_ = arrived;
  }
  confirmed_ = std::max(confirmed_, arrived);
}

bool AgentOwnership::MayOrder(TimePoint now) const {
  return since_ && now - ran_at_ <= kPauseLimit &&
         now - confirmed_ <= kContactLimit &&
         now - *since_ >= lease_ + kHandOverMargin;
}

void VmAttendance::OnListed(const std::set<std::string, std::less<>>& vms,
                            TimePoint now) {
  std::erase_if(vms_, [&](const auto& vm) { return !vms.contains(vm.first); });
  for (const std::string& vm : vms) {
    vms_.try_emplace(vm, Vm{.listed = now, .heard = {}});
  }
}

bool VmAttendance::OnHeard(std::string_view vm, TimePoint now) {
  const auto known = vms_.find(vm);
  if (known == vms_.end()) return false;
  known->second.heard = now;
  return true;
}

std::optional<Duration> VmAttendance::HeardAgo(std::string_view vm,
                                               TimePoint now) const {
  const auto known = vms_.find(vm);
  if (known == vms_.end() || !known->second.heard) return std::nullopt;
  return now - *known->second.heard;
}

std::optional<Duration> VmAttendance::Silence(std::string_view vm,
                                              TimePoint now) const {
  const auto known = vms_.find(vm);
  if (known == vms_.end()) return std::nullopt;
  return now - known->second.heard.value_or(known->second.listed);
}

bool VmAttendance::IsSilent(std::string_view vm, TimePoint now) const {
  const auto silence = Silence(vm, now);
  return silence && *silence > kElectionSilence;
}

bool VmAttendance::IsUnattended(std::string_view vm, TimePoint now) const {
  const auto silence = Silence(vm, now);
  return silence && *silence > silence_limit_;
}

}  // namespace dogwoodlatch::serving
