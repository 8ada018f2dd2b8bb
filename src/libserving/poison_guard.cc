#include "dogwoodlatch/serving/poison_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <iterator>
#include <ranges>
#include <utility>

#include "dogwoodlatch/quarantine.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Targets also crash for other reasons. A part is in many more requests than
// one caller repeats, so more is asked of the evidence against it.
struct SuspectRule {
  size_t crashes_to_hold;
  Duration first_pause;  // from the last crash to a trial
};
constexpr std::array<SuspectRule, 2> kRules = {
    SuspectRule{.crashes_to_hold = 3, .first_pause = seconds(20)},
    SuspectRule{.crashes_to_hold = 4, .first_pause = seconds(5)}};

// Each further crash multiplies the pause before the next trial.
constexpr int kPauseGrowth = 3;
constexpr Duration kLongestPause = minutes(10);

// Turns of the routers to try a suspect, and the part of a turn in which a
// trial may be sent. The rest is time for its outcome to reach all routers.
constexpr Duration kTurn = seconds(4);
constexpr Duration kTurnBegin = milliseconds(500);
constexpr Duration kTurnEnd = milliseconds(2500);

// A part that was in a whole answer so recently is not what crashed a target.
// New weights may have made it crash targets since, so the time is bounded.
constexpr Duration kAcquittalTime = seconds(3);
constexpr size_t kMaxAnsweredParts = 2048;

// How long a suspect is remembered after its last crash or refused request.
constexpr Duration kRetention = minutes(2);
// How long an acquittal is reported, so that older reports do not undo it.
constexpr Duration kAcquittalRetention = seconds(10);

constexpr size_t kMaxRecords = 512;
constexpr size_t kMaxCrashes = 16;

// A change is reported often until it has spread through several other routers.
constexpr Duration kFreshTime = milliseconds(1500);
// Keeps a datagram small.
constexpr size_t kMaxReports = 24;
constexpr std::ptrdiff_t kMaxReportsOfHeldBack = 8;

const SuspectRule& RuleOf(const Suspect& suspect) {
  return kRules.at(static_cast<size_t>(suspect.kind));
}

bool HoldsBack(const Suspect& suspect, size_t crashes) {
  return crashes >= RuleOf(suspect).crashes_to_hold;
}

// True if a whole answer at `answered_at` proves that the suspect did not cause
// a crash at `crashed_at`.
bool IsAcquitted(const Suspect& suspect, std::optional<TimePoint> answered_at,
                 TimePoint crashed_at) {
  const Duration holds_for =
      suspect.kind == SuspectKind::kPart ? kAcquittalTime : Duration{0};
  return answered_at && crashed_at - *answered_at <= holds_for;
}

Duration PauseBeforeTrial(const Suspect& suspect, size_t crashes) {
  const SuspectRule& rule = RuleOf(suspect);
  Duration pause = rule.first_pause;
  for (size_t i = rule.crashes_to_hold; i < crashes; ++i) {
    pause = std::min(kLongestPause, pause * kPauseGrowth);
  }
  return pause;
}

}  // namespace

std::string ToString(const Suspect& suspect) {
  const bool is_part = suspect.kind == SuspectKind::kPart;
  return (is_part ? "part-" : "request-") + FormatDigestHex(suspect.hash);
}

std::vector<Suspect> SuspectsOf(std::string_view path,
                                std::string_view workspace,
                                std::string_view body, const Prompt& prompt) {
  uint64_t hash = XXH64(path.data(), path.size(), 0);
  hash = XXH64(workspace.data(), workspace.size(), hash);
  hash = XXH64(body.data(), body.size(), hash);
  std::vector<Suspect> suspects{{SuspectKind::kRequest, hash}};
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    suspects.push_back(
        {SuspectKind::kPart,
         XXH64(prompt.model.data(), prompt.model.size(), prompt.parts[i].id)});
  }
  return suspects;
}

uint64_t IncarnationKey(const TargetRecord& target) {
  const auto started = target.started.time_since_epoch().count();
  return XXH64(target.id.data(), target.id.size(),
               static_cast<uint64_t>(started));
}

