/// Estimates which shared prompt parts the KV cache stores hold.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// One save of a request's prompt, made in the cache store responsible for the
/// deepest shared part of the prompt.
struct PartSave {
  uint64_t part = 0;    ///< PartKey of the deepest shared part
  uint32_t tokens = 0;  ///< upper bound of the tokens saved with it

  bool operator==(const PartSave&) const = default;
};

/// Tracks what all routers save and fetch, and decides when a request saves its
/// parts. Evicts the least recently used parts, as the stores do.
class SavedParts {
 public:
  /// Sets the total capacity of all stores; nothing is saved while it is 0.
  void SetCapacity(int64_t tokens);

  /// The estimate for the engines that save parts; see EngineProfile.
  void SetSlowness(double slowness) { slowness_ = slowness; }

  /// True if a request should save its parts now. `deepest` is its deepest
  /// shared part, which is then recorded as saved. Requests whose own part is
  /// larger than the shared ones do not save, as the store would keep their own
  /// part too.
  bool ShouldSave(uint64_t deepest, uint32_t shared_tokens, uint32_t own_tokens,
                  TimePoint now);

  /// True if a store is likely to have the part.
  bool IsSaved(uint64_t deepest, TimePoint now) const;

  /// Records that a request of this router fetches the part.
  void OnFetch(uint64_t deepest);

  /// Records that a request of another router has saved the part.
  void OnSaved(const PartSave& save, TimePoint now);

  /// Records that a request of another router has fetched the part.
  void OnFetchedByPeer(uint64_t deepest);

  /// Saves granted by ShouldSave since the last call.
  std::vector<PartSave> TakeGranted() { return std::exchange(granted_, {}); }

  /// Parts passed to OnFetch since the last call.
  std::vector<uint64_t> TakeFetched() { return std::exchange(fetched_, {}); }

 private:
  struct Record {
    uint64_t part = 0;
    uint32_t tokens = 0;
    TimePoint saved_at{};        ///< when a request was last told to save it
    TimePoint available_from{};  ///< when the store should have it
  };
  using Records = std::list<Record>;

  void EvictToCapacity();

  int64_t capacity_ = 0;
  double slowness_ = 1;
  int64_t stored_tokens_ = 0;
  Records records_;  ///< most recently used first
  std::unordered_map<uint64_t, Records::iterator> by_part_;
  std::vector<PartSave> granted_;
  std::vector<uint64_t> fetched_;
};

}  // namespace dogwoodlatch::serving
