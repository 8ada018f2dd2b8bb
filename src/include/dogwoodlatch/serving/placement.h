/// Selects the target for a request and the source from which the target
/// fetches cached prompt parts.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/serving/prompt.h"
#include "dogwoodlatch/serving/request_mix.h"
#include "dogwoodlatch/serving/saved_parts.h"

namespace dogwoodlatch::serving {

/// Input of the selection, besides the targets.
struct PlacementRequest {
  const Prompt* prompt = nullptr;        ///< null for a plain service
  uint32_t answered_tokens = 0;          ///< of an answer that is resumed
  std::string_view cache_scope{};        ///< see Configuration::CacheScope
  std::span<const std::string> tried{};  ///< ids of targets to exclude
  uint64_t newest_weights = 0;           ///< newest named version of the model
  uint64_t oldest_weights = 0;           ///< older versions must not be used
  bool weights_overdue = false;  ///< penalize versions older than the newest
  std::optional<Duration> max_queue_wait{};  ///< a longer wait is rejected
  std::string_view cache_store{};   ///< address of the KV cache store, or empty
  int priority = kLastPriority;     ///< 0 is the most urgent
  const RequestMix* mix = nullptr;  ///< of the service's requests
  const SavedParts* saved_parts = nullptr;  ///< contents of the stores
};

/// The selected target and the estimates behind the choice.
struct Placement {
  Fleet::TargetPtr target;
  /// Expected time until the first event; for plain services the cost by which
  /// the targets were compared, penalties included.
  Duration estimate{0};
  /// Tokens of the prompt and of the answer so far that are not expected in a
  /// cache.
  uint32_t missing_tokens = 0;
  Duration prefill{0};     ///< expected prefill time of these tokens
  Duration backlog{0};     ///< expected wait before prefill
  Duration work{0};        ///< prefill work of these tokens
  Duration work_ahead{0};  ///< known work of requests that are prefilled first
  bool is_wait_known = true;  ///< see FirstEventObservation
  /// Longest wait with which the request leaves room for shorter ones; none if
  /// it need not.
  std::optional<Duration> max_backlog{};
  int priority = kLastPriority;  ///< of the request
  int64_t memory = 0;            ///< tokens of prompt and expected output
  size_t usable = 0;             ///< number of targets considered
  uint64_t weights = 0;          ///< the target's version; 0 for plain services
  std::string cache_group;       ///< requests of other groups share no parts
  std::string fetch_from;        ///< address that may have the cached parts
  bool fetches_from_store = false;  ///< `fetch_from` is the cache store
};

class PlacementPolicy {
 public:
  explicit PlacementPolicy(std::string own_failure_domain)
      : own_domain_(std::move(own_failure_domain)) {}

  /// The target with the lowest expected wait plus penalties; none if every
  /// target is excluded, pushes back, is on a silent VM, has weights older than
  /// `oldest_weights` or too little memory for the request.
  std::optional<Placement> Choose(std::span<const Fleet::TargetPtr> serving,
                                  const PlacementRequest& request,
                                  TimePoint now) const;

 private:
  std::optional<Placement> ChooseForPrompt(
      std::span<const Fleet::TargetPtr* const> usable,
      const PlacementRequest& request, TimePoint now) const;
  std::optional<Placement> ChoosePlain(
      std::span<const Fleet::TargetPtr* const> usable, TimePoint now) const;
  double PenaltyMs(const Target& target, double min_failure_rate,
                   TimePoint now) const;

  std::string own_domain_;
};

/// Name of the group of requests that may share cached parts: those that run on
/// the same weights, within one scope (see Configuration::CacheScope).
std::string CacheGroupName(uint64_t weights, std::string_view scope);

/// Key of a part within a cache group.
uint64_t PartKey(const PromptPart& part, std::string_view cache_group);

/// Keys of the prompt's shared parts, that is, of all but the last one.
std::vector<uint64_t> SharedPartKeys(const Prompt& prompt,
                                     std::string_view cache_group);

}  // namespace dogwoodlatch::serving
