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

  /// True if a request of the route that arrives now should be accepted, as it
  /// can end before the process exits or cannot be served elsewhere.
  bool Accepts(const Route& route, TimePoint now) const;

  /// True while new connections may be accepted. Later ones could not be served
  /// before the process exits.
  bool Listens(TimePoint now) const;

  /// True if the process must exit, even with requests in progress.
  bool MustExit(TimePoint now) const;

 private:
  TimePoint End() const;

  TimePoint began_;
  Duration grace_;
};

}  // namespace dogwoodlatch::serving