void PoisonGuard::OnBroken(std::span<const Suspect> suspects,
                           const BrokenRun& run, TimePoint now) {
  for (const Suspect& suspect : suspects) {
    const bool is_part = suspect.kind == SuspectKind::kPart;
    if (is_part && run.was_answering) continue;
    if (IsAcquitted(suspect, AnsweredAt(suspect), now)) continue;
    const SuspectReport report{
        .suspect = suspect,
        .crashes = {
            {.target = run.target, .was_answering = run.was_answering}}};
    OnReports({&report, 1}, now);
  }
}

void PoisonGuard::OnAnswered(std::span<const Suspect> suspects, TimePoint now) {
  for (const Suspect& suspect : suspects) {
    if (suspect.kind == SuspectKind::kPart) {
      if (answered_parts_.size() >= kMaxAnsweredParts) {
        std::erase_if(answered_parts_, [&](const auto& entry) {
          return now - entry.second > kAcquittalTime;
        });
      }
      const bool has_room = answered_parts_.size() < kMaxAnsweredParts;
      if (has_room || answered_parts_.contains(suspect.hash)) {
        answered_parts_[suspect.hash] = now;
      }
    }
    const auto found = records_.find(suspect);
    if (found == records_.end()) continue;
    Record& record = found->second;
    record.answered_at = now;
    if (record.crashes.empty()) continue;
    record.crashes.clear();
    NoteChange(suspect, record, now);
  }
}

void PoisonGuard::NoteChange(const Suspect& suspect, Record& record,
                             TimePoint now) {
  record.changed_at = now;
  record.is_reported = false;
  const size_t crashes = record.crashes.size();
  const bool holds_back = HoldsBack(suspect, crashes);
  if (std::exchange(record.holds_back, holds_back) == holds_back) return;
  changes_.push_back(
      {.suspect = suspect, .holds_back = holds_back, .crashes = crashes});
}

PoisonVerdict PoisonGuard::Admit(std::span<const Suspect> suspects,
                                 TimePoint now) {
  PoisonVerdict verdict = Check(suspects, now);
  if (!verdict.is_held_back) return verdict;
  Record& record = records_.at(verdict.suspect);
  record.wanted_at = now;
  const Duration overdue = -verdict.next_trial;
  if (overdue >= Duration{0} &&
      IsTurnToTry(verdict.suspect, record, overdue, now)) {
    record.tried_at = now;
    verdict.is_held_back = false;
    verdict.is_trial = true;
  }
  return verdict;
}

// The suspect that may be tried last decides.
PoisonVerdict PoisonGuard::Check(std::span<const Suspect> suspects,
                                 TimePoint now) const {
  PoisonVerdict verdict;
  if (records_.empty()) return verdict;
  for (const Suspect& suspect : suspects) {
    const auto found = records_.find(suspect);
    if (found == records_.end()) continue;
    const Record& record = found->second;
    const size_t crashes = record.crashes.size();
    if (!HoldsBack(suspect, crashes) || IsExplainedByOthers(record, suspects)) {
      continue;
    }
    const TimePoint last = std::ranges::max(record.crashes, {}, &Crash::at).at;
    const Duration next_trial = last + PauseBeforeTrial(suspect, crashes) - now;
    if (verdict.is_held_back && next_trial <= verdict.next_trial) continue;
    verdict = {.is_held_back = true,
               .suspect = suspect,
               .crashes = crashes,
               .next_trial = next_trial};
  }
  return verdict;
}

size_t PoisonGuard::Crashes(const Suspect& suspect) const {
  const auto found = records_.find(suspect);
  return found == records_.end() ? 0 : found->second.crashes.size();
}

size_t PoisonGuard::holding_back() const {
  return static_cast<size_t>(std::ranges::count_if(
      records_, [](const auto& entry) { return entry.second.holds_back; }));
}

void PoisonGuard::SetRouters(std::vector<uint64_t> routers) {
  routers_ = std::move(routers);
}

