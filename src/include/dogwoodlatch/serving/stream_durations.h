/// How long the streams of each route last. A router that stops accepts those
/// that can end in time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

class StreamDurations {
 public:
  /// A stream of the route was complete `took` after its request had arrived.
  void Record(const std::string& route, Duration took, TimePoint now);

  /// The longest of the last minute or more; empty if there was none.
  std::optional<Duration> Longest(const std::string& route) const;

 private:
  /// Two periods of which the older one is dropped, so that a route that is
  /// gone or has changed is forgotten.
  std::map<std::string, Duration> current_;
  std::map<std::string, Duration> previous_;
  TimePoint period_end_{};
};

}  // namespace dogwoodlatch::serving
