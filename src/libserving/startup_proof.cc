#include "dogwoodlatch/serving/startup_proof.h"

#include <algorithm>

namespace dogwoodlatch::serving {

void StartupProof::OnFirstAnswer(uint64_t era, TimePoint now) {
  if (first_era_) return;
  first_era_ = era;
  const bool is_vouched_for = settled_era_ == era;
  if (is_strict_ && !is_vouched_for) proves_from_ = now + kRewriteTime;
}

// An era stays settled once it was, so an answer may be late. One about another
// era says nothing about the copy that this process reads.
void StartupProof::OnPeerState(const KnownState& peer) {
  if (!is_strict_) return;
  configuration_ = std::max(configuration_, peer.configuration);
  if (!peer.is_settled) return;
  settled_era_ = std::max(settled_era_.value_or(0), peer.era);
  if (first_era_ == peer.era) proves_from_ = TimePoint::min();
}

bool StartupProof::NeedsPeers(TimePoint now) const {
  if (!is_strict_) return false;
  return !first_era_ || now < proves_from_;
}

}  // namespace dogwoodlatch::serving
