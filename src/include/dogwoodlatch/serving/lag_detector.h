/// Notices that this process has missed changes that another one knows, for
/// example because its watch hangs on a connection that has silently died.
#pragma once

#include <cstdint>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

class LagDetector {
 public:
  /// `limit` is how long this process may need to learn of a change.
  explicit LagDetector(Duration limit) : limit_(limit) {}

  /// Another process knows revision `peer`, and this one `own`. Returns true if
  /// this process has not reached, for longer than the limit, a revision that
  /// another one had; then waits for the limit again.
  bool OnPeerRevision(uint64_t own, uint64_t peer, TimePoint now);

 private:
  Duration limit_;
  uint64_t awaited_ = 0;  ///< a peer's revision that this process lacks, or 0
  TimePoint since_{};
};

}  // namespace dogwoodlatch::serving
