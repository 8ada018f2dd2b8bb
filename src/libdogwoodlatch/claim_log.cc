#include "dogwoodlatch/claim_log.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {
namespace {

using Commands = ClaimLog::Commands;

void Append(Commands& out, Commands more) {
  std::ranges::move(more, std::back_inserter(out));
}

bool Contains(const std::vector<ClaimKey>& keys, const ClaimKey& key) {
  return std::ranges::find(keys, key) != keys.end();
}

WallTime NewestClaimTime(const std::vector<ClaimEntry>& entries) {
  return std::ranges::max_element(entries, {}, &ClaimEntry::time)->time;
}

}  // namespace

// Decisions from the index need no platform access, so they are also made
// during an outage.
Commands ClaimLog::Claim(ClaimRequest request, TimePoint now, WallTime wall,
                         std::mt19937_64& random) {
  const std::optional<ClaimVerdict> verdict =
      owned_ ? DecideFromIndex(request) : std::nullopt;
  if (verdict) return {DecideClaim{request.key, *verdict, {}}};
  if (now < retry_at_) {
    return {DecideClaim{request.key, ClaimVerdict::kFailed, {}}};
  }
  waiting_.push_back(std::move(request));
  return IssueNextAccess(now, wall, random);
}

Commands ClaimLog::Tick(TimePoint now, WallTime wall, std::mt19937_64& random) {
  Commands out;
  FailExpiredRequests(now, out);
  if (now >= retry_at_) Append(out, IssueNextAccess(now, wall, random));
  return out;
}

void ClaimLog::Release(const ClaimKey& key) {
  const auto found = index_.find(key);
  if (found == index_.end()) return;
  found->second.released = true;
  has_released_ = true;
}

bool ClaimLog::MayHaveRun(const ClaimKey& key) const {
  const auto found = index_.find(key);
  return found != index_.end() && !found->second.released;
}

bool ClaimLog::HasNotRun(const ClaimKey& key) const {
  return owned_ && !is_contested_ && !MayHaveRun(key);
}

// No waiting request is decided while the outcome of a write is unknown: that
// write is resolved first.
Commands ClaimLog::IssueNextAccess(TimePoint now, WallTime wall,
                                   std::mt19937_64& random) {
  Commands out;
  if (access_pending_) return out;
  if (write_unresolved_ || (!owned_ && !waiting_.empty())) {
    access_pending_ = true;
    return {ReadClaims{}};
  }
  if (!owned_) return out;
  DecideWaiting(out);
  if (waiting_.empty() && !has_released_) return out;
  if (now < next_write_) return out;
  const bool is_full = head_.entries.size() >= options_.head_entries;
  Append(out, is_full && !unlisted_segment_ && !archiving_
                  ? Archive()
                  : WriteBatch(wall, random));
  return out;
}

// A released entry of this incarnation may run at once: its claim is still in
// the log, so no other incarnation will run it.
std::optional<ClaimVerdict> ClaimLog::DecideFromIndex(
    const ClaimRequest& request) {
  const auto found = index_.find(request.key);
  if (found == index_.end()) {
    if (request.issued <= head_.floor) return ClaimVerdict::kTooOld;
    return std::nullopt;
  }
  IndexedClaim& claimed = found->second;
  if (claimed.body_digest != request.body_digest) {
    return ClaimVerdict::kKeyReused;
  }
  if (claimed.claimant != options_.claimant || !claimed.released) {
    return ClaimVerdict::kClaimedElsewhere;
  }
  claimed.released = false;
  return ClaimVerdict::kGranted;
}

void ClaimLog::DecideWaiting(Commands& out) {
  std::erase_if(waiting_, [&](const ClaimRequest& request) {
    const std::optional<ClaimVerdict> verdict = DecideFromIndex(request);
    if (verdict) out.push_back(DecideClaim{request.key, *verdict, {}});
    return verdict.has_value();
  });
}

// Segment numbers are never reused, so a segment that a former owner still
// writes or drops is never one of this owner's.
Commands ClaimLog::Archive() {
  segment_number_ = std::max(segment_number_, head_.next_segment);
  archiving_ = true;
  access_pending_ = true;
  return {WriteSegment{segment_number_, head_.entries}};
}

Commands ClaimLog::OnSegmentWritten(bool written, TimePoint now, WallTime wall,
                                    std::mt19937_64& random) {
  access_pending_ = false;
  if (written) {
    unlisted_segment_ =
        SegmentRef{segment_number_, NewestClaimTime(head_.entries)};
  }
  ++segment_number_;
  Commands out = IssueNextAccess(now, wall, random);
  archiving_ = false;
  return out;
}

