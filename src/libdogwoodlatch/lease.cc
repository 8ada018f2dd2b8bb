#include "dogwoodlatch/lease.h"

#include <algorithm>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

// Renewals of a holder within the lease's duration.
constexpr int kRenewalsPerDuration = 3;

}  // namespace

Json ToJson(const LeaseRecord& record) {
  return {{"holder", record.holder},
          {"fencing_number", record.fencing_number},
          {"renewal", record.renewal},
          {"duration_us", record.duration.count()}};
}

Result<LeaseRecord> ParseLeaseRecord(const Json& json) {
  // The JSON library reports wrong field types only by exception.
  try {
    return LeaseRecord{json.at("holder").get<std::string>(),
                       json.at("fencing_number").get<uint64_t>(),
                       json.at("renewal").get<uint64_t>(),
                       Duration(json.at("duration_us").get<int64_t>())};
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kWrongType, "lease", e.what()};
  }
}

std::optional<LeaseCommand> LeaseKeeper::TakeCommand(TimePoint now) {
  if (call_ != CallState::kNone || now < next_call_at_) return std::nullopt;
  if (!record_known_) {
    if (!wanted_ && !pending_) return std::nullopt;
    return StartRead(now);
  }
  const std::optional<LeaseRecord> next = NextRecord(now);
  if (next) return StartWrite(*next, now);
  if (OwnsRecord() || !wanted_) return std::nullopt;
  return StartRead(now);
}

void LeaseKeeper::OnRead(const Result<PlatformObject>& answer, TimePoint now) {
  call_ = CallState::kNone;
  next_call_at_ = now + options_.retry_pause;
  if (!answer) {
    if (answer.error().code != ErrorCode::kNotFound) return;
    ObserveRecord(0, {}, now);
    if (record_known_) next_call_at_ = now;
    return;
  }
  const Result<LeaseRecord> record = ParseLeaseRecord(answer.value().value);
  // An object that is not a lease is never overwritten; the lease stays not
  // held.
  if (!record) return;
  ObserveRecord(answer.value().version, record.value(), now);
  if (record_known_ && record_ == pending_) ConfirmPending();
  if (!IsHeldByOther(now)) next_call_at_ = now;
}

void LeaseKeeper::OnWrite(const Result<uint64_t>& answer, TimePoint now) {
  call_ = CallState::kNone;
  next_call_at_ = now;
  if (!answer) {
    // Read the object back before writing again.
    record_known_ = false;
    const bool may_be_written =
        answer.error().code == ErrorCode::kUnknownOutcome ||
        answer.error().code == ErrorCode::kConflict;
    if (!may_be_written) next_call_at_ = now + options_.retry_pause;
    return;
  }
  version_ = answer.value();
  record_ = *pending_;
  version_seen_at_ = now;
  ConfirmPending();
}

std::optional<uint64_t> LeaseKeeper::FencingNumber(TimePoint now) const {
  if (!held_until_ || now >= *held_until_) return std::nullopt;
  return record_.fencing_number;
}

bool LeaseKeeper::IsHeldByOther(TimePoint now) const {
  return record_known_ && !record_.holder.empty() && !OwnsRecord() &&
         now < version_seen_at_ + record_.duration;
}

std::optional<LeaseRecord> LeaseKeeper::NextRecord(TimePoint now) const {
  if (OwnsRecord()) {
    LeaseRecord next = record_;
    ++next.renewal;
    if (!wanted_) next.holder.clear();
    if (wanted_ && !IsRenewalDue(now)) return std::nullopt;
    return next;
  }
  if (!wanted_ || IsHeldByOther(now)) return std::nullopt;
  return Acquisition();
}

LeaseRecord LeaseKeeper::Acquisition() const {
  return {options_.holder, record_.fencing_number + 1, 0, options_.duration};
}

bool LeaseKeeper::IsRenewalDue(TimePoint now) const {
  return !held_until_ ||
         now >= version_seen_at_ + options_.duration / kRenewalsPerDuration;
}

LeaseCommand LeaseKeeper::StartRead(TimePoint now) {
  call_ = CallState::kReading;
  call_sent_at_ = now;
  return LeaseRead{};
}

LeaseCommand LeaseKeeper::StartWrite(LeaseRecord record, TimePoint now) {
  call_ = CallState::kWriting;
  call_sent_at_ = now;
  // The first copy of a repeated write may have taken effect long ago, so the
  // lease's duration counts from the first.
  if (pending_ != record) {
    pending_ = record;
    pending_sent_at_ = now;
  }
  if (record.holder.empty()) held_until_.reset();
  return LeaseWrite{std::move(record), version_};
}

// Ignores an answer that a stale replica of the platform gave.
void LeaseKeeper::ObserveRecord(uint64_t version, const LeaseRecord& record,
                                TimePoint now) {
  if (version < version_) return;
  record_known_ = true;
  if (version == version_ && version_seen_at_ != TimePoint{}) return;
  version_ = version;
  record_ = record;
  version_seen_at_ = now;
  if (!OwnsRecord()) held_until_.reset();
}

void LeaseKeeper::ConfirmPending() {
  if (pending_->holder == options_.holder) {
    held_until_ = pending_sent_at_ + options_.duration - options_.margin;
  }
  pending_.reset();
}

PermitKeeper::PermitKeeper(const PermitOptions& options, size_t first_permit)
    : current_(first_permit % options.permits) {
  for (size_t i = 0; i < options.permits; ++i) {
    LeaseOptions lease = options.lease;
    lease.path = options.prefix + std::to_string(i);
    keepers_.emplace_back(std::move(lease));
  }
}

void PermitKeeper::SetWanted(bool wanted) {
  for (LeaseKeeper& keeper : keepers_) keeper.SetWanted(wanted);
}

std::optional<PermitCommand> PermitKeeper::TakeCommand(TimePoint now) {
  LeaseKeeper& keeper = keepers_[current_];
  const std::optional<LeaseCommand> command = keeper.TakeCommand(now);
  if (!command) return std::nullopt;
  return PermitCommand{keeper.path(), *command};
}

void PermitKeeper::OnRead(const Result<PlatformObject>& answer, TimePoint now) {
  keepers_[current_].OnRead(answer, now);
  // Go on to the next permit if another holder has this one.
  if (keepers_[current_].IsHeldByOther(now)) {
    current_ = (current_ + 1) % keepers_.size();
  }
}

void PermitKeeper::OnWrite(const Result<uint64_t>& answer, TimePoint now) {
  keepers_[current_].OnWrite(answer, now);
}

std::optional<uint64_t> PermitKeeper::FencingNumber(TimePoint now) const {
  return keepers_[current_].FencingNumber(now);
}

bool FencingGate::Admit(uint64_t fencing_number, const std::string& holder) {
  if (fencing_number < highest_) return false;
  if (fencing_number == highest_ && holder != holder_) return false;
  highest_ = fencing_number;
  holder_ = holder;
  return true;
}

}  // namespace dogwoodlatch
