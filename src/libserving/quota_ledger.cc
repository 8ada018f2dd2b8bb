#include "dogwoodlatch/serving/quota_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

// Part of the promised tolerance that admission uses. Requests that callers may
// rightly make are then admitted even if routers count them in another order.
// The rest covers what is spent before others have heard of it.
constexpr double kUsedTolerance = 0.4;

// A router that has not been heard for this time may be spending its part
// unseen. Routers send updates at least every 400 ms, of which one may be lost.
constexpr Duration kMaxSilence = milliseconds(1000);

// A router that has not run for this time has missed what others spent.
constexpr Duration kMaxGap = milliseconds(500);

// Spending is reported at the latest after this time.
constexpr Duration kReportPeriod = std::chrono::seconds(1);

// How long reports of others must have been followed until a workspace that
// nobody has reported counts as unused: a few report periods.
constexpr Duration kSightTime = std::chrono::seconds(3);

// All routers together may leave this share of a bucket unreported while it is
// more than half full.
constexpr double kUnreportedShare = 0.5;

// A report whose sender has started later than known by more than this is from
// a new process. Datagrams take less time.
constexpr Duration kRestartMargin = std::chrono::seconds(1);

// More debt than this many bursts is forgotten.
constexpr double kMaxDebtBursts = 2;

// Routers that have not been heard for so long are gone.
constexpr Duration kPeerLifetime = std::chrono::seconds(60);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

uint64_t QuotaKey(std::string_view workspace) {
  return XXH64(workspace.data(), workspace.size(), 0);
}

void QuotaLedger::SetLimits(
    const std::vector<std::pair<std::string, QuotaLimit>>& limits) {
  limits_.clear();
  for (const auto& [name, limit] : limits) limits_[QuotaKey(name)] = limit;
  std::erase_if(buckets_, [&](const auto& entry) {
    return !limits_.contains(entry.first);
  });
  for (auto& [workspace, bucket] : buckets_) {
    bucket.limit = limits_.at(workspace);
    bucket.left = std::clamp(bucket.left, -Capacity(bucket.limit),
                             Capacity(bucket.limit));
  }
}

// The slack is allowed in each window: half of it as burst, half as rate.
double QuotaLedger::Capacity(const QuotaLimit& limit) const {
  return static_cast<double>(limit.burst) *
             (1 + tolerance_.over * kUsedTolerance) +
         tolerance_.slack * kUsedTolerance / 2;
}

double QuotaLedger::Rate(const QuotaLimit& limit) const {
  return static_cast<double>(limit.rate_per_s) *
             (1 + tolerance_.over * kUsedTolerance) +
         tolerance_.slack * kUsedTolerance / 2 / Seconds(tolerance_.window);
}

bool QuotaLedger::IsNearLimit(const Bucket& bucket) const {
  return bucket.left < Capacity(bucket.limit) / 2;
}

bool QuotaLedger::HasSight(TimePoint now) const {
  return now - sight_since_ >= kSightTime;
}

void QuotaLedger::Tick(size_t known, TimePoint now) {
  const Duration elapsed = now - ticked_;
  ticked_ = now;
  if (limits_.empty()) return;
  if (elapsed > kMaxGap) {
    ++sight_;
    sight_since_ = now;
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.heard > kPeerLifetime;
  });
  const size_t heard = CountHeard(now);
  known_ = std::max(known, heard + 1);
  share_ = static_cast<double>(heard + 1) / static_cast<double>(known_);
  AddShareTime(elapsed);
  // A count that starts again from 0 is recognized as such, as it has not been
  // reported for two windows.
  std::erase_if(buckets_, [&](const auto& entry) {
    return now - entry.second.used_at > 2 * tolerance_.window;
  });
}

