#include "dogwoodlatch/claim_log.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {
namespace {

using Commands = ClaimLog::Commands;

void Append(Commands& out, Commands more) {
  std::ranges::move(more, std::back_inserter(out));
}

bool Holds(const std::vector<ClaimKey>& keys, const ClaimKey& key) {
  return std::ranges::find(keys, key) != keys.end();
}

WallTime NewestOf(const std::vector<ClaimEntry>& entries) {
  return std::ranges::max_element(entries, {}, &ClaimEntry::time)->time;
}

}  // namespace

// What the index tells stays true while the platform is down.
Commands ClaimLog::Claim(ClaimRequest request, TimePoint now, WallTime wall,
                         std::mt19937_64& random) {
  const std::optional<ClaimVerdict> verdict =
      owned_ ? Judge(request) : std::nullopt;
  if (verdict) return {DecideClaim{request.key, *verdict, {}}};
  if (now < retry_at_) {
    return {DecideClaim{request.key, ClaimVerdict::kFailed, {}}};
  }
  waiting_.push_back(std::move(request));
  return Pump(now, wall, random);
}

Commands ClaimLog::Tick(TimePoint now, WallTime wall, std::mt19937_64& random) {
  Commands out;
  GiveUpLate(now, out);
  if (now >= retry_at_) Append(out, Pump(now, wall, random));
  return out;
}

void ClaimLog::Release(const ClaimKey& key) {
  const auto found = index_.find(key);
  if (found == index_.end()) return;
  found->second.released = true;
  has_released_ = true;
}

// Nothing is granted while the outcome of a write is open: the write is settled
// first.
Commands ClaimLog::Pump(TimePoint now, WallTime wall, std::mt19937_64& random) {
  Commands out;
  if (busy_) return out;
  if (settling_ || (!owned_ && !waiting_.empty())) {
    busy_ = true;
    return {ReadClaims{}};
  }
  if (!owned_) return out;
  JudgeWaiting(out);
  if (waiting_.empty() && !has_released_) return out;
  if (now < next_write_) return out;
  const bool is_full = head_.entries.size() >= options_.head_entries;
  Append(out, is_full && !archived_ && !archiving_ ? Archive()
                                                   : WriteBatch(wall, random));
  return out;
}

// An entry of this life that was released may run at once: the claim stands in
// the log and no other life will run it.
std::optional<ClaimVerdict> ClaimLog::Judge(const ClaimRequest& request) {
  const auto found = index_.find(request.key);
  if (found == index_.end()) {
    if (request.issued <= head_.floor) return ClaimVerdict::kTooOld;
    return std::nullopt;
  }
  Claimed& claimed = found->second;
  if (claimed.body_digest != request.body_digest) {
    return ClaimVerdict::kKeyReused;
  }
  if (claimed.claimant != options_.claimant || !claimed.released) {
    return ClaimVerdict::kClaimedElsewhere;
  }
  claimed.released = false;
  return ClaimVerdict::kGranted;
}

void ClaimLog::JudgeWaiting(Commands& out) {
  std::erase_if(waiting_, [&](const ClaimRequest& request) {
    const std::optional<ClaimVerdict> verdict = Judge(request);
    if (verdict) out.push_back(DecideClaim{request.key, *verdict, {}});
    return verdict.has_value();
  });
}

// A number is never used again, so a segment that a former owner still writes
// or drops is none of this owner's.
Commands ClaimLog::Archive() {
  segment_number_ = std::max(segment_number_, head_.next_segment);
  archiving_ = true;
  busy_ = true;
  return {WriteSegment{segment_number_, head_.entries}};
}

Commands ClaimLog::OnSegmentWritten(bool written, TimePoint now, WallTime wall,
                                    std::mt19937_64& random) {
  busy_ = false;
  if (written) {
    archived_ = SegmentRef{segment_number_, NewestOf(head_.entries)};
  }
  ++segment_number_;
  Commands out = Pump(now, wall, random);
  archiving_ = false;
  return out;
}

Commands ClaimLog::WriteBatch(WallTime wall, std::mt19937_64& random) {
  PendingWrite pending;
  pending.write = {head_, version_};
  ClaimHead& next = pending.write.head;
  if (archived_) {
    next.segments.push_back(*archived_);
    next.next_segment = archived_->number + 1;
    next.entries.clear();
  }
  TakeReleased(pending);
  DropExpired(pending, wall);
  AddBatch(pending, wall);
  next.nonce = MakeRandomHex(random);
  pending_ = std::move(pending);
  busy_ = true;
  return {pending_->write};
}

// A released key leaves the index before its entry leaves the log: from here on
// it needs a new claim.
void ClaimLog::TakeReleased(PendingWrite& pending) {
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

// An entry is never older than the submit that it claims, so a late copy of a
// dropped claim lies below the floor, whatever the clocks say.
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
  busy_ = false;
  Commands out;
  if (!read) {
    FailAll(now, out);
    return out;
  }
  if (settling_) {
    Append(out, Settle(*read, now));
    if (busy_) return out;
  }
  if (!owned_ && !waiting_.empty()) Append(out, TakeOver(*read, random));
  Append(out, Pump(now, wall, random));
  return out;
}

