#include "dogwoodlatch/agent_core.h"

#include <algorithm>

namespace dogwoodlatch {
namespace {

constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
constexpr Duration kBusyAloneRetryAfter = std::chrono::milliseconds(50);
// Well above the interval at which a suspect retries, so a reservation expires
// only if its suspect has gone elsewhere.
constexpr Duration kReservationTime = std::chrono::seconds(1);
// Admitted attempts that are remembered to detect duplicates.
constexpr size_t kMaxRecentAttempts = 4096;

Duration DefaultRetryAfter(RefusalReason reason) {
  return reason == RefusalReason::kBusyAlone ? kBusyAloneRetryAfter
                                             : kOverloadRetryAfter;
}

}  // namespace

Incarnation MakeIncarnation(std::string_view agent_boot_id,
                            std::string_view target_boot_id) {
  return {std::string(agent_boot_id) + "/" + std::string(target_boot_id)};
}

bool MatchesRoutedTarget(const Submit& submit, std::string_view target_boot_id,
                         std::string_view weights_version) {
  return submit.incarnation.value.ends_with("/" +
                                            std::string(target_boot_id)) &&
         submit.weights_version == weights_version;
}

bool AgentCore::IsDuplicate(const Submit& submit) const {
  return recent_.contains({submit.request_id, submit.attempt});
}

std::optional<Refused> AgentCore::Admit(const Submit& submit, TimePoint now) {
  const std::optional<RefusalReason> refusal = FindRefusal(submit, now);
  if (refusal == RefusalReason::kBusyAlone) Reserve(submit, now);
  if (refusal) {
    return Refused{submit.request_id, submit.attempt, *refusal,
                   DefaultRetryAfter(*refusal), ""};
  }
  if (submit.run_alone) reservation_.reset();
  const AttemptKey key{submit.request_id, submit.attempt};
  running_[key] = {submit.digest, submit.run_alone, submit.prompt_tokens,
                   submit.incarnation};
  RecordAttempt(key);
  queued_tokens_ += submit.prompt_tokens;
  return std::nullopt;
}

std::vector<uint64_t> AgentCore::OnCrash(const Incarnation& incarnation) {
  if (crashed_incarnation_ != incarnation) {
    crashed_incarnation_ = incarnation;
    std::set<uint64_t> digests;
    for (const auto& [key, running] : running_) {
      if (running.incarnation == incarnation) digests.insert(running.digest);
    }
    crash_suspects_.assign(digests.begin(), digests.end());
  }
  if (target_.incarnation == incarnation) target_ = {};
  return crash_suspects_;
}

void AgentCore::OnEnded(const RequestId& request_id, uint32_t attempt) {
  const auto found = running_.find({request_id, attempt});
  if (found == running_.end()) return;
  queued_tokens_ -= found->second.prompt_tokens;
  running_.erase(found);
}

ProbeReply AgentCore::Answer(const Probe& probe) const {
  ProbeReply reply;
  reply.probe_id = probe.probe_id;
  reply.incarnation = target_.incarnation;
  reply.weights_version = target_.weights_version;
  reply.queued_tokens = queued_tokens_;
  reply.running = running();
  reply.draining = draining_;
  reply.healthy = target_.healthy;
  reply.prefill_tokens_per_second = target_.prefill_tokens_per_second;
  return reply;
}

std::optional<RefusalReason> AgentCore::FindRefusal(const Submit& submit,
                                                    TimePoint now) const {
  if (submit.incarnation != target_.incarnation) {
    return RefusalReason::kStaleIncarnation;
  }
  if (submit.weights_version != target_.weights_version) {
    return RefusalReason::kStaleWeights;
  }
  if (draining_) return RefusalReason::kDraining;
  if (!target_.healthy) return RefusalReason::kTargetDown;
  if (submit.time_left <= Duration(0)) return RefusalReason::kOverloaded;
  if (IsBusyAlone(submit, now)) return RefusalReason::kBusyAlone;
  if (running() >= limits_.max_running) return RefusalReason::kOverloaded;
  return std::nullopt;
}

bool AgentCore::IsBusyAlone(const Submit& submit, TimePoint now) const {
  if (reservation_ && reservation_->until > now &&
      reservation_->digest != submit.digest) {
    return true;
  }
  if (submit.run_alone) return !running_.empty();
  return std::ranges::any_of(
      running_, [](const auto& item) { return item.second.alone; });
}

void AgentCore::RecordAttempt(const AttemptKey& key) {
  recent_.insert(key);
  recent_order_.push_back(key);
  if (recent_order_.size() <= kMaxRecentAttempts) return;
  recent_.erase(recent_order_.front());
  recent_order_.pop_front();
}

// Without a reservation a busy target would never become idle for a suspect.
// One suspect at a time holds it; it expires when the suspect stops retrying.
void AgentCore::Reserve(const Submit& submit, TimePoint now) {
  if (!submit.run_alone) return;
  if (reservation_ && reservation_->until > now &&
      reservation_->digest != submit.digest) {
    return;
  }
  reservation_ = Reservation{submit.digest, now + kReservationTime};
}

}  // namespace dogwoodlatch
