/// Stored form of claims: the head object and archive segments of one claim
/// log.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// Digest that identifies one non-idempotent call in the claim log.
using ClaimKey = Id<struct ClaimKeyTag>;

/// A call claimed by one agent incarnation, which alone may run it.
struct ClaimEntry {
  ClaimKey key;
  uint64_t body_digest = 0;
  Incarnation claimant;
  WallTime time;

  bool operator==(const ClaimEntry&) const = default;
};

/// Reference to an archive segment of the log.
struct SegmentRef {
  uint64_t number = 0;
  WallTime newest;  ///< latest time among the segment's entries

  bool operator==(const SegmentRef&) const = default;
};

/// The head object of a claim log. Every write is conditional on its version,
/// which fences off a former owner.
struct ClaimHead {
  uint64_t epoch = 0;
  TargetId owner;
  Incarnation claimant;  ///< the owner's incarnation
  std::string nonce;     ///< random, identifies the last write
  WallTime floor;        ///< claims up to this time were dropped
  uint64_t next_segment = 0;
  std::vector<SegmentRef> segments;
  std::vector<ClaimEntry> entries;

  bool operator==(const ClaimHead&) const = default;
};

/// The key under which a non-idempotent submit is claimed.
ClaimKey ComputeClaimKey(const Submit& submit);

/// Index of the key's claim log, below `logs`.
uint32_t SelectClaimLog(const ClaimKey& key, uint32_t logs);

nlohmann::json ToJson(const ClaimHead& head);
nlohmann::json SegmentToJson(const std::vector<ClaimEntry>& entries);

/// Both fail with kWrongType on malformed objects.
Result<ClaimHead> ParseClaimHead(const nlohmann::json& json);
Result<std::vector<ClaimEntry>> ParseSegment(const nlohmann::json& json);

}  // namespace dogwoodlatch
