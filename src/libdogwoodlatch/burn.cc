#include "dogwoodlatch/burn.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace dogwoodlatch {
namespace {

constexpr unsigned kFirstTokenBins = 48;
constexpr double kShortestFirstTokenSeconds = 0.001;
constexpr double kLongestFirstTokenSeconds = 100;
constexpr Duration kLongBucket = kLongBurnWindow / kBucketsPerBurnWindow;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Rejected requests, and those whose caller disconnected, spend no error
// budget.
bool CountsTowardObjectives(const SloSample& sample) {
  return sample.outcome != OutcomeKind::kRejected &&
         sample.reason != OutcomeReason::kCallerGone;
}

bool IsGood(const Objective& objective, const SloSample& sample) {
  if (!objective.is_first_token()) {
    return sample.outcome == OutcomeKind::kComplete;
  }
  return sample.first_token && *sample.first_token <= objective.first_token;
}

SloCounts SumRows(std::span<const BurnRow> rows, SloCounts BurnRow::*window) {
  SloCounts sum;
  for (const BurnRow& row : rows) sum += row.*window;
  return sum;
}

void AddRow(std::vector<BurnRow>& rows, const BurnRow& row) {
  const auto found = std::ranges::find_if(rows, [&](const BurnRow& other) {
    return other.workspace == row.workspace && other.target == row.target;
  });
  if (found == rows.end()) {
    rows.push_back(row);
    return;
  }
  found->short_window += row.short_window;
  found->long_window += row.long_window;
}

void AddHistory(std::vector<SloCounts>& sum,
                const std::vector<SloCounts>& history) {
  sum.resize(std::max(sum.size(), history.size()));
  // Both histories end with the current bucket.
  std::transform(history.rbegin(), history.rend(), sum.rbegin(), sum.rbegin(),
                 [](SloCounts a, const SloCounts& b) {
                   a += b;
                   return a;
                 });
}

void AddBurn(ObjectiveBurn& sum, const ObjectiveBurn& burn) {
  for (const BurnRow& row : burn.rows) AddRow(sum.rows, row);
  AddHistory(sum.history, burn.history);
  sum.first_token += burn.first_token;
}

}  // namespace

FirstTokenHistogram MakeFirstTokenHistogram() {
  return boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<uint64_t>(),
      FirstTokenAxis(kFirstTokenBins, kShortestFirstTokenSeconds,
                     kLongestFirstTokenSeconds));
}

std::optional<Duration> FirstTokenQuantile(const FirstTokenHistogram& histogram,
                                           double share) {
  const auto total = std::accumulate(histogram.begin(), histogram.end(), 0.0);
  if (total == 0) return std::nullopt;
  const FirstTokenAxis& axis = histogram.axis();
  double reached = 0;
  int bin = -1;
  for (; bin < axis.size(); ++bin) {
    reached += static_cast<double>(histogram.at(bin));
    if (reached >= share * total) break;
  }
  const int edge = std::min(bin + 1, axis.size());
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(axis.value(edge)));
}

SloCounts ObjectiveBurn::ShortTotal() const {
  return SumRows(rows, &BurnRow::short_window);
}

SloCounts ObjectiveBurn::LongTotal() const {
  return SumRows(rows, &BurnRow::long_window);
}

double BurnRate(const SloCounts& counts, double share) {
  if (counts.total == 0) return 0;
  const double bad_share =
      static_cast<double>(counts.bad()) / static_cast<double>(counts.total);
  return bad_share / (1 - share);
}

double BudgetLeft(const SloCounts& counts, double share) {
  return 1 - BurnRate(counts, share);
}

std::string_view ToString(BurnState state) {
  static constexpr std::array<std::string_view, 3> kNames = {"ok", "slow_burn",
                                                             "fast_burn"};
  return kNames.at(static_cast<size_t>(state));
}

// The long window keeps a short spike from raising an alert; the short window
// clears the alert soon after its cause has gone.
BurnState ComputeBurnState(const ObjectiveBurn& burn) {
  const double share = burn.objective.share;
  const double rate = std::min(BurnRate(burn.ShortTotal(), share),
                               BurnRate(burn.LongTotal(), share));
  if (rate >= kFastBurnRate) return BurnState::kFastBurn;
  return rate > 1 ? BurnState::kSlowBurn : BurnState::kOk;
}

BurnReport MergeBurnReports(std::span<const BurnReport> reports) {
  std::map<std::pair<std::string, std::string>, ObjectiveBurn> merged;
  for (const BurnReport& report : reports) {
    for (const ObjectiveBurn& burn : report) {
      const auto key = std::pair(burn.objective.team, burn.objective.name);
      const auto [entry, is_new] = merged.try_emplace(key, burn);
      // Counts against different definitions of an objective cannot be summed;
      // the first daemon's are kept until all daemons have the same settings.
      if (!is_new && entry->second.objective == burn.objective) {
        AddBurn(entry->second, burn);
      }
    }
  }
  BurnReport result;
  for (auto& [key, burn] : merged) {
    std::ranges::sort(burn.rows, {}, [](const BurnRow& row) {
      return std::pair(row.workspace, row.target);
    });
    result.push_back(std::move(burn));
  }
  return result;
}

void SloRecorder::Record(std::span<const Objective> objectives,
                         const SloSample& sample, TimePoint now) {
  if (!CountsTowardObjectives(sample)) return;
  for (const Objective& objective : objectives) {
    if (objective.serves != sample.serves) continue;
    Entry& entry = entries_[{objective.team, objective.name}];
    if (entry.objective != objective) entry = {objective, {}, {}};
    Row& row = entry.rows[{sample.workspace, sample.target}];
    const bool good = IsGood(objective, sample);
    row.short_window.Add(now, good);
    row.long_window.Add(now, good);
    if (!sample.first_token) continue;
    const int64_t bucket = BucketNumber(now, kLongBucket);
    const auto [histogram, is_new] =
        entry.first_token.try_emplace(bucket, MakeFirstTokenHistogram());
    histogram->second(ToSeconds(*sample.first_token));
    std::erase_if(entry.first_token, [bucket](const auto& item) {
      return item.first + static_cast<int64_t>(kBucketsPerBurnWindow) <= bucket;
    });
  }
}

BurnReport SloRecorder::Report(TimePoint now) const {
  BurnReport report;
  const int64_t newest = BucketNumber(now, kLongBucket);
  for (const auto& [key, entry] : entries_) {
    ObjectiveBurn burn{entry.objective, {}, {}};
    burn.history.resize(kBucketsPerBurnWindow);
    for (const auto& [row_key, row] : entry.rows) {
      const SloCounts long_sum = row.long_window.Sum(now);
      if (long_sum.total == 0) continue;
      burn.rows.push_back(
          {row_key.first, row_key.second, row.short_window.Sum(now), long_sum});
      AddHistory(burn.history, row.long_window.History(now));
    }
    for (const auto& [bucket, histogram] : entry.first_token) {
      const bool is_recent =
          bucket + static_cast<int64_t>(kBucketsPerBurnWindow) > newest;
      if (is_recent) burn.first_token += histogram;
    }
    report.push_back(std::move(burn));
  }
  return report;
}

}  // namespace dogwoodlatch
