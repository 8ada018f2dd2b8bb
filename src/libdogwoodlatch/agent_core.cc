#include "dogwoodlatch/agent_core.h"

#include <algorithm>

namespace dogwoodlatch {
namespace {

constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);

}  // namespace

std::optional<Refused> AgentCore::Admit(const Submit& submit) {
  const std::optional<RefusalReason> refusal = FindRefusal(submit);
  if (refusal) {
    return Refused{submit.request_id, submit.attempt, *refusal,
                   kOverloadRetryAfter, ""};
  }
  ++running_;
  queued_tokens_ += submit.prompt_tokens;
  return std::nullopt;
}

void AgentCore::OnEnded(uint32_t prompt_tokens) {
  --running_;
  queued_tokens_ -= std::min<uint64_t>(queued_tokens_, prompt_tokens);
}

ProbeReply AgentCore::Answer(const Probe& probe) const {
  ProbeReply reply;
  reply.probe_id = probe.probe_id;
  reply.incarnation = target_.incarnation;
  reply.weights_version = target_.weights_version;
  reply.queued_tokens = queued_tokens_;
  reply.running = running_;
  reply.draining = draining_;
  reply.healthy = target_.healthy;
  reply.prefill_tokens_per_second = target_.prefill_tokens_per_second;
  return reply;
}

std::optional<RefusalReason> AgentCore::FindRefusal(
    const Submit& submit) const {
  if (submit.incarnation != target_.incarnation) {
    return RefusalReason::kStaleIncarnation;
  }
  if (submit.weights_version != target_.weights_version) {
    return RefusalReason::kStaleWeights;
  }
  if (draining_) return RefusalReason::kDraining;
  if (!target_.healthy) return RefusalReason::kTargetDown;
  if (running_ >= limits_.max_running) return RefusalReason::kOverloaded;
  return std::nullopt;
}

}  // namespace dogwoodlatch
