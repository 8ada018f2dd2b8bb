// The simulation's fake platform: conditional writes whose answers may be lost
// or late, and reads of whole claim logs.
#pragma once

#include <optional>
#include <string>

#include "at_most_once_simulation.h"

namespace dogwoodlatch::test {

inline void Simulation::Write(size_t i, const std::string& path,
                              const nlohmann::json& json, uint64_t expected,
                              const WriteDone& done) {
  const int incarnation_number = agents_[i].incarnation_number;
  if (IsPlatformDown()) {
    // While going down it may apply a write that it reports as not written.
    Object& object = objects_[path];
    const bool applies = object.version == expected && OneIn(10);
    if (applies) object = {++revision_, json};
    return AtAgent(i, incarnation_number, Delay(),
                   [=] { done(WriteOutcome::kNotWritten, 0); });
  }
  const bool is_slow = now_ < platform_slow_until_;
  const bool is_lost = !fault_free_ && OneIn(is_slow ? 3 : 15);
  const Duration arrival =
      is_lost && OneIn(2) ? Duration(milliseconds(Random(1500))) : Delay();
  At(arrival, [=, this] {
    Object& object = objects_[path];
    const bool fits = object.version == expected;
    if (fits) object = {++revision_, json};
    if (is_lost) return;
    const WriteOutcome outcome =
        fits ? WriteOutcome::kWritten : WriteOutcome::kConflict;
    AtAgent(i, incarnation_number, Delay(),
            [=, version = revision_] { done(outcome, version); });
  });
  if (is_lost) {
    AtAgent(i, incarnation_number, kPlatformTimeout,
            [=] { done(WriteOutcome::kUnknown, expected); });
  }
}

inline HeadWritten Simulation::ApplyMutation(WriteOutcome outcome,
                                             uint64_t version,
                                             uint64_t expected) const {
  if ((mutation_ == Mutation::kIgnoreConflict &&
       outcome == WriteOutcome::kConflict) ||
      (mutation_ == Mutation::kTrustLostWrite &&
       outcome == WriteOutcome::kUnknown)) {
    return {WriteOutcome::kWritten, expected};
  }
  return {outcome, version};
}

inline std::optional<ClaimsRead> Simulation::ReadLog(size_t i,
                                                     const ClaimLogName& name) {
  const std::string prefix = "log/" + std::to_string(name.log) + "/";
  const auto head = objects_.find(prefix + "head");
  ClaimsRead read;
  if (head == objects_.end() || head->second.version == 0) return read;
  read.head_version = head->second.version;
  read.head = ParseClaimHead(head->second.json).value();
  for (const auto& [path, object] : objects_) {
    if (!path.starts_with(prefix) || path.ends_with("head")) continue;
    if (object.version == 0) continue;
    const uint64_t number = std::stoull(path.substr(prefix.size()));
    read.segment_numbers.push_back(number);
    if (std::ranges::find(read.head.segments, number, &SegmentRef::number) ==
        read.head.segments.end()) {
      continue;
    }
    std::ranges::copy(ParseSegment(object.json).value(),
                      std::back_inserter(read.archived));
  }
  if (mutation_ == Mutation::kIgnoreOtherIncarnations) {
    const auto is_other = [&](const ClaimEntry& entry) {
      return entry.claimant.value != BootId(i);
    };
    std::erase_if(read.archived, is_other);
    std::erase_if(read.head.entries, is_other);
  }
  return read;
}

inline void Simulation::AccessClaimLog(size_t i, const AccessLog& access) {
  const int incarnation_number = agents_[i].incarnation_number;
  const ClaimLogName name = access.name;
  const std::string prefix = "log/" + std::to_string(name.log) + "/";
  if (std::holds_alternative<ReadClaims>(access.command)) {
    At(Delay(), [=, this] {
      const auto read = IsPlatformDown() ? std::nullopt : ReadLog(i, name);
      AtAgent(i, incarnation_number, Delay(), [=, this] {
        Execute(i, agents_[i].core->OnRead(name, read, now_, Wall()));
      });
    });
  } else if (const auto* head = std::get_if<WriteHead>(&access.command)) {
    Write(i, prefix + "head", ToJson(head->head), head->expected_version,
          [=, this, expected = head->expected_version](WriteOutcome outcome,
                                                       uint64_t version) {
            Execute(i, agents_[i].core->OnHeadWritten(
                           name, ApplyMutation(outcome, version, expected),
                           now_, Wall()));
          });
  } else if (const auto* part = std::get_if<WriteSegment>(&access.command)) {
    Write(i, prefix + std::to_string(part->number),
          SegmentToJson(part->entries), 0,
          [=, this](WriteOutcome outcome, uint64_t) {
            Execute(i,
                    agents_[i].core->OnSegmentWritten(
                        name, outcome == WriteOutcome::kWritten, now_, Wall()));
          });
  } else if (const auto* drop = std::get_if<DropSegment>(&access.command)) {
    At(Delay(), [this, path = prefix + std::to_string(drop->number)] {
      if (!IsPlatformDown()) objects_.erase(path);
    });
  }
}

inline void Simulation::AnswerLayout(size_t i, const EnsureLayout& command) {
  AtAgent(i, agents_[i].incarnation_number, Delay(), [=, this] {
    std::optional<uint32_t> logs;
    if (!IsPlatformDown()) logs = kLogs;
    Execute(i, agents_[i].core->OnLayout(command.service, logs, now_, Wall()));
  });
}

}  // namespace dogwoodlatch::test
