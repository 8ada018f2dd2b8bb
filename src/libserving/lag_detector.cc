#include "dogwoodlatch/serving/lag_detector.h"

namespace dogwoodlatch::serving {

// A process that follows a stream of changes is always a little behind. Only a
// revision that it does not reach in time shows that it has lost the stream.
bool LagDetector::OnPeerRevision(uint64_t own, uint64_t peer, TimePoint now) {
  if (own >= awaited_) awaited_ = 0;
  if (awaited_ == 0) {
    if (peer <= own) return false;
    awaited_ = peer;
    since_ = now;
    return false;
  }
  if (now - since_ <= limit_) return false;
  since_ = now;
  return true;
}

}  // namespace dogwoodlatch::serving
