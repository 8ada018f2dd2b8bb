#include "dogwoodlatch/serving/engine_estimator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>

namespace dogwoodlatch::serving {
namespace {

constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 50.0;

// Estimates this close to the initial one do not replace it: observations err
// by as much, as backlogs of other routers are known up to 200 ms late, and
// deployments that the initial estimate describes are served as before.
constexpr double kInitialTolerance = 1.25;
constexpr double kInitialOverheadTolerance = 1.6;

// A request whose wait is not known shows only a bound of the slowness, which
// is the lower the less it has waited. The estimate is this quantile of the
// bounds.
constexpr double kBoundQuantile = 0.1;

// A quantile moves by at most the first share with each sample, and by the
// second one after so many samples on the same side, as at the start.
constexpr double kQuantileGain = 0.03;
constexpr double kFastQuantileGain = 0.4;
constexpr int kFastStreak = 16;

// A request finds its engine idle if at most this part of its own work is known
// to be ahead. Those with more work ahead than the second limit show how well
// backlogs are known rather than how fast the engine is.
constexpr double kIdleAhead = 0.25;
constexpr double kMaxAhead = 1.0;

// Requests that did not find their engine idle show no bound. They are used
// while there have been no others for this time.
constexpr Duration kIdleLifetime = std::chrono::seconds(3);

// Requests with less work than this share of the overhead tell little about the
// slowness, as the overhead is known to some 10 ms.
constexpr double kMinWorkOfOverhead = 0.5;
constexpr double kOverheadErrorMs = 10;
constexpr Duration kMinWork = std::chrono::milliseconds(4);
constexpr Duration kLongLifetime = std::chrono::seconds(10);

// Samples that a router passes on: all samples of a busy service would take
// some KB/s to each of the others.
constexpr double kSharedPerSecond = 8;
constexpr double kMaxShares = 8;

// Samples of a target kept for other routers, in case that none are known.
constexpr size_t kMaxUntold = 16;

// A target is taken for slower than its level if its last requests are all
// slower and not older than this. Two runs that happen to be 2.5 times as long
// do not change its estimate.
constexpr Duration kRecent = std::chrono::milliseconds(1500);

// With each request, a target's lasting level moves by this share of the
// difference, which counts as at most this much (as a logarithm).
constexpr double kLevelGain = 0.1;
constexpr double kMaxLevelDifference = 0.5;

// Without traffic, a target's level returns to its service's within this time.
constexpr Duration kLevelLifetime = std::chrono::seconds(60);

// Smaller differences of a level from its service, as a logarithm, are noise.
constexpr double kLevelNoise = 0.15;

// Differences of the last requests from the level by a smaller factor are
// noise: requests of other routers that were not known yet make some wait. The
// higher the load, the more do; so the factor is also at least that of this
// quantile of the service's requests to their median.
constexpr double kRecentNoise = 1.75;
constexpr double kHighQuantile = 0.9;

// A line is fitted through at least this many points, with so many on either
// side of the middle of their range, and so many times the x on the upper side.
constexpr size_t kMinPoints = 16;
constexpr std::ptrdiff_t kMinPointsOfSide = 4;
constexpr double kMinSpread = 2.0;

constexpr double kOverheadGain = 0.05;
constexpr double kRunGain = 0.05;
constexpr double kTokensGain = 0.05;
constexpr double kRunReferenceTokens = 12000;
constexpr int kMinRunEvents = 8;
constexpr double kMaxOverheadMs = 500;

// Some pauses between events contain the prefill of other requests; the step
// is what the shortest ones take.
constexpr double kStepQuantile = 0.1;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool IsNear(double value, double initial, double tolerance) {
  return value < initial * tolerance && value > initial / tolerance;
}

double ClampSlowness(double slowness) {
  return std::clamp(slowness, kMinSlowness, kMaxSlowness);
}

int ToPermille(double slowness) {
  return static_cast<int>(ClampSlowness(slowness) * 1000);
}

double Quantile(std::vector<double> values, double quantile) {
  const auto rank = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + rank);
  return values[static_cast<size_t>(rank)];
}

struct Line {
  double intercept = 0;
  double slope = 0;
};

// A line through the quantiles of the points on either side of the middle of
// their range: outliers move it little. None if the points do not differ enough
// in x.
std::optional<Line> FitLine(std::deque<std::pair<double, double>> points,
                            double quantile) {
  if (points.size() < kMinPoints) return std::nullopt;
  std::ranges::sort(points);
  const double middle_x = (points.front().first + points.back().first) / 2;
  const auto middle = std::ranges::upper_bound(
      points, middle_x, {}, [](const auto& point) { return point.first; });
  if (middle - points.begin() < kMinPointsOfSide ||
      points.end() - middle < kMinPointsOfSide) {
    return std::nullopt;
  }
  const auto point_of = [&](auto first, auto last) {
    std::vector<double> x;
    std::vector<double> y;
    std::ranges::transform(first, last, std::back_inserter(x),
                           [](const auto& point) { return point.first; });
    std::ranges::transform(first, last, std::back_inserter(y),
                           [](const auto& point) { return point.second; });
    return std::pair(Quantile(x, 0.5), Quantile(y, quantile));
  };
  const auto [low_x, low_y] = point_of(points.begin(), middle);
  const auto [high_x, high_y] = point_of(middle, points.end());
  if (high_x <= low_x * kMinSpread || high_x <= 0) return std::nullopt;
  const double slope = (high_y - low_y) / (high_x - low_x);
  if (slope < 0) return std::nullopt;
  return Line{low_y - slope * low_x, slope};
}

template <typename T>
void PushBounded(std::deque<T>& values, T value, size_t max_size) {
  values.push_back(std::move(value));
  if (values.size() > max_size) values.pop_front();
}

// The ratio without as much of its difference from 1 as may be noise.
double BeyondNoise(double ratio, double noise) {
  const double difference = std::log(ratio);
  if (std::abs(difference) <= noise) return 1;
  return std::exp(difference - std::copysign(noise, difference));
}

bool IsIdle(const FirstEventObservation& observed) {
  return ToMs(observed.work_ahead) <= kIdleAhead * ToMs(observed.work);
}

// What a request shows. If part of its wait is unknown, its time is only an
// upper bound: a wait must not be taken for slow prefill.
std::optional<SlownessSample> SampleOf(const FirstEventObservation& observed,
                                       const EngineProfile& known,
                                       double service_slowness,
                                       bool shows_bound) {
  const double own = ToMs(observed.work);
  const double ahead = ToMs(observed.work_ahead);
  const double time = std::max(0.0, ToMs(observed.time) - known.overhead_ms);
  const double bound = time / own;
  if (!observed.is_wait_known && bound >= known.slowness) return std::nullopt;
  const double slowness = observed.is_wait_known ? time / (own + ahead) : bound;
  // A request of another router that is not known yet may be ahead, too. It
  // weighs the less the more work is known.
  const double unknown = TypicalPrefillWorkMs();
  const double likely =
      (slowness * (own + ahead) + service_slowness * unknown) /
      (own + ahead + unknown);
  const bool is_clear = !observed.is_wait_known || ahead <= kMaxAhead * own;

  // Any request shows that its engine is not slower than its time allows, given
  // that the overhead may be this much less.
  const double loose_bound = (time + kOverheadErrorMs) / own;
  const bool is_above = !shows_bound && loose_bound < service_slowness;
  const double best =
      is_above ? loose_bound : (IsIdle(observed) ? bound : slowness);
  const bool has_bound = shows_bound || is_above;
  if (!is_clear && !has_bound) return std::nullopt;
  return SlownessSample{.permille = is_clear ? ToPermille(likely) : 0,
                        .bound_permille = has_bound ? ToPermille(best) : 0};
}

}  // namespace

