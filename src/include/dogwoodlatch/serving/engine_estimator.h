/// Learns the speed of engines from the requests that they serve.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/engine_profile.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// How long a request's first event took, and what it was expected to wait for.
/// Amounts of work are as in EngineProfile.
struct FirstEventObservation {
  Duration work{0};        ///< prefill of the request itself
  uint32_t tokens = 0;     ///< of this prefill
  Duration work_ahead{0};  ///< prefill of requests that were there before
  /// False if the target reported more waiting requests than were known, or had
  /// no memory for the request: part of the wait is then unexplained.
  bool is_wait_known = true;
  Duration time{0};  ///< from the send to the first event
};

/// A run from its first to its last event.
struct RunObservation {
  Duration time{0};
  int events = 0;
  uint32_t tokens = 0;  ///< of prompt and answer
  int active = 0;       ///< running requests that the target reported
  /// At least half of the target's memory was in use. Only then does the run
  /// time matter, and only then is it that under load.
  bool is_memory_scarce = false;
};

/// One observation of an engine's slowness, as routers exchange them.
struct SlownessSample {
  /// The slowness if nothing but the known work was ahead of the request; 0 if
  /// too much was known to be ahead.
  int permille = 1000;
  /// An upper bound; 0 if the request shows none.
  int bound_permille = 0;

  bool operator==(const SlownessSample&) const = default;
};

/// The estimate for a service, from observations of all its targets. New
/// targets, and those without traffic, are assumed to be like it.
class ServiceEngineEstimator {
 public:
  /// `level` is the lasting slowness of the observed target, relative to the
  /// service, or 1 if that is less: bounds of fast targets must not be taken
  /// for the others'.
  void OnSample(SlownessSample sample, double level);
  void OnFirstEvent(const FirstEventObservation& observation);
  void OnRun(const RunObservation& run);
  void OnPlainResponse(Duration time);

  /// True if the request is one that shows a bound of the slowness: it has more
  /// work than the overhead may hide, and found its engine idle. Others are
  /// used while there are none of these.
  bool ShowsBound(const FirstEventObservation& observation, TimePoint now);

  /// Takes one sample from the bounded rate at which they are passed on.
  bool MayShare(TimePoint now);

  const EngineProfile& profile() const { return profile_; }

  /// Median of the samples' slowness. Like a target's recent samples, and
  /// unlike the profile, it includes waits that were not known.
  double apparent_slowness() const { return apparent_slowness_.value; }

  /// How many times the median the highest tenth of the samples are at least.
  double spread() const {
    return high_slowness_.value / apparent_slowness_.value;
  }

 private:
  static constexpr size_t kMaxPoints = 48;
  using Points = std::deque<std::pair<double, double>>;  ///< x and y

  EngineProfile profile_;
  struct RunningQuantile {
    explicit RunningQuantile(double start) : value(start) {}
    void Add(double sample, double quantile);

    double value;

   private:
    bool is_starting_ = true;  ///< all samples were on the same side
    bool was_above_ = true;
    int streak_ = 0;
  };

  RunningQuantile slowness_{1.0};
  RunningQuantile apparent_slowness_{1.0};
  RunningQuantile high_slowness_{2.0};  ///< that of run times that vary much
  TimePoint last_long_{};
  TimePoint last_idle_{};
  double shares_ = 0;  ///< samples that may be passed on
  TimePoint shares_at_{};
  Points first_events_;  ///< work and time
  Points pauses_;        ///< running requests, and time between events
  std::deque<double> plain_times_;
  double overhead_ms_ = EngineProfile{}.overhead_ms;
  double tokens_per_step_ = 0;              ///< moving average; 0 if unknown
  double run_ms_ = EngineProfile{}.run_ms;  ///< mean, weighted by tokens
};

/// The estimate for one incarnation of a target. Follows a change of its speed
/// within a few requests, and keeps lasting differences from other targets.
class EngineEstimator {
 public:
  /// The service-wide estimate; the initial one is used until this is called.
  void SetService(std::shared_ptr<ServiceEngineEstimator> service) {
    service_ = std::move(service);
  }

  void OnFirstEvent(const FirstEventObservation& observation, TimePoint now);
  void OnRun(const RunObservation& run);

  /// A response of a plain service that did not wait for a slot.
  void OnPlainResponse(Duration time, TimePoint now);

  /// This or another router has observed the target.
  void OnPeerSample(SlownessSample sample, TimePoint now);

  EngineProfile Profile(TimePoint now) const;
  const EngineProfile& service_profile() const;

  /// How many times as long as others of its service the target takes.
  double RelativeSlowness(TimePoint now) const;

  /// The same without changes of the last seconds.
  double LastingSlowness(TimePoint now) const;

  /// This router's samples since the last call, for the other routers.
  std::vector<SlownessSample> TakeSamples() {
    return std::exchange(untold_, {});
  }

 private:
  static constexpr size_t kLastSamples = 3;
  struct TimedRatio {
    double ratio = 1;  ///< to the service's apparent slowness at that time
    TimePoint at{};
  };

  void OnRatio(double ratio, TimePoint now);
  double Level(TimePoint now) const;

  std::shared_ptr<ServiceEngineEstimator> service_;
  std::array<TimedRatio, kLastSamples> last_{};
  size_t next_ = 0;
  double level_ = 1;  ///< lasting ratio
  TimePoint last_sample_{};
  std::vector<SlownessSample> untold_;
};

}  // namespace dogwoodlatch::serving
