#include "dogwoodlatch/burn.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace dogwoodlatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

const std::vector<Objective> kObjectives = {
    {"meals", "complete", "menu", 0.99, milliseconds(0)},
    {"meals", "first-token", "menu", 0.9, milliseconds(800)},
    {"meals", "orders", "orders", 0.999, milliseconds(0)}};

struct Event {
  SloSample sample;
  Duration gap;
  size_t daemon;
};

rc::Gen<Event> GenEvent() {
  const auto sample = rc::gen::build<SloSample>(
      rc::gen::set(&SloSample::serves,
                   rc::gen::element<std::string>("menu", "orders", "other")),
      rc::gen::set(&SloSample::workspace,
                   rc::gen::element(WorkspaceId{"a"}, WorkspaceId{"b"})),
      rc::gen::set(&SloSample::target,
                   rc::gen::element(TargetId{"t1"}, TargetId{"t2"})),
      rc::gen::set(
          &SloSample::outcome,
          rc::gen::element(OutcomeKind::kComplete, OutcomeKind::kNotRun,
                           OutcomeKind::kUnknown, OutcomeKind::kRejected)),
      rc::gen::set(&SloSample::first_token,
                   rc::gen::map(rc::gen::inRange(0, 5000),
                                [](int ms) -> std::optional<Duration> {
                                  if (ms == 0) return std::nullopt;
                                  return std::chrono::duration_cast<Duration>(
                                      milliseconds(ms));
                                })));
  return rc::gen::map(
      rc::gen::tuple(sample, rc::gen::inRange(0, 1200), rc::gen::inRange(0, 3)),
      [](const std::tuple<SloSample, int, int>& parts) {
        return Event{std::get<0>(parts),
                     std::chrono::seconds(std::get<1>(parts)),
                     static_cast<size_t>(std::get<2>(parts))};
      });
}

SloSample Sample(OutcomeKind outcome, Duration first_token) {
  return {"menu", {"a"}, {"t1"}, outcome, OutcomeReason::kNone, first_token};
}

// Passes a report through its JSON form, as between daemons.
BurnReport RoundTrip(const BurnReport& report) {
  return ParseBurnReport(ToJson(report)).value();
}

}  // namespace

TEST_CASE("merged reports equal the report of a single recorder") {
  rc::prop("merge of three recorders", [] {
    const auto events = *rc::gen::container<std::vector<Event>>(GenEvent());
    std::array<SloRecorder, 3> daemons;
    SloRecorder single;
    TimePoint now{hours(1000)};
    for (const Event& event : events) {
      now += event.gap;
      daemons.at(event.daemon).Record(kObjectives, event.sample, now);
      single.Record(kObjectives, event.sample, now);
    }
    // A daemon that has no samples of an objective does not report it.
    std::vector<BurnReport> reports(daemons.size());
    std::ranges::transform(daemons, reports.begin(),
                           [now](const SloRecorder& daemon) {
                             return RoundTrip(daemon.Report(now));
                           });
    const BurnReport one = single.Report(now);
    RC_ASSERT(ToJson(MergeBurnReports(reports)) == ToJson(one));
    RC_ASSERT(ToJson(RoundTrip(one)) == ToJson(one));
  });
}

TEST_CASE("a window counts recent samples and drops expired ones") {
  rc::prop("sum against a list of all samples", [] {
    const auto gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
    const Duration width = std::chrono::seconds(10);
    constexpr size_t kCount = 6;
    WindowedCounts window(width, kCount);
    std::vector<int64_t> samples;
    TimePoint now{hours(1)};
    for (const int gap : gaps) {
      now += milliseconds(gap * 10);
      window.Add(now, gap % 2 == 0);
      samples.push_back(BucketNumber(now, width));
    }
    const int64_t oldest =
        BucketNumber(now, width) - static_cast<int64_t>(kCount) + 1;
    const auto expected = std::ranges::count_if(
        samples, [&](int64_t bucket) { return bucket >= oldest; });
    RC_ASSERT(window.Sum(now).total == static_cast<uint64_t>(expected));
    RC_ASSERT(window.Sum(now + width * kCount).total == 0U);
  });
}

TEST_CASE("a report drops samples older than the long window") {
  SloRecorder recorder;
  const TimePoint start{hours(10)};
  recorder.Record(kObjectives, Sample(OutcomeKind::kNotRun, milliseconds(10)),
                  start);
  const BurnReport soon = recorder.Report(start + minutes(10));
  CHECK(soon.front().ShortTotal().total == 0);
  CHECK(soon.front().LongTotal() == SloCounts{0, 1});
  const BurnReport late = recorder.Report(start + kLongBurnWindow);
  CHECK(late.front().rows.empty());
  CHECK_FALSE(FirstTokenQuantile(late.front().first_token, 0.5).has_value());
}

TEST_CASE("burn rate and state follow both windows") {
  CHECK(BurnRate({99, 100}, 0.99) == Approx(1));
  CHECK(BudgetLeft({98, 100}, 0.99) == Approx(-1));
  CHECK(BurnRate({0, 0}, 0.99) == 0);
  SloRecorder recorder;
  const TimePoint start{hours(10)};
  for (int i = 0; i < 10; ++i) {
    recorder.Record(kObjectives, Sample(OutcomeKind::kUnknown, milliseconds(9)),
                    start);
  }
  CHECK(ComputeBurnState(recorder.Report(start).front()) ==
        BurnState::kFastBurn);
  CHECK(ComputeBurnState(recorder.Report(start + minutes(6)).front()) ==
        BurnState::kOk);
}

TEST_CASE("rejected requests and disconnected callers are not counted") {
  SloRecorder recorder;
  const TimePoint now{hours(10)};
  SloSample gone = Sample(OutcomeKind::kNotRun, milliseconds(9));
  gone.reason = OutcomeReason::kCallerGone;
  recorder.Record(kObjectives, gone, now);
  recorder.Record(kObjectives, Sample(OutcomeKind::kRejected, milliseconds(9)),
                  now);
  CHECK(recorder.Report(now).empty());
}

TEST_CASE("counts restart from zero when an objective changes") {
  SloRecorder recorder;
  const TimePoint now{hours(10)};
  std::vector<Objective> objectives = {kObjectives[1]};
  recorder.Record(objectives, Sample(OutcomeKind::kComplete, milliseconds(900)),
                  now);
  objectives[0].first_token = milliseconds(1000);
  recorder.Record(objectives, Sample(OutcomeKind::kComplete, milliseconds(900)),
                  now);
  CHECK(recorder.Report(now).front().LongTotal() == SloCounts{1, 1});
}

TEST_CASE("a quantile is the upper edge of its bin") {
  FirstTokenHistogram histogram = MakeFirstTokenHistogram();
  for (int i = 0; i < 99; ++i) histogram(0.010);
  histogram(5.0);
  const auto median = FirstTokenQuantile(histogram, 0.5);
  CHECK(*median >= milliseconds(10));
  CHECK(*median <= milliseconds(13));
  CHECK(*FirstTokenQuantile(histogram, 1.0) >= milliseconds(5000));
}

}  // namespace dogwoodlatch