// A suspect that the request does not have, and under which all these targets
// crashed too, explains the crashes as well. The request gets the benefit of
// the doubt: a whole answer acquits it, and a crash that the other suspect does
// not explain holds it back. Of suspects that were always together, each one
// alone is let through.
bool PoisonGuard::IsExplainedByOthers(const Record& record,
                                      std::span<const Suspect> suspects) const {
  return std::ranges::any_of(records_, [&](const auto& entry) {
    const Record& other = entry.second;
    if (other.crashes.size() < record.crashes.size() ||
        std::ranges::find(suspects, entry.first) != suspects.end()) {
      return false;
    }
    return std::ranges::all_of(record.crashes, [&](const Crash& crash) {
      return std::ranges::any_of(other.crashes, [&](const Crash& of) {
        return of.target == crash.target && !of.was_answering;
      });
    });
  });
}

// One router at a time, in an order that all of them compute from the suspect
// and the time since its last crash, so that no two try it at once.
bool PoisonGuard::IsTurnToTry(const Suspect& suspect, const Record& record,
                              Duration overdue, TimePoint now) const {
  const Duration in_turn = overdue % kTurn;
  if (in_turn < kTurnBegin || in_turn > kTurnEnd) return false;
  if (record.tried_at && now - *record.tried_at < kTurn) return false;
  if (routers_.empty()) return true;
  const auto turn = static_cast<uint64_t>(overdue / kTurn);
  const auto rank = [&](uint64_t router) {
    const std::array<uint64_t, 3> input = {suspect.hash, turn, router};
    return XXH64(input.data(), sizeof(input), 0);
  };
  return std::ranges::min(routers_, {}, rank) == routers_.front();
}

bool PoisonGuard::HasFreshReports(TimePoint now) const {
  return std::ranges::any_of(records_, [&](const auto& entry) {
    return now - entry.second.changed_at <= kFreshTime;
  });
}

// Drops acquittals that need not be reported any more, and suspects that no
// request had for long.
void PoisonGuard::DropExpired(TimePoint now) {
  std::erase_if(records_, [&](const auto& entry) {
    const auto& [suspect, record] = entry;
    const bool is_expired =
        record.crashes.empty()
            ? now - record.answered_at.value_or(record.changed_at) >
                  kAcquittalRetention
            : now - record.wanted_at > kRetention;
    if (is_expired && record.holds_back) {
      changes_.push_back({.suspect = suspect,
                          .holds_back = false,
                          .crashes = record.crashes.size()});
    }
    return is_expired;
  });
}

std::vector<SuspectReport> PoisonGuard::TakeReports(TimePoint now) {
  DropExpired(now);
  // From the suspect after the one that was reported last, once around.
  std::vector<Records::value_type*> in_turn;
  const auto begin =
      last_reported_ ? records_.upper_bound(*last_reported_) : records_.begin();
  std::for_each(begin, records_.end(),
                [&](auto& entry) { in_turn.push_back(&entry); });
  std::for_each(records_.begin(), begin,
                [&](auto& entry) { in_turn.push_back(&entry); });
  const auto holds_back = [](const Records::value_type* entry) {
    return HoldsBack(entry->first, entry->second.crashes.size());
  };
  const auto is_fresh = [&](const Records::value_type* entry) {
    return now - entry->second.changed_at <= kFreshTime;
  };
  const auto held =
      std::stable_partition(in_turn.begin(), in_turn.end(), holds_back);
  const auto rest =
      in_turn.begin() + std::min(held - in_turn.begin(), kMaxReportsOfHeldBack);
  // While many connections break, innocent requests are suspects too. What has
  // changed must not wait for its turn among them.
  const auto reported = std::stable_partition(
      rest, in_turn.end(), [](const Records::value_type* entry) {
        return !entry->second.is_reported;
      });
  std::stable_partition(reported, in_turn.end(), is_fresh);
  in_turn.resize(std::min(in_turn.size(), kMaxReports));
  if (!in_turn.empty()) last_reported_ = in_turn.back()->first;
  std::vector<SuspectReport> reports;
  std::ranges::transform(in_turn, std::back_inserter(reports),
                         [&](Records::value_type* entry) {
                           entry->second.is_reported = true;
                           return MakeReport(*entry, now);
                         });
  return reports;
}

