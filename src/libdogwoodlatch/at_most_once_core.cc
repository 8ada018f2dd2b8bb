#include "dogwoodlatch/at_most_once_core.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {
namespace {

using Commands = AtMostOnceCore::Commands;

constexpr Duration kRetryAfter = std::chrono::seconds(1);

void Append(Commands& out, Commands more) {
  std::ranges::move(more, std::back_inserter(out));
}

RefusalReason RefusalReasonFor(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kNotOwner:
      return RefusalReason::kNotOwner;
    case ClaimVerdict::kTooOld:
      return RefusalReason::kSealed;
    case ClaimVerdict::kKeyReused:
      return RefusalReason::kKeyReused;
    default:
      return RefusalReason::kClaimFailed;
  }
}

void SendBroken(const Waiter& waiter, Commands& out) {
  out.push_back(SendBack{waiter.connection, Broken{waiter.request_id,
                                                   waiter.attempt,
                                                   0,
                                                   BreakCause::kTargetCrashed,
                                                   {}}});
}

void SendAnswer(const Waiter& waiter, const RunAnswer& answer, Commands& out) {
  Finished finished = answer.finished;
  finished.request_id = waiter.request_id;
  finished.attempt = waiter.attempt;
  finished.sequence = answer.body.empty() ? 0 : 1;
  if (!answer.body.empty()) {
    out.push_back(
        SendBack{waiter.connection,
                 Chunk{waiter.request_id, waiter.attempt, 0, answer.body}});
  }
  out.push_back(SendBack{waiter.connection, std::move(finished)});
}

}  // namespace

AtMostOnceCore::AtMostOnceCore(AtMostOnceOptions options, Admission admit,
                               std::mt19937_64 random)
    : options_(std::move(options)),
      admit_(std::move(admit)),
      random_(random),
      ledger_(options_.ledger) {}

// Calls that the ledger knows are answered first; this needs neither the
// platform nor admission.
Commands AtMostOnceCore::OnSubmit(const Submit& submit, uint64_t connection,
                                  TimePoint now, WallTime wall) {
  const ClaimKey key = ComputeClaimKey(submit);
  const Waiter waiter{connection, submit.request_id, submit.attempt,
                      submit.claim.issued};
  if (const RunRecord* record = ledger_.Find(key)) {
    return AnswerFromLedger(key, *record, submit, waiter);
  }
  const auto refuse = [&](RefusalReason reason) -> Commands {
    return {Refuse(waiter, {reason, HasNotRun(submit.claim.service, key), {}})};
  };
  if (!IsForThisIncarnation(submit)) {
    return refuse(RefusalReason::kStaleIncarnation);
  }
  if (submit.claim.lookup_only) return LookUp(key, submit, waiter);
  if (ledger_.IsRefused(waiter)) return refuse(RefusalReason::kSealed);
  if (submit.claim.logs == 0) return refuse(RefusalReason::kClaimFailed);
  // A submit this old was delayed in transit; its claim may have been dropped
  // by now.
  if (wall - submit.claim.issued > submit.claim.retention / 2) {
    return refuse(RefusalReason::kSealed);
  }
  if (std::optional<Refused> refused = admit_(submit)) {
    ledger_.Refuse(waiter);
    refused->key_not_run = HasNotRun(submit.claim.service, key);
    return {SendBack{connection, *std::move(refused)}};
  }
  ledger_.Begin(key, submit.digest, waiter);
  return StartClaim(key, submit, now, wall);
}

// A submit addresses "<agent incarnation>/<target incarnation>".
bool AtMostOnceCore::IsForThisIncarnation(const Submit& submit) const {
  const std::string_view addressed = submit.incarnation.value;
  return addressed.substr(0, addressed.find('/')) ==
         options_.log.claimant.value;
}

const ClaimLog* AtMostOnceCore::FindLog(const std::string& service,
                                        const ClaimKey& key) const {
  const auto layout = layouts_.find(service);
  if (layout == layouts_.end() || layout->second.logs == 0) return nullptr;
  const auto log =
      logs_.find({service, SelectClaimLog(key, layout->second.logs)});
  return log == logs_.end() ? nullptr : &log->second;
}

