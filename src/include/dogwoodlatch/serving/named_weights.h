/// The weights versions that operators have named for a model, each with the
/// time since which it is known. They determine the oldest version on which
/// requests may still run.
#pragma once

#include <cstdint>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

class NamedVersions {
 public:
  /// Adds a version; `known_for` is how long ago it may have been named. A
  /// version that is not newer than the newest known one is ignored. Returns
  /// true if the version was added.
  bool OnNamed(uint64_t version, TimePoint now, Duration known_for);

  uint64_t newest() const;

  /// When the newest version was named, as far as known here.
  TimePoint newest_since() const;

  /// The newest version that has been known for at least `age`; 0 if none.
  uint64_t NewestKnownFor(Duration age, TimePoint now) const;

 private:
  struct Naming {
    uint64_t version;
    TimePoint since;
  };
  std::vector<Naming> namings_;  ///< by ascending version
};

}  // namespace dogwoodlatch::serving