Commands ClaimLog::WriteBatch(WallTime wall, std::mt19937_64& random) {
  PendingWrite pending;
  pending.write = {head_, version_};
  ClaimHead& next = pending.write.head;
  if (unlisted_segment_) {
    next.segments.push_back(*unlisted_segment_);
    next.next_segment = unlisted_segment_->number + 1;
    next.entries.clear();
  }
  RemoveReleased(pending);
  DropExpired(pending, wall);
  AddBatch(pending, wall);
  next.nonce = MakeRandomHex(random);
  pending_ = std::move(pending);
  access_pending_ = true;
  return {pending_->write};
}

// A released key leaves the index before its entry leaves the log: from then on
// it needs a new claim.
void ClaimLog::RemoveReleased(PendingWrite& pending) {
  if (!has_released_) return;
  has_released_ = false;
  std::erase_if(pending.write.head.entries, [&](const ClaimEntry& entry) {
    const auto found = index_.find(entry.key);
    if (found == index_.end() || !found->second.released) return false;
    pending.released.push_back(entry);
    index_.erase(found);
    return true;
  });
}

void ClaimLog::DropExpired(PendingWrite& pending, WallTime wall) const {
  ClaimHead& next = pending.write.head;
  std::erase_if(next.segments, [&](const SegmentRef& segment) {
    if (segment.newest + options_.retention >= wall) return false;
    next.floor = std::max(next.floor, segment.newest);
    pending.dropped.push_back(segment.number);
    return true;
  });
}

// An entry's time is never before the issue time of its submit, so a late copy
// of a submit whose claim was dropped is refused as too old regardless of clock
// skew.
void ClaimLog::AddBatch(PendingWrite& pending, WallTime wall) {
  pending.batch = std::exchange(waiting_, {});
  for (const ClaimRequest& request : pending.batch) {
    pending.write.head.entries.push_back({request.key, request.body_digest,
                                          options_.claimant,
                                          std::max(wall, request.issued)});
  }
}

Commands ClaimLog::OnRead(const std::optional<ClaimsRead>& read, TimePoint now,
                          WallTime wall, std::mt19937_64& random) {
  access_pending_ = false;
  Commands out;
  if (!read) {
    FailAllRequests(now, out);
    return out;
  }
  if (write_unresolved_) {
    Append(out, ResolvePendingWrite(*read, now));
    if (access_pending_) return out;
  }
  if (!owned_ && !waiting_.empty()) Append(out, TakeOver(*read, random));
  Append(out, IssueNextAccess(now, wall, random));
  return out;
}

// The write took effect, is still in flight, or was superseded. One that may be
// in flight is repeated unchanged: both copies expect the same version, so at
// most one takes effect.
Commands ClaimLog::ResolvePendingWrite(const ClaimsRead& read, TimePoint now) {
  Commands out;
  if (read.head_version != 0 && read.head.nonce == pending_->write.head.nonce) {
    CommitPendingWrite(read.head_version, now, out);
    return out;
  }
  if (read.head_version == pending_->write.expected_version) {
    access_pending_ = true;
    return {pending_->write};
  }
  const PendingWrite lost = *std::exchange(pending_, std::nullopt);
  std::ranges::copy_if(lost.batch, std::back_inserter(waiting_),
                       [&](const ClaimRequest& request) {
                         return !Contains(lost.abandoned_keys, request.key);
                       });
  LoseOwnership();
  return out;
}

Commands ClaimLog::TakeOver(const ClaimsRead& read, std::mt19937_64& random) {
  const TargetId& owner = read.head.owner;
  const bool is_free = read.head_version == 0 || owner == options_.self;
  const auto may_take = [&](const ClaimRequest& request) {
    return is_free || request.take_over_from == owner;
  };
  Commands out;
  if (std::ranges::none_of(waiting_, may_take)) {
    RefuseAsNotOwner(owner, out);
    return out;
  }
  head_ = read.head;
  version_ = read.head_version;
  index_.clear();
  std::ranges::for_each(read.archived,
                        [this](const auto& e) { AddToIndex(e); });
  std::ranges::for_each(head_.entries,
                        [this](const auto& e) { AddToIndex(e); });
  PendingWrite pending;
  pending.takes_over = true;
  pending.write = {head_, version_};
  ClaimHead& next = pending.write.head;
  ++next.epoch;
  next.owner = options_.self;
  next.claimant = options_.claimant;
  next.nonce = MakeRandomHex(random);
  for (const uint64_t number : read.segment_numbers) {
    next.next_segment = std::max(next.next_segment, number + 1);
    const bool is_listed =
        std::ranges::find(next.segments, number, &SegmentRef::number) !=
        next.segments.end();
    if (!is_listed) pending.dropped.push_back(number);
  }
  pending_ = std::move(pending);
  access_pending_ = true;
  out.push_back(pending_->write);
  return out;
}

