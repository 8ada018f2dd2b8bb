/// Error-budget burn of service-level objectives, broken down by workspace and
/// target.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/objective.h"
#include "dogwoodlatch/request_lifecycle.h"
#include "dogwoodlatch/time.h"
#include "dogwoodlatch/windowed_counts.h"

namespace dogwoodlatch {

inline constexpr Duration kShortBurnWindow = std::chrono::minutes(5);
inline constexpr Duration kLongBurnWindow = std::chrono::hours(6);
inline constexpr size_t kBucketsPerBurnWindow = 30;  ///< in each window

/// The result of one request, as counted against objectives.
struct SloSample {
  std::string serves;  ///< model or service
  WorkspaceId workspace;
  TargetId target;  ///< empty when no target was reached
  OutcomeKind outcome = OutcomeKind::kNotRun;
  OutcomeReason reason = OutcomeReason::kNone;
  std::optional<Duration> first_token;  ///< since the request's arrival
};

/// Time to first token in seconds, on a logarithmic axis.
using FirstTokenAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using FirstTokenHistogram =
    boost::histogram::histogram<std::tuple<FirstTokenAxis>,
                                boost::histogram::dense_storage<uint64_t>>;

FirstTokenHistogram MakeFirstTokenHistogram();

/// The upper edge of the bin that contains the quantile `share`; none without
/// samples.
std::optional<Duration> FirstTokenQuantile(const FirstTokenHistogram& histogram,
                                           double share);

/// Counts of one workspace's requests at one target.
struct BurnRow {
  WorkspaceId workspace;
  TargetId target;
  SloCounts short_window;
  SloCounts long_window;
};

/// Counts of one objective, from one daemon or merged from several.
struct ObjectiveBurn {
  Objective objective;
  std::vector<BurnRow> rows;       ///< sorted by workspace and target
  std::vector<SloCounts> history;  ///< buckets of the long window, oldest first
  FirstTokenHistogram first_token = MakeFirstTokenHistogram();

  SloCounts ShortTotal() const;
  SloCounts LongTotal() const;
};

/// Sorted by team and name.
using BurnReport = std::vector<ObjectiveBurn>;

/// The rate at which the error budget is spent; at 1 the budget lasts exactly
/// one window.
double BurnRate(const SloCounts& counts, double share);

/// The fraction of the window's error budget that is left; negative if it is
/// overspent.
double BudgetLeft(const SloCounts& counts, double share);

enum class BurnState {
  kOk,
  kSlowBurn,  ///< both windows spend faster than the budget allows
  kFastBurn   ///< both windows spend at kFastBurnRate or more
};

inline constexpr double kFastBurnRate = 10;

std::string_view ToString(BurnState state);
BurnState ComputeBurnState(const ObjectiveBurn& burn);

/// Sums the reports of several daemons.
BurnReport MergeBurnReports(std::span<const BurnReport> reports);

nlohmann::json ToJson(const BurnReport& report);

/// Parses the output of ToJson; fails with kWrongType on anything else.
Result<BurnReport> ParseBurnReport(const nlohmann::json& document);

/// Accumulates samples by objective. Not thread-safe; all times are passed in.
class SloRecorder {
 public:
  /// Counts `sample` in every objective of its model or service. Rejected
  /// requests and those whose caller disconnected are not counted.
  void Record(std::span<const Objective> objectives, const SloSample& sample,
              TimePoint now);

  BurnReport Report(TimePoint now) const;

 private:
  using RowKey = std::pair<WorkspaceId, TargetId>;
  struct Row {
    WindowedCounts short_window{kShortBurnWindow / kBucketsPerBurnWindow,
                                kBucketsPerBurnWindow};
    WindowedCounts long_window{kLongBurnWindow / kBucketsPerBurnWindow,
                               kBucketsPerBurnWindow};
  };
  struct Entry {
    Objective objective;
    std::map<RowKey, Row> rows;
    std::map<int64_t, FirstTokenHistogram> first_token;  // by bucket number
  };

  std::map<std::pair<std::string, std::string>, Entry> entries_;
};

}  // namespace dogwoodlatch