// One step of a stochastic approximation.
void ServiceEngineEstimator::RunningQuantile::Add(double sample,
                                                  double quantile) {
  const bool is_above = sample > value;
  if (is_above != was_above_) is_starting_ = false;
  streak_ = is_above == was_above_ ? streak_ + 1 : 1;
  was_above_ = is_above;
  const double gain = is_starting_ || streak_ >= kFastStreak ? kFastQuantileGain
                                                             : kQuantileGain;
  value = ClampSlowness(value *
                        std::exp(gain * (is_above ? quantile : quantile - 1)));
}

void ServiceEngineEstimator::OnSample(SlownessSample sample, double level) {
  if (sample.permille > 0) {
    apparent_slowness_.Add(sample.permille / 1000.0, 0.5);
    high_slowness_.Add(sample.permille / 1000.0, kHighQuantile);
  }
  if (sample.bound_permille == 0) return;
  slowness_.Add(sample.bound_permille / 1000.0 / level, kBoundQuantile);
  profile_.slowness =
      IsNear(slowness_.value, 1.0, kInitialTolerance) ? 1.0 : slowness_.value;
}

bool ServiceEngineEstimator::ShowsBound(
    const FirstEventObservation& observation, TimePoint now) {
  const bool is_long =
      ToMs(observation.work) >= kMinWorkOfOverhead * profile_.overhead_ms;
  const bool is_idle = IsIdle(observation);
  if (is_long) last_long_ = now;
  if (is_long && is_idle) last_idle_ = now;
  return (is_long || now - last_long_ > kLongLifetime) &&
         (is_idle || now - last_idle_ > kIdleLifetime);
}

