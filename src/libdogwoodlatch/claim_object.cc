#include "dogwoodlatch/claim_object.h"

#include <algorithm>
#include <iterator>

#include "dogwoodlatch/prefix_key.h"
#include "dogwoodlatch/settings.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

constexpr size_t kKeyDigits = 32;

Json TimeToJson(WallTime time) { return time.time_since_epoch().count(); }

WallTime TimeFromJson(const Json& json) {
  return WallTime(Duration(json.get<int64_t>()));
}

// Lists each claimant once; rows refer to it by index, which keeps them short.
Json EntriesToJson(const std::vector<ClaimEntry>& entries) {
  Json claimants = Json::array();
  Json rows = Json::array();
  for (const ClaimEntry& entry : entries) {
    auto found = std::ranges::find(claimants, Json(entry.claimant.value));
    const auto position = std::distance(claimants.begin(), found);
    if (found == claimants.end()) claimants.push_back(entry.claimant.value);
    rows.push_back(
        {entry.key.value, entry.body_digest, position, TimeToJson(entry.time)});
  }
  return {{"claimants", claimants}, {"rows", rows}};
}

std::vector<ClaimEntry> EntriesFromJson(const Json& json) {
  const Json& claimants = json.at("claimants");
  std::vector<ClaimEntry> entries;
  for (const Json& row : json.at("rows")) {
    entries.push_back(
        {{row.at(0).get<std::string>()},
         row.at(1).get<uint64_t>(),
         {claimants.at(row.at(2).get<size_t>()).get<std::string>()},
         TimeFromJson(row.at(3))});
  }
  return entries;
}

ClaimHead HeadFromJson(const Json& json) {
  ClaimHead head;
  json.at("epoch").get_to(head.epoch);
  json.at("owner").get_to(head.owner.value);
  json.at("claimant").get_to(head.claimant.value);
  json.at("nonce").get_to(head.nonce);
  head.floor = TimeFromJson(json.at("floor"));
  json.at("next_segment").get_to(head.next_segment);
  for (const Json& segment : json.at("segments")) {
    head.segments.push_back(
        {segment.at(0).get<uint64_t>(), TimeFromJson(segment.at(1))});
  }
  head.entries = EntriesFromJson(json.at("entries"));
  return head;
}

}  // namespace

// The lengths make the concatenation unambiguous: different (service,
// workspace, idempotency key) triples never yield the same text.
ClaimKey ComputeClaimKey(const Submit& submit) {
  const std::string text = std::to_string(submit.claim.service.size()) + ":" +
                           submit.claim.service +
                           std::to_string(submit.workspace.value.size()) + ":" +
                           submit.workspace.value + submit.idempotency_key;
  return {Sha256Hex(text).substr(0, kKeyDigits)};
}

uint32_t SelectClaimLog(const ClaimKey& key, uint32_t logs) {
  return static_cast<uint32_t>(ComputeDigest({key.value}) % logs);
}

Json ToJson(const ClaimHead& head) {
  Json segments = Json::array();
  for (const SegmentRef& segment : head.segments) {
    segments.push_back(
        Json::array({segment.number, TimeToJson(segment.newest)}));
  }
  return {{"epoch", head.epoch},
          {"owner", head.owner.value},
          {"claimant", head.claimant.value},
          {"nonce", head.nonce},
          {"floor", TimeToJson(head.floor)},
          {"next_segment", head.next_segment},
          {"segments", segments},
          {"entries", EntriesToJson(head.entries)}};
}

Json SegmentToJson(const std::vector<ClaimEntry>& entries) {
  return EntriesToJson(entries);
}

Result<ClaimHead> ParseClaimHead(const Json& json) {
  // The JSON library reports wrong field types only by exception.
  try {
    return HeadFromJson(json);
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kWrongType, "claim head", e.what()};
  }
}

Result<std::vector<ClaimEntry>> ParseSegment(const Json& json) {
  try {
    return EntriesFromJson(json);
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kWrongType, "claim segment", e.what()};
  }
}

}  // namespace dogwoodlatch