bool AtMostOnceCore::HasNotRun(const std::string& service,
                               const ClaimKey& key) const {
  const ClaimLog* log = FindLog(service, key);
  return log != nullptr && log->HasNotRun(key);
}

// Accesses neither the platform nor the target, so it is answered at once in an
// outage of either.
Commands AtMostOnceCore::LookUp(const ClaimKey& key, const Submit& submit,
                                const Waiter& waiter) {
  Commands out;
  const ClaimLog* log = FindLog(submit.claim.service, key);
  if (log != nullptr && log->MayHaveRun(key)) {
    SendBroken(waiter, out);
    return out;
  }
  const bool has_not_run = log != nullptr && log->HasNotRun(key);
  return {Refuse(waiter, {RefusalReason::kClaimFailed, has_not_run, {}})};
}

Commands AtMostOnceCore::AnswerFromLedger(const ClaimKey& key,
                                          const RunRecord& record,
                                          const Submit& submit,
                                          const Waiter& waiter) {
  Commands out;
  if (record.body_digest != submit.digest) {
    return {Refuse(waiter, {RefusalReason::kKeyReused, false, {}})};
  }
  switch (record.state) {
    case RunState::kClaiming:
    case RunState::kRunning:
      ledger_.Join(key, waiter);
      break;
    case RunState::kFinished:
      SendAnswer(waiter, record.answer, out);
      break;
    case RunState::kLost:
      SendBroken(waiter, out);
      break;
  }
  return out;
}

Commands AtMostOnceCore::StartClaim(const ClaimKey& key, const Submit& submit,
                                    TimePoint now, WallTime wall) {
  const auto claim_timeout = std::chrono::duration_cast<Duration>(
      submit.time_left * options_.claim_time_share);
  const ClaimRequest request{key, submit.digest, submit.claim.take_over_from,
                             submit.claim.issued, now + claim_timeout};
  // A call whose claim may have been dropped meanwhile must not run, however
  // long this process was paused.
  const TimePoint start_before =
      now + std::min(submit.time_left, submit.claim.retention / 2);
  calls_[key] = {submit, start_before, {submit.claim.service, 0}};
  Layout& layout = layouts_[submit.claim.service];
  if (layout.logs > 0) return RequestClaim(request, layout.logs, now, wall);
  layout.waiting.emplace_back(key, request);
  if (layout.waiting.size() > 1) return {};
  return {EnsureLayout{submit.claim.service, submit.claim.logs}};
}

// The number of logs is always taken from the platform, not from settings
// alone: two different numbers in use would map one key to two logs.
Commands AtMostOnceCore::OnLayout(const std::string& service,
                                  std::optional<uint32_t> logs, TimePoint now,
                                  WallTime wall) {
  Layout& layout = layouts_[service];
  Commands out;
  if (logs) layout.logs = *logs;
  for (const auto& [key, request] : std::exchange(layout.waiting, {})) {
    if (layout.logs > 0) {
      Append(out, RequestClaim(request, layout.logs, now, wall));
    } else {
      ApplyDecision(DecideClaim{key, ClaimVerdict::kFailed, {}}, out);
    }
  }
  return out;
}

Commands AtMostOnceCore::RequestClaim(const ClaimRequest& request,
                                      uint32_t logs, TimePoint now,
                                      WallTime wall) {
  PendingCall& call = calls_.at(request.key);
  call.log.log = SelectClaimLog(request.key, logs);
  const ClaimLogName name = call.log;
  ClaimLog& log = FindOrCreateLog(name, call.submit.claim.retention);
  return ToAgentCommands(name, log.Claim(request, now, wall, random_));
}

ClaimLog& AtMostOnceCore::FindOrCreateLog(const ClaimLogName& name,
                                          Duration retention) {
  ClaimLogOptions options = options_.log;
  if (retention > Duration(0)) options.retention = retention;
  return logs_.try_emplace(name, std::move(options)).first->second;
}

Commands AtMostOnceCore::OnRead(const ClaimLogName& name,
                                const std::optional<ClaimsRead>& read,
                                TimePoint now, WallTime wall) {
  return ToAgentCommands(name, logs_.at(name).OnRead(read, now, wall, random_));
}

