/// Recognises a request that breaks the targets which run it.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// The same for every repetition of a request by its caller.
uint64_t RequestFingerprint(std::string_view path, std::string_view workspace,
                            std::string_view body);

/// Counts, by fingerprint, how often a connection broke while a target ran the
/// request. A caller's repetition bears another id but the same fingerprint.
class PoisonGuard {
 public:
  /// A target broke off while it ran the request.
  void OnBroken(uint64_t fingerprint, TimePoint now);

  /// The request ended with an answer: it is harmless.
  void OnAnswered(uint64_t fingerprint) { broken_.erase(fingerprint); }

  /// True when the request must not reach another target.
  bool IsBlocked(uint64_t fingerprint, TimePoint now) const;

 private:
  struct Record {
    int count = 0;
    TimePoint last{};
  };
  std::unordered_map<uint64_t, Record> broken_;
};

}  // namespace dogwoodlatch::serving