bool ServiceEngineEstimator::MayShare(TimePoint now) {
  const double time = std::chrono::duration<double>(now - shares_at_).count();
  shares_ = std::min(kMaxShares, shares_ + time * kSharedPerSecond);
  shares_at_ = now;
  if (shares_ < 1) return false;
  --shares_;
  return true;
}

void ServiceEngineEstimator::OnFirstEvent(
    const FirstEventObservation& observation) {
  if (observation.tokens > 0) {
    const double tokens = TokensPerStep(observation.tokens);
    const double before = tokens_per_step_ > 0 ? tokens_per_step_ : tokens;
    tokens_per_step_ = before + kTokensGain * (tokens - before);
    profile_.tokens_per_step = tokens_per_step_;
  }
  if (!observation.is_wait_known || !IsIdle(observation)) return;
  PushBounded(first_events_, {ToMs(observation.work), ToMs(observation.time)},
              kMaxPoints);
  const auto line = FitLine(first_events_, kBoundQuantile);
  if (!line) return;
  const EngineProfile initial;
  overhead_ms_ +=
      kOverheadGain *
      (std::clamp(line->intercept, 0.0, kMaxOverheadMs) - overhead_ms_);
  const bool is_initial =
      IsNear(overhead_ms_, initial.overhead_ms, kInitialOverheadTolerance);
  profile_.overhead_ms = is_initial ? initial.overhead_ms : overhead_ms_;
}

void ServiceEngineEstimator::OnRun(const RunObservation& run) {
  const EngineProfile initial;
  if (run.is_memory_scarce) {
    const double weight =
        std::min(1.0, run.tokens / kRunReferenceTokens) * kRunGain;
    run_ms_ += weight * (ToMs(run.time) - run_ms_);
    profile_.run_ms = IsNear(run_ms_, initial.run_ms, kInitialTolerance)
                          ? initial.run_ms
                          : run_ms_;
  }
  if (run.events < kMinRunEvents) return;
  PushBounded(
      pauses_,
      {static_cast<double>(run.active), ToMs(run.time) / (run.events - 1)},
      kMaxPoints);
  if (pauses_.size() < kMinPoints) return;
  const auto line = FitLine(pauses_, kStepQuantile);
  if (line && line->intercept > 0) {
    profile_.step_ms = line->intercept;
    profile_.step_ms_per_request = line->slope;
    return;
  }
  std::vector<double> steps;
  std::ranges::transform(
      pauses_, std::back_inserter(steps), [&](const auto& pause) {
        return pause.second - profile_.step_ms_per_request * pause.first;
      });
  const double step = Quantile(std::move(steps), kStepQuantile);
  if (step > 0) profile_.step_ms = step;
}

