/// The oracle of outcomes_fuzz_test.cc. It knows what ran where and what each
/// caller was told, and nothing of how the code under test decides.
#pragma once

#include <string>

#include "outcomes_fuzz_world.h"

namespace dogwoodlatch::fuzz {

inline bool IsComplete(const Request& request) {
  return !request.outcomes.empty() &&
         request.outcomes.front().kind == OutcomeKind::kComplete;
}

inline size_t World::completed() const {
  return static_cast<size_t>(std::ranges::count_if(requests_, IsComplete));
}

inline std::string World::CheckInOrder() const {
  for (const Request& request : requests_) {
    const std::string expected = Expected(request);
    if (!expected.starts_with(request.told)) return "told " + request.told;
    if (IsComplete(request) && request.told != expected) {
      return "incomplete " + request.told;
    }
  }
  return "";
}

inline std::string World::CheckOwnAnswer() const {
  for (const Request& request : requests_) {
    const std::string own = std::to_string(request.digest) + ".";
    size_t start = 0;
    while (start < request.told.size()) {
      if (request.told.compare(start, own.size(), own) != 0) {
        return "a part of another answer in " + request.told;
      }
      start = request.told.find(' ', start) + 1;
    }
    if (IsComplete(request) && request.told != Expected(request)) {
      return "incomplete " + request.told;
    }
  }
  return "";
}

inline std::string World::CheckIdentity() const {
  for (const PartRecord& part : parts_) {
    if (part.made_by != part.routed_on) return "by " + part.made_by.value;
    if (part.weights != part.routed_weights) return "with " + part.weights;
  }
  return "";
}

inline std::string World::CheckLeaving() const {
  const bool any = std::ranges::any_of(ran_, &RanRecord::target_was_leaving);
  return any ? "a leaving target ran new work" : "";
}

inline std::string World::CheckPlannedStop() const {
  for (const Request& request : requests_) {
    if (!IsComplete(request)) return "cut after " + request.told;
  }
  return "";
}

inline std::string World::CheckNotRunIsTrue() const {
  for (const RanRecord& ran : ran_) {
    for (const Outcome& outcome : requests_[ran.request].outcomes) {
      if (outcome.kind == OutcomeKind::kNotRun) {
        return "request " + std::to_string(ran.request) + " ran";
      }
    }
  }
  return "";
}

inline std::string World::CheckOneOutcome() const {
  for (const Request& request : requests_) {
    if (request.outcomes.size() != (request.abandoned ? 0U : 1U)) {
      return std::to_string(request.outcomes.size()) + " outcomes";
    }
    if (request.told_after_outcome) return "told more after the outcome";
  }
  return "";
}

inline std::string World::CheckPoison() const {
  for (const auto& [digest, count] : crashes_) {
    if (count > 2) return std::to_string(count) + " engines crashed";
  }
  return "";
}

inline std::string World::CheckInnocents() const {
  for (const Request& request : requests_) {
    // An engine that crashes by itself under a request that runs alone cannot
    // be told from one that the request crashed.
    if (request.poison || accidents_.contains(request.digest)) continue;
    for (const Outcome& outcome : request.outcomes) {
      if (outcome.kind == OutcomeKind::kRejected) return "rejected";
    }
  }
  return "";
}

}  // namespace dogwoodlatch::fuzz
