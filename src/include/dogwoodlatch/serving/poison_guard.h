/// Detects poison requests, which crash the targets that run them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Hash of a request that is equal for all repetitions by its caller.
uint64_t RequestFingerprint(std::string_view path, std::string_view workspace,
                            std::string_view body);

/// Identifies one incarnation of a target. A restart gives a new key, even
/// under the same id.
uint64_t IncarnationKey(const TargetRecord& target);

/// A target that broke the connection while it ran a request.
struct BrokenRun {
  uint64_t request = 0;  ///< the request's RequestFingerprint
  uint64_t target = 0;   ///< the target's IncarnationKey

  bool operator==(const BrokenRun&) const = default;
};

/// Counts, by request fingerprint, the targets that broke off while they ran
/// the request, at this router or at others. A repetition by the caller has
/// another id but the same fingerprint, and may reach any router.
class PoisonGuard {
 public:
  /// Records a broken run seen by this router. A target counts once, however
  /// many copies of the request it ran when it broke off.
  void OnBroken(const BrokenRun& run, TimePoint now);

  /// Records a broken run that another router reported.
  void OnBrokenAtPeer(const BrokenRun& run, TimePoint now);

  /// Returns and clears the broken runs not yet sent to other routers.
  std::vector<BrokenRun> TakeUnsent();

  /// Clears a request that ended with an answer and is therefore harmless.
  void OnAnswered(uint64_t fingerprint) { broken_.erase(fingerprint); }

  /// Number of targets that broke off while they ran the request.
  size_t BrokenTargets(uint64_t fingerprint) const;

  /// True if the request must not be sent to another target.
  bool IsBlocked(uint64_t fingerprint, TimePoint now) const;

 private:
  struct Record {
    std::vector<uint64_t> targets;
    TimePoint last{};
  };
  bool Add(const BrokenRun& run, TimePoint now);

  std::unordered_map<uint64_t, Record> broken_;
  std::vector<BrokenRun> unsent_;
};

}  // namespace dogwoodlatch::serving