void ServiceEngineEstimator::OnPlainResponse(Duration time) {
  PushBounded(plain_times_, ToMs(time), kMaxPoints);
  if (plain_times_.size() < kMinPoints) return;
  const EngineProfile initial;
  const double median =
      Quantile({plain_times_.begin(), plain_times_.end()}, 0.5);
  profile_.plain_ms = IsNear(median, initial.plain_ms, kInitialTolerance)
                          ? initial.plain_ms
                          : std::max(median, 0.1);
}

const EngineProfile& EngineEstimator::service_profile() const {
  static const EngineProfile initial;
  return service_ ? service_->profile() : initial;
}

void EngineEstimator::OnFirstEvent(const FirstEventObservation& observation,
                                   TimePoint now) {
  if (observation.work < kMinWork) return;
  const bool shows_bound = service_ && service_->ShowsBound(observation, now);
  const auto sample = SampleOf(observation, Profile(now),
                               service_profile().slowness, shows_bound);
  if (service_) service_->OnFirstEvent(observation);
  if (!sample) return;
  const bool is_told =
      service_ && untold_.size() < kMaxUntold && service_->MayShare(now);
  if (is_told) untold_.push_back(*sample);
  OnPeerSample(*sample, now);
}

void EngineEstimator::OnRun(const RunObservation& run) {
  if (service_) service_->OnRun(run);
}

// The run times of plain requests vary, too, so a ratio is judged by their
// spread like that of prompts.
void EngineEstimator::OnPlainResponse(Duration time, TimePoint now) {
  if (service_) service_->OnPlainResponse(time);
  OnPeerSample(
      {.permille = ToPermille(ToMs(time) / service_profile().plain_ms)}, now);
}

void EngineEstimator::OnPeerSample(SlownessSample sample, TimePoint now) {
  if (service_) service_->OnSample(sample, std::min(1.0, LastingSlowness(now)));
  if (sample.permille == 0) return;
  const double apparent = service_ ? service_->apparent_slowness() : 1.0;
  OnRatio(ClampSlowness(sample.permille / 1000.0) / apparent, now);
}

void EngineEstimator::OnRatio(double ratio, TimePoint now) {
  const double level = Level(now);
  const double difference = std::clamp(
      std::log(ratio / level), -kMaxLevelDifference, kMaxLevelDifference);
  level_ = level * std::exp(kLevelGain * difference);
  last_[next_] = {ratio, now};
  next_ = (next_ + 1) % last_.size();
  last_sample_ = now;
}

double EngineEstimator::Level(TimePoint now) const {
  const Duration age = now - last_sample_;
  if (last_sample_ == TimePoint{} || age >= kLevelLifetime) return 1;
  const double share = 1.0 - static_cast<double>(age.count()) /
                                 static_cast<double>(kLevelLifetime.count());
  return 1 + share * (level_ - 1);
}

double EngineEstimator::LastingSlowness(TimePoint now) const {
  const double level = Level(now);
  return level == 1 ? 1 : BeyondNoise(level, kLevelNoise);
}

double EngineEstimator::RelativeSlowness(TimePoint now) const {
  const double lasting = LastingSlowness(now);
  const bool are_recent =
      std::ranges::all_of(last_, [&](const TimedRatio& sample) {
        return sample.at != TimePoint{} && now - sample.at < kRecent;
      });
  if (!are_recent) return lasting;
  const double lowest =
      std::ranges::min_element(last_, {}, &TimedRatio::ratio)->ratio;
  const double noise =
      std::max(kRecentNoise, service_ ? service_->spread() : 1.0);
  return lowest > lasting * noise ? lowest : lasting;
}

EngineProfile EngineEstimator::Profile(TimePoint now) const {
  EngineProfile profile = service_profile();
  profile.slowness *= RelativeSlowness(now);
  return profile;
}

}  // namespace dogwoodlatch::serving
