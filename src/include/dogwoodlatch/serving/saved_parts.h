/// Which shared parts the KV cache stores are likely to keep.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// A request had its prompt saved in the cache store of its deepest shared
/// part.
struct PartSave {
  uint64_t part = 0;    ///< the deepest shared part, as key of its cache group
  uint32_t tokens = 0;  ///< that the store takes in with it, at most

  bool operator==(const PartSave&) const = default;
};

/// Follows what all routers save and fetch, and decides when a request saves
/// its parts. Stores drop what was used least recently, as this does.
class SavedParts {
 public:
  /// Tokens that all stores hold together; nothing is saved while it is 0.
  void SetCapacity(int64_t tokens);

  /// True when a request should save its parts now. `deepest` is its deepest
  /// shared part, which counts as saved from then on. Requests whose own part
  /// is large beside the shared ones leave it to others, as the store keeps
  /// their own part too.
  bool ShouldSave(uint64_t deepest, uint32_t shared_tokens, uint32_t own_tokens,
                  TimePoint now);

  /// True when the stores are likely to have the part.
  bool IsSaved(uint64_t deepest, TimePoint now) const;

  /// A request of this router fetches the part.
  void OnFetch(uint64_t deepest);

  /// Another router has had a part saved.
  void OnSaved(const PartSave& save, TimePoint now);

  /// Another router's request has fetched the part.
  void OnFetchedByPeer(uint64_t deepest);

  /// What ShouldSave has granted since the last call.
  std::vector<PartSave> TakeGranted() { return std::exchange(granted_, {}); }

  /// What OnFetch was told since the last call.
  std::vector<uint64_t> TakeFetched() { return std::exchange(fetched_, {}); }

 private:
  struct Record {
    uint64_t part = 0;
    uint32_t tokens = 0;
    TimePoint saved_at{};        ///< last time that a request was to save it
    TimePoint available_from{};  ///< when the store has it
  };
  using Records = std::list<Record>;

  void EvictToCapacity();

  int64_t capacity_ = 0;
  int64_t stored_tokens_ = 0;
  Records records_;  ///< last used first
  std::unordered_map<uint64_t, Records::iterator> by_part_;
  std::vector<PartSave> granted_;
  std::vector<uint64_t> fetched_;
};

}  // namespace dogwoodlatch::serving