void ClaimLog::RefuseAsNotOwner(const TargetId& owner, Commands& out) {
  for (const ClaimRequest& request : std::exchange(waiting_, {})) {
    out.push_back(DecideClaim{request.key, ClaimVerdict::kNotOwner, owner});
  }
}

Commands ClaimLog::OnHeadWritten(const HeadWritten& written, TimePoint now,
                                 WallTime wall, std::mt19937_64& random) {
  access_pending_ = false;
  Commands out;
  if (written.outcome == WriteOutcome::kWritten) {
    CommitPendingWrite(written.version, now, out);
  } else if (written.outcome != WriteOutcome::kNotWritten) {
    write_unresolved_ = true;
    is_contested_ = written.outcome == WriteOutcome::kConflict;
  } else {
    OnPendingNotWritten(out);
    FailAllRequests(now, out);
    return out;
  }
  Append(out, IssueNextAccess(now, wall, random));
  return out;
}

// A write that removes claims is resolved whatever the platform reports: a key
// whose claim may already be gone must not be run based on it.
void ClaimLog::OnPendingNotWritten(Commands& out) {
  if (!pending_->released.empty()) write_unresolved_ = true;
  if (!write_unresolved_) FailPendingWrite(out);
}

void ClaimLog::CommitPendingWrite(uint64_t version, TimePoint now,
                                  Commands& out) {
  const PendingWrite pending = *std::exchange(pending_, std::nullopt);
  write_unresolved_ = false;
  is_contested_ = false;
  owned_ = true;
  version_ = version;
  head_ = pending.write.head;
  unlisted_segment_.reset();
  next_write_ = now + options_.write_interval;
  if (pending.takes_over) next_write_ = now;
  GrantBatch(pending, out);
  for (const uint64_t number : pending.dropped) {
    out.push_back(DropSegment{number});
  }
  if (pending.dropped.empty()) return;
  std::erase_if(index_, [this](const auto& entry) {
    return entry.second.time <= head_.floor;
  });
}

// Abandoned requests have already been refused as not run, so their claims are
// released.
void ClaimLog::GrantBatch(const PendingWrite& pending, Commands& out) {
  for (const ClaimEntry& entry : head_.entries) {
    const auto request =
        std::ranges::find(pending.batch, entry.key, &ClaimRequest::key);
    if (request == pending.batch.end()) continue;
    AddToIndex(entry);
    if (Contains(pending.abandoned_keys, entry.key)) {
      Release(entry.key);
    } else {
      out.push_back(DecideClaim{entry.key, ClaimVerdict::kGranted, {}});
    }
  }
}

// Call only if the write certainly did not take effect.
void ClaimLog::FailPendingWrite(Commands& out) {
  const PendingWrite pending = *std::exchange(pending_, std::nullopt);
  for (const ClaimRequest& request : pending.batch) {
    if (Contains(pending.abandoned_keys, request.key)) continue;
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
  }
  if (pending.takes_over) LoseOwnership();
}

void ClaimLog::LoseOwnership() {
  write_unresolved_ = false;
  is_contested_ = false;
  owned_ = false;
  has_released_ = false;
  index_.clear();
  unlisted_segment_.reset();
  head_ = {};
}

void ClaimLog::FailAllRequests(TimePoint now, Commands& out) {
  retry_at_ = now + options_.retry_pause;
  const auto fail = [&](const ClaimRequest& request) {
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
  };
  std::ranges::for_each(std::exchange(waiting_, {}), fail);
  if (!pending_) return;
  for (const ClaimRequest& request : pending_->batch) {
    if (Contains(pending_->abandoned_keys, request.key)) continue;
    fail(request);
    pending_->abandoned_keys.push_back(request.key);
  }
}

void ClaimLog::FailExpiredRequests(TimePoint now, Commands& out) {
  std::erase_if(waiting_, [&](const ClaimRequest& request) {
    if (request.deadline > now) return false;
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
    return true;
  });
  if (!pending_) return;
  for (const ClaimRequest& request : pending_->batch) {
    if (request.deadline > now ||
        Contains(pending_->abandoned_keys, request.key)) {
      continue;
    }
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
    pending_->abandoned_keys.push_back(request.key);
  }
}

void ClaimLog::AddToIndex(const ClaimEntry& entry) {
  index_[entry.key] = {entry.body_digest, entry.claimant, entry.time, false};
}

}  // namespace dogwoodlatch