// The write is in force, or still to come, or superseded. One still to come is
// sent again unchanged: whichever copy arrives first, the log gets it once.
Commands ClaimLog::Settle(const ClaimsRead& read, TimePoint now) {
  Commands out;
  if (read.head_version != 0 && read.head.nonce == pending_->write.head.nonce) {
    Accept(read.head_version, now, out);
    return out;
  }
  if (read.head_version == pending_->write.expected_version) {
    busy_ = true;
    return {pending_->write};
  }
  const PendingWrite lost = *std::exchange(pending_, std::nullopt);
  std::ranges::copy_if(lost.batch, std::back_inserter(waiting_),
                       [&](const ClaimRequest& request) {
                         return !Holds(lost.given_up, request.key);
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
    TurnAway(owner, out);
    return out;
  }
  head_ = read.head;
  version_ = read.head_version;
  index_.clear();
  std::ranges::for_each(read.archived, [this](const auto& e) { Index(e); });
  std::ranges::for_each(head_.entries, [this](const auto& e) { Index(e); });
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
  busy_ = true;
  out.push_back(pending_->write);
  return out;
}

void ClaimLog::TurnAway(const TargetId& owner, Commands& out) {
  for (const ClaimRequest& request : std::exchange(waiting_, {})) {
    out.push_back(DecideClaim{request.key, ClaimVerdict::kNotOwner, owner});
  }
}

Commands ClaimLog::OnHeadWritten(const HeadWritten& written, TimePoint now,
                                 WallTime wall, std::mt19937_64& random) {
  busy_ = false;
  Commands out;
  if (written.end == WriteEnd::kWritten) {
    Accept(written.version, now, out);
  } else if (written.end != WriteEnd::kNotWritten) {
    settling_ = true;
  } else {
    if (!settling_) LosePending(out);
    FailAll(now, out);
    return out;
  }
  Append(out, Pump(now, wall, random));
  return out;
}

void ClaimLog::Accept(uint64_t version, TimePoint now, Commands& out) {
  const PendingWrite pending = *std::exchange(pending_, std::nullopt);
  settling_ = false;
  owned_ = true;
  version_ = version;
  head_ = pending.write.head;
  archived_.reset();
  next_write_ = now + options_.write_interval;
  if (pending.takes_over) next_write_ = now;
  AcceptBatch(pending, out);
  for (const uint64_t number : pending.dropped) {
    out.push_back(DropSegment{number});
  }
  if (pending.dropped.empty()) return;
  std::erase_if(index_, [this](const auto& entry) {
    return entry.second.time <= head_.floor;
  });
}

// Those who waited for a claim that was given up have been told that it was not
// run.
void ClaimLog::AcceptBatch(const PendingWrite& pending, Commands& out) {
  for (const ClaimEntry& entry : head_.entries) {
    const auto request =
        std::ranges::find(pending.batch, entry.key, &ClaimRequest::key);
    if (request == pending.batch.end()) continue;
    Index(entry);
    if (Holds(pending.given_up, entry.key)) {
      Release(entry.key);
    } else {
      out.push_back(DecideClaim{entry.key, ClaimVerdict::kGranted, {}});
    }
  }
}

// The write is known not to have taken effect.
void ClaimLog::LosePending(Commands& out) {
  const PendingWrite pending = *std::exchange(pending_, std::nullopt);
  for (const ClaimRequest& request : pending.batch) {
    if (Holds(pending.given_up, request.key)) continue;
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
  }
  if (pending.takes_over) LoseOwnership();
  for (const ClaimEntry& entry : pending.released) {
    Index(entry);
    Release(entry.key);
  }
}

void ClaimLog::LoseOwnership() {
  settling_ = false;
  owned_ = false;
  has_released_ = false;
  index_.clear();
  archived_.reset();
  head_ = {};
}

void ClaimLog::FailAll(TimePoint now, Commands& out) {
  retry_at_ = now + options_.retry_pause;
  const auto fail = [&](const ClaimRequest& request) {
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
  };
  std::ranges::for_each(std::exchange(waiting_, {}), fail);
  if (!pending_) return;
  for (const ClaimRequest& request : pending_->batch) {
    if (Holds(pending_->given_up, request.key)) continue;
    fail(request);
    pending_->given_up.push_back(request.key);
  }
}

void ClaimLog::GiveUpLate(TimePoint now, Commands& out) {
  std::erase_if(waiting_, [&](const ClaimRequest& request) {
    if (request.deadline > now) return false;
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
    return true;
  });
  if (!pending_) return;
  for (const ClaimRequest& request : pending_->batch) {
    if (request.deadline > now || Holds(pending_->given_up, request.key)) {
      continue;
    }
    out.push_back(DecideClaim{request.key, ClaimVerdict::kFailed, {}});
    pending_->given_up.push_back(request.key);
  }
}

void ClaimLog::Index(const ClaimEntry& entry) {
  index_[entry.key] = {entry.body_digest, entry.claimant, entry.time, false};
}

}  // namespace dogwoodlatch
