/// The versions of a model's weights that operators have named, and which of
/// them targets may still run.
#pragma once

#include <cstdint>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

class NamedVersions {
 public:
  /// A version was named; `known_for` is how long that may already be so.
  /// Versions that are not newer than the newest are left out.
  /// Returns true when it is the newest.
  bool OnNamed(uint64_t version, TimePoint now, Duration known_for);

  uint64_t newest() const;

  /// When the newest version became known.
  TimePoint newest_since() const;

  /// The newest version that has been known for at least `age`; 0 for none.
  uint64_t NewestKnownFor(Duration age, TimePoint now) const;

 private:
  struct Naming {
    uint64_t version;
    TimePoint since;
  };
  std::vector<Naming> namings_;  ///< by rising version
};

}  // namespace dogwoodlatch::serving
