#include "dogwoodlatch/serving/named_weights.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

// Older versions no longer matter, as targets load each version within seconds.
constexpr size_t kMaxNamings = 16;

}  // namespace

bool NamedVersions::OnNamed(uint64_t version, TimePoint now,
                            Duration known_for) {
  if (version <= newest()) return false;
  if (namings_.size() >= kMaxNamings) namings_.erase(namings_.begin());
  namings_.push_back({version, now - known_for});
  return true;
}

uint64_t NamedVersions::newest() const {
  return namings_.empty() ? 0 : namings_.back().version;
}

TimePoint NamedVersions::newest_since() const {
  return namings_.empty() ? TimePoint{} : namings_.back().since;
}

uint64_t NamedVersions::NewestKnownFor(Duration age, TimePoint now) const {
  uint64_t version = 0;
  for (const Naming& naming : namings_) {
    if (now - naming.since >= age) version = naming.version;
  }
  return version;
}

}  // namespace dogwoodlatch::serving