// A router that has fallen silent may be spending its part of what was left.
size_t QuotaLedger::CountHeard(TimePoint now) {
  size_t heard = 0;
  for (auto& [router, peer] : peers_) {
    const bool was_heard =
        std::exchange(peer.is_heard, now - peer.heard <= kMaxSilence);
    heard += peer.is_heard ? 1 : 0;
    if (!was_heard || peer.is_heard) continue;
    for (auto& [workspace, bucket] : buckets_) {
      Refill(bucket);
      bucket.left -= std::max(0.0, bucket.left) / static_cast<double>(known_);
    }
  }
  return heard;
}

// Adds one router's part of the refill. The part of another router is added
// when it is heard, and never for a time in which it was silent for long: it
// may have been spending its part unseen.
void QuotaLedger::AddShareTime(Duration duration) {
  share_time_ += Seconds(duration) / static_cast<double>(known_);
}

void QuotaLedger::Refill(Bucket& bucket) const {
  if (bucket.sight != sight_) {
    bucket.sight = sight_;
    bucket.is_settled = false;
    bucket.left = std::min(bucket.left, 0.0);
  }
  bucket.left = std::min(
      Capacity(bucket.limit),
      bucket.left + Rate(bucket.limit) * (share_time_ - bucket.refilled));
  bucket.refilled = share_time_;
}

// A router that has just started, or stood still, does not know what others
// have spent. It starts with its part of the tolerance.
QuotaLedger::Bucket* QuotaLedger::Find(uint64_t workspace, TimePoint now) {
  const auto limit = limits_.find(workspace);
  if (limit == limits_.end()) return nullptr;
  const auto [entry, is_new] = buckets_.try_emplace(workspace);
  Bucket& bucket = entry->second;
  if (is_new) {
    bucket.limit = limit->second;
    bucket.is_settled = HasSight(now);
    bucket.left = bucket.is_settled ? Capacity(bucket.limit)
                                    : tolerance_.slack * kUsedTolerance /
                                          static_cast<double>(known_);
    bucket.refilled = share_time_;
    bucket.sight = sight_;
    bucket.used_at = now;
    return &bucket;
  }
  Refill(bucket);
  return &bucket;
}

QuotaLedger::Decision QuotaLedger::Charge(std::string_view workspace,
                                          int64_t cost, TimePoint now) {
  if (limits_.empty()) return {};
  Bucket* bucket = Find(QuotaKey(workspace), now);
  if (bucket == nullptr) return {};
  bucket->used_at = now;
  // A request that costs more than the burst is admitted when the bucket is
  // full, and leaves a debt.
  const double needed =
      std::min(static_cast<double>(cost), Capacity(bucket->limit));
  Decision decision;
  decision.is_admitted = bucket->left >= needed;
  if (decision.is_admitted) {
    bucket->left -= static_cast<double>(cost);
    const int64_t covered = std::min(bucket->refund, cost);
    bucket->refund -= covered;
    bucket->spent += cost - covered;
  } else {
    const double rate = std::max(1.0, Rate(bucket->limit) * share_);
    decision.retry_after = FromSeconds((needed - bucket->left) / rate);
  }
  // Ends only when there is room again, so that requests of different sizes do
  // not begin and end it by turns.
  const bool is_limited =
      !decision.is_admitted || (bucket->is_limited && IsNearLimit(*bucket));
  decision.has_changed = is_limited != bucket->is_limited;
  bucket->is_limited = is_limited;
  return decision;
}

// What was reported stays reported, so that counts never fall. The refund
// covers later charges.
void QuotaLedger::Refund(std::string_view workspace, int64_t cost) {
  const auto found = buckets_.find(QuotaKey(workspace));
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  bucket.left += static_cast<double>(cost);
  const int64_t unreported = std::min(bucket.spent - bucket.reported, cost);
  bucket.spent -= unreported;
  bucket.refund += cost - unreported;
}