Commands AtMostOnceCore::OnHeadWritten(const ClaimLogName& name,
                                       const HeadWritten& written,
                                       TimePoint now, WallTime wall) {
  return ToAgentCommands(
      name, logs_.at(name).OnHeadWritten(written, now, wall, random_));
}

Commands AtMostOnceCore::OnSegmentWritten(const ClaimLogName& name,
                                          bool written, TimePoint now,
                                          WallTime wall) {
  return ToAgentCommands(
      name, logs_.at(name).OnSegmentWritten(written, now, wall, random_));
}

Commands AtMostOnceCore::Tick(TimePoint now, WallTime wall) {
  Commands out;
  for (auto& [name, log] : logs_) {
    Append(out, ToAgentCommands(name, log.Tick(now, wall, random_)));
  }
  return out;
}

bool AtMostOnceCore::is_idle() const {
  return std::ranges::all_of(
      logs_, [](const auto& entry) { return entry.second.is_idle(); });
}

std::vector<ClaimLogName> AtMostOnceCore::OwnedLogs() const {
  std::vector<ClaimLogName> owned;
  for (const auto& [name, log] : logs_) {
    if (log.is_owned()) owned.push_back(name);
  }
  return owned;
}

Commands AtMostOnceCore::ToAgentCommands(const ClaimLogName& name,
                                         ClaimLog::Commands commands) {
  Commands out;
  for (ClaimCommand& command : commands) {
    if (const auto* decision = std::get_if<DecideClaim>(&command)) {
      ApplyDecision(*decision, out);
    } else {
      out.push_back(AccessLog{name, std::move(command)});
    }
  }
  return out;
}

void AtMostOnceCore::ApplyDecision(const DecideClaim& decision, Commands& out) {
  const auto call = calls_.find(decision.key);
  if (decision.verdict == ClaimVerdict::kGranted) {
    ledger_.SetRunning(decision.key);
    out.push_back(
        StartRun{decision.key, call->second.submit, call->second.start_before});
    return;
  }
  const std::vector<Waiter> waiters = ledger_.Remove(decision.key);
  if (decision.verdict == ClaimVerdict::kClaimedElsewhere) {
    std::ranges::for_each(waiters,
                          [&](const Waiter& w) { SendBroken(w, out); });
  } else {
    const Refusal refusal{
        RefusalReasonFor(decision.verdict),
        HasNotRun(call->second.submit.claim.service, decision.key),
        decision.owner};
    std::ranges::for_each(
        waiters, [&](const Waiter& w) { out.push_back(Refuse(w, refusal)); });
  }
  out.push_back(EndAdmission{call->second.submit.request_id,
                             call->second.submit.attempt});
  calls_.erase(call);
}

Commands AtMostOnceCore::OnRunEnded(const ClaimKey& key, RunOutcome outcome,
                                    const RunAnswer& answer) {
  Commands out;
  const PendingCall call = std::move(calls_.extract(key).mapped());
  switch (outcome) {
    case RunOutcome::kComplete:
      for (const Waiter& waiter : ledger_.Finish(key, answer)) {
        SendAnswer(waiter, answer, out);
      }
      break;
    case RunOutcome::kLost:
      for (const Waiter& w : ledger_.MarkLost(key)) SendBroken(w, out);
      break;
    case RunOutcome::kNotSent: {
      ClaimLog& log = logs_.at(call.log);
      log.Release(key);
      // Not kTargetDown: that would send the router to another agent before the
      // released claim has left the log.
      const Refusal refusal{RefusalReason::kSealed, log.HasNotRun(key), {}};
      for (const Waiter& w : ledger_.Remove(key)) {
        out.push_back(Refuse(w, refusal));
      }
      break;
    }
  }
  out.push_back(EndAdmission{call.submit.request_id, call.submit.attempt});
  return out;
}

// Records each refusal, so that a delayed copy of a refused submit is refused
// as well.
SendBack AtMostOnceCore::Refuse(const Waiter& waiter, const Refusal& refusal) {
  ledger_.Refuse(waiter);
  return {waiter.connection,
          Refused{waiter.request_id, waiter.attempt, refusal.reason,
                  kRetryAfter, refusal.owner.value, refusal.key_not_run}};
}

}  // namespace dogwoodlatch
