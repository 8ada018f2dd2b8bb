/// What a process that was told to stop still takes, and when it ends.
#pragma once

#include <chrono>

#include "dogwoodlatch/serving/configuration.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

class ShutdownPlan {
 public:
  /// The process is killed `grace` after `began`.
  ShutdownPlan(TimePoint began, Duration grace)
      : began_(began), grace_(grace) {}

  /// True while the balancer may still send new connections.
  bool IsInRotation(TimePoint now) const;

  /// True when a request of the route, taken now, ends before the process does.
  bool Accepts(const Route& route, TimePoint now) const;

  /// True when the process must end, whatever is in progress.
  bool MustExit(TimePoint now) const;

 private:
  TimePoint End() const;

  TimePoint began_;
  Duration grace_;
};

}  // namespace dogwoodlatch::serving