std::optional<QuotaReport> QuotaLedger::TakeReport(TimePoint now) {
  if (limits_.empty()) return std::nullopt;
  QuotaReport report{.uptime = now - started_, .asks_for_left = !HasSight(now)};
  const bool gives_left = std::exchange(is_asked_for_left_, false);
  for (auto& [workspace, bucket] : buckets_) {
    Refill(bucket);
    const auto unreported = static_cast<double>(bucket.spent - bucket.reported);
    const double quantum =
        Capacity(bucket.limit) * kUnreportedShare / static_cast<double>(known_);
    const bool is_near = IsNearLimit(bucket);
    const bool is_due =
        unreported > 0 && (is_near || unreported >= quantum ||
                           now - bucket.reported_at >= kReportPeriod);
    const bool is_asked_for = gives_left && bucket.is_settled;
    if (!is_due && !is_asked_for) continue;
    QuotaUse use{.workspace = workspace, .spent = bucket.spent};
    if (bucket.is_settled && (is_near || is_asked_for)) {
      use.left = static_cast<int64_t>(bucket.left);
    }
    bucket.reported = bucket.spent;
    bucket.reported_at = now;
    report.uses.push_back(use);
  }
  if (report.uses.empty() && !report.asks_for_left) return std::nullopt;
  return report;
}

void QuotaLedger::OnHeard(uint64_t router, TimePoint now) {
  if (limits_.empty()) return;
  Peer& peer = peers_[router];
  const Duration gap = now - std::exchange(peer.heard, now);
  if (peer.heard_since == TimePoint{}) {
    peer.heard_since = now;
  } else if (gap <= kMaxSilence) {
    AddShareTime(gap);
  } else {
    peer.unseen += gap;
  }
}

// What a peer has spent since its last report and has not been counted yet.
int64_t QuotaLedger::Unaccounted(Peer& peer, const QuotaUse& use,
                                 TimePoint now) const {
  const auto [entry, is_first] = peer.spent.try_emplace(use.workspace, 0);
  const int64_t before = std::exchange(entry->second, use.spent);
  if (!is_first && use.spent >= before) return use.spent - before;
  if (!is_first) return use.spent;  // counted from 0 again
  // The count may be old: the peer had begun it before it was heard first.
  const bool is_recent = now - peer.started <= tolerance_.window ||
                         now - peer.heard_since >= kSightTime;
  return is_recent ? use.spent : 0;
}

void QuotaLedger::OnReport(uint64_t router, const QuotaReport& report,
                           TimePoint now) {
  if (limits_.empty()) return;
  Peer& peer = peers_[router];
  const TimePoint started = now - report.uptime;
  if (!peer.uptime || started - peer.started > kRestartMargin) {
    peer.spent.clear();
    peer.started = started;
  } else if (report.uptime <= *peer.uptime) {
    return;  // overtaken by a later one
  }
  peer.uptime = report.uptime;
  is_asked_for_left_ = is_asked_for_left_ || report.asks_for_left;
  // While the peer was silent, its part was not refilled here.
  const double unseen_s = Seconds(std::exchange(peer.unseen, Duration{0}));
  for (const QuotaUse& use : report.uses) {
    Bucket* bucket = Find(use.workspace, now);
    if (bucket == nullptr) continue;
    const auto spent = static_cast<double>(Unaccounted(peer, use, now));
    const double prepaid =
        Rate(bucket->limit) * unseen_s / static_cast<double>(known_);
    const double charge = std::max(0.0, spent - prepaid);
    if (charge > 0) bucket->used_at = now;
    bucket->left = std::max(bucket->left - charge,
                            -kMaxDebtBursts * Capacity(bucket->limit));
    // A bucket that is settled is not changed: what the sender has left does
    // not include what it has not heard of yet.
    if (!use.left || bucket->is_settled) continue;
    bucket->left = static_cast<double>(*use.left);
    bucket->is_settled = true;
  }
}

size_t QuotaLedger::limited() const {
  return static_cast<size_t>(std::ranges::count_if(
      buckets_, [](const auto& entry) { return entry.second.is_limited; }));
}

}  // namespace dogwoodlatch::serving
