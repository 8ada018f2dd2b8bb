/// Recognises a request that breaks the targets which run it.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// The same for every repetition of a request by its caller.
uint64_t RequestFingerprint(std::string_view path, std::string_view workspace,
                            std::string_view body);

/// The same for all requests that meet one life of a target; another one when
/// it starts again, also under its old id.
uint64_t IncarnationKey(const TargetRecord& target);

/// A target broke off while it ran a request.
struct BrokenRun {
  uint64_t request = 0;  ///< its fingerprint
  uint64_t target = 0;   ///< its IncarnationKey

  bool operator==(const BrokenRun&) const = default;
};

/// Counts, by fingerprint, the targets that broke off while they ran the
/// request, at this router or another. A caller's repetition bears another id
/// but the same fingerprint, and may reach any router.
class PoisonGuard {
 public:
  /// Seen by this router. A target counts once, however many copies of the
  /// request it ran when it broke off.
  void OnBroken(const BrokenRun& run, TimePoint now);

  /// The same, as another router saw it.
  void OnBrokenAtPeer(const BrokenRun& run, TimePoint now);

  /// What other routers have not been told yet.
  std::vector<BrokenRun> TakeUnsent();

  /// The request ended with an answer: it is harmless.
  void OnAnswered(uint64_t fingerprint) { broken_.erase(fingerprint); }

  /// True when the request must not reach another target.
  bool IsBlocked(uint64_t fingerprint, TimePoint now) const;

 private:
  struct Record {
    std::vector<uint64_t> targets;
    TimePoint last{};
  };
  bool AddBrokenRun(const BrokenRun& run, TimePoint now);

  std::unordered_map<uint64_t, Record> broken_;
  std::vector<BrokenRun> unsent_;
};

}  // namespace dogwoodlatch::serving
