/// Which target gets a request.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/serving/prompt.h"

namespace dogwoodlatch::serving {

/// What the choice depends on, besides the targets.
struct PlacementRequest {
  const Prompt* prompt = nullptr;  ///< null for a plain service
  std::string_view cache_group;    ///< requests of other groups share no part
  std::vector<std::string> tried;  ///< ids of targets that are left out
  uint64_t newest_weights = 0;     ///< newest named version of the model
  bool weights_overdue = false;    ///< older weights cost credit by now
};

/// The chosen target and why, for the log.
struct Placement {
  Fleet::TargetPtr target;
  Duration estimate{0};         ///< time until the first event
  uint32_t missing_tokens = 0;  ///< prompt tokens expected to be read there
  size_t usable = 0;            ///< targets that were weighed
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
  std::string own_domain_;
};

/// The id of a part inside a cache group.
uint64_t PartKey(const PromptPart& part, std::string_view cache_group);

/// The part that decides where a prompt's cache lives: the deepest part that
/// other requests share. 0 when the prompt has no parts.
uint64_t AffinityPart(const Prompt& prompt, std::string_view cache_group);

}  // namespace dogwoodlatch::serving