SuspectReport PoisonGuard::MakeReport(const Records::value_type& entry,
                                      TimePoint now) const {
  const auto& [suspect, record] = entry;
  SuspectReport report{.suspect = suspect,
                       .wanted_ago = now - record.wanted_at};
  std::ranges::transform(record.crashes, std::back_inserter(report.crashes),
                         [&](const Crash& crash) {
                           return SuspectReport::Crash{
                               .target = crash.target,
                               .age = now - crash.at,
                               .was_answering = crash.was_answering};
                         });
  if (record.answered_at) report.answered_ago = now - *record.answered_at;
  return report;
}

void PoisonGuard::OnReports(std::span<const SuspectReport> reports,
                            TimePoint now) {
  for (const SuspectReport& report : reports) {
    Record* record = FindOrAdd(report.suspect, now);
    if (record != nullptr && MergeReport(report, *record, now)) {
      NoteChange(report.suspect, *record, now);
    }
  }
}

// Returns true if the report held anything new. The order of reports does not
// matter, nor how often one arrives.
bool PoisonGuard::MergeReport(const SuspectReport& report, Record& record,
                              TimePoint now) {
  bool is_new = false;
  for (const SuspectReport::Crash& crash : report.crashes) {
    const bool is_known =
        std::ranges::find(record.crashes, crash.target, &Crash::target) !=
        record.crashes.end();
    if (is_known) continue;
    record.crashes.push_back(
        {crash.target, now - crash.age, crash.was_answering});
    is_new = true;
  }
  // Another router's requests may have been answered whole.
  if (report.answered_ago) {
    const TimePoint answered_at = now - *report.answered_ago;
    record.answered_at =
        std::max(record.answered_at.value_or(answered_at), answered_at);
  }
  record.answered_at = std::max(record.answered_at, AnsweredAt(report.suspect));
  const size_t before = record.crashes.size();
  std::erase_if(record.crashes, [&](const Crash& crash) {
    return IsAcquitted(report.suspect, record.answered_at, crash.at);
  });
  const bool was_acquitted = record.crashes.size() < before;
  if (record.crashes.size() > kMaxCrashes) {
    std::ranges::sort(record.crashes, std::greater{}, &Crash::at);
    record.crashes.resize(kMaxCrashes);
  }
  record.wanted_at = std::max(record.wanted_at, now - report.wanted_ago);
  return is_new || was_acquitted;
}

std::optional<TimePoint> PoisonGuard::AnsweredAt(const Suspect& suspect) const {
  std::optional<TimePoint> answered_at;
  const auto record = records_.find(suspect);
  if (record != records_.end()) answered_at = record->second.answered_at;
  const auto part = answered_parts_.find(suspect.hash);
  if (suspect.kind == SuspectKind::kPart && part != answered_parts_.end()) {
    answered_at = std::max(answered_at, std::optional(part->second));
  }
  return answered_at;
}

PoisonGuard::Record* PoisonGuard::FindOrAdd(const Suspect& suspect,
                                            TimePoint now) {
  const auto found = records_.find(suspect);
  if (found != records_.end()) return &found->second;
  if (records_.size() >= kMaxRecords) MakeRoom(now);
  Record& record = records_[suspect];
  record.changed_at = now;
  return &record;
}

// Drops the suspect with the fewest crashes, of these the one that was wanted
// least recently.
void PoisonGuard::MakeRoom(TimePoint now) {
  const auto weight = [&](const Records::value_type& entry) {
    return std::pair(entry.second.crashes.size(), entry.second.wanted_at - now);
  };
  records_.erase(std::ranges::min_element(records_, {}, weight));
}

}  // namespace dogwoodlatch::serving
