/// Claims as the platform keeps them: the head object and the archive segments
/// of one claim log.
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

/// The digest under which one non-idempotent call is claimed.
using ClaimKey = Id<struct ClaimKeyTag>;

/// One call claimed by one life of an agent, which alone may run it.
struct ClaimEntry {
  ClaimKey key;
  uint64_t body_digest = 0;
  Incarnation claimant;
  WallTime time;

  bool operator==(const ClaimEntry&) const = default;
};

/// An archive segment that belongs to the log.
struct SegmentRef {
  uint64_t number = 0;
  WallTime newest;

  bool operator==(const SegmentRef&) const = default;
};

/// The head object. Every change is a conditional update, so its version is
/// the fence against a former owner.
struct ClaimHead {
  uint64_t epoch = 0;
  TargetId owner;
  Incarnation claimant;  ///< the owner's life
  std::string nonce;     ///< names the last write
  WallTime floor;        ///< claims up to here have been dropped
  uint64_t next_segment = 0;
  std::vector<SegmentRef> segments;
  std::vector<ClaimEntry> entries;

  bool operator==(const ClaimHead&) const = default;
};

/// The key of a non-idempotent submit.
ClaimKey ComputeClaimKey(const Submit& submit);

/// The claim log of a key, out of `logs`.
uint32_t SelectClaimLog(const ClaimKey& key, uint32_t logs);

nlohmann::json ToJson(const ClaimHead& head);
nlohmann::json SegmentToJson(const std::vector<ClaimEntry>& entries);

/// Fail with kWrongType on malformed objects.
Result<ClaimHead> ParseClaimHead(const nlohmann::json& json);
Result<std::vector<ClaimEntry>> ParseSegment(const nlohmann::json& json);

}  // namespace dogwoodlatch
