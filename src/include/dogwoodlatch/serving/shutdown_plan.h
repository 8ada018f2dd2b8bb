/// Graceful shutdown: which requests a stopping process still accepts, and when
/// it must exit.
#pragma once

#include <chrono>

#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

class ShutdownPlan {
 public:
  /// Shutdown began at `began`; the process is killed `grace` later.
  ShutdownPlan(TimePoint began, Duration grace)
      : began_(began), grace_(grace) {}

  /// True while the load balancer may still send new connections.
  bool IsInRotation(TimePoint now) const;

  /// A request that arrives during the shutdown.
  struct Arrival {
    RouteKind kind = RouteKind::kNonIdempotent;
    /// It is ended after this time at the latest.
    Duration time_limit{0};
    bool is_other_serving = true;  ///< another router is ready
  };

  /// True if the request should be accepted, as it ends before the process
  /// exits or cannot be served elsewhere.
  bool Accepts(const Arrival& arrival, TimePoint now) const;

  /// True while new connections may be accepted. Requests on later ones might
  /// not even be refused before the process exits.
  bool Listens(TimePoint now) const;

  /// True if callers without a response must get one now, as the process is
  /// about to exit.
  bool MustAnswer(TimePoint now) const;

  /// True if the process must exit, even with requests in progress.
  bool MustExit(TimePoint now) const;

  TimePoint began() const { return began_; }

 private:
  TimePoint End() const;

  TimePoint began_;
  Duration grace_;
};

}  // namespace dogwoodlatch::serving
