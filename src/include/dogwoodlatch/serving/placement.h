/// Which target gets a request, and from where it fetches cached parts.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/serving/prompt.h"
#include "dogwoodlatch/serving/saved_parts.h"

namespace dogwoodlatch::serving {

/// What the choice depends on, besides the targets.
struct PlacementRequest {
  const Prompt* prompt = nullptr;        ///< null for a plain service
  std::string_view workspace{};          ///< set if it shares no cached part
  std::span<const std::string> tried{};  ///< ids of targets that are left out
  uint64_t newest_weights = 0;           ///< newest named version of the model
  uint64_t oldest_weights = 0;           ///< older ones must not run any more
  bool weights_overdue = false;          ///< older weights cost credit by now
  std::optional<Duration> max_queue_wait{};  ///< a longer one is refused
  std::string_view cache_store{};  ///< address of the cache store, or empty
  const SavedParts* saved_parts = nullptr;  ///< what that store keeps
};

/// The chosen target and why.
struct Placement {
  Fleet::TargetPtr target;
  Duration estimate{0};         ///< expected time until the first event
  uint32_t missing_tokens = 0;  ///< prompt tokens expected to be read there
  Duration prefill{0};          ///< expected time to read them
  Duration backlog{0};          ///< expected wait before that
  size_t usable = 0;            ///< targets that were weighed
  uint64_t weights = 0;         ///< the target's version; 0 for plain services
  std::string cache_group;      ///< requests of other groups share no part
  std::string fetch_from;       ///< address that may have cached parts
  bool fetches_from_store = false;  ///< that address is the cache store's
};

class PlacementPolicy {
 public:
  explicit PlacementPolicy(std::string own_failure_domain)
      : own_domain_(std::move(own_failure_domain)) {}

  /// The target with the least expected wait and price, or none when no target
  /// can take the request now.
  std::optional<Placement> Choose(std::span<const Fleet::TargetPtr> serving,
                                  const PlacementRequest& request,
                                  TimePoint now) const;

 private:
  std::optional<Placement> ChooseForPrompt(
      std::span<const Fleet::TargetPtr> usable, const PlacementRequest& request,
      TimePoint now) const;
  std::optional<Placement> ChoosePlain(std::span<const Fleet::TargetPtr> usable,
                                       TimePoint now) const;
  double PenaltyMs(const Target& target, double min_failure_rate,
                   TimePoint now) const;

  std::string own_domain_;
};

/// The group of requests that may share cached parts: those on the same
/// weights and, for an isolated workspace, of that workspace.
std::string CacheGroupName(uint64_t weights, std::string_view workspace);

/// The id of a part inside a cache group.
uint64_t PartKey(const PromptPart& part, std::string_view cache_group);

/// The parts of a prompt that other requests share, as keys of the group.
std::vector<uint64_t> SharedPartKeys(const Prompt& prompt,
                                     std::string_view cache_group);

}  // namespace dogwoodlatch::serving
