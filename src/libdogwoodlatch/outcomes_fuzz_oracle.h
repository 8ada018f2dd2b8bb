/// The oracle of outcomes_fuzz_test.cc. It knows what ran where and what each
/// caller received, and nothing of how the code under test decides.
#pragma once

#include <string>

#include "outcomes_fuzz_simulation.h"

namespace dogwoodlatch::fuzz {

inline bool IsComplete(const Request& request) {
  return !request.outcomes.empty() &&
         request.outcomes.front().kind == OutcomeKind::kComplete;
}

inline size_t OutcomesSimulation::completed() const {
  return static_cast<size_t>(std::ranges::count_if(requests_, IsComplete));
}

inline std::string OutcomesSimulation::CheckInOrder() const {
  for (const Request& request : requests_) {
    const std::string expected = ExpectedAnswer(request);
    if (!expected.starts_with(request.sent)) return "sent " + request.sent;
    if (IsComplete(request) && request.sent != expected) {
      return "incomplete " + request.sent;
    }
  }
  return "";
}

inline std::string OutcomesSimulation::CheckOwnAnswer() const {
  for (const Request& request : requests_) {
    const std::string own = std::to_string(request.digest) + ".";
    size_t start = 0;
    while (start < request.sent.size()) {
      if (request.sent.compare(start, own.size(), own) != 0) {
        return "a part of another answer in " + request.sent;
      }
      start = request.sent.find(' ', start) + 1;
    }
    if (IsComplete(request) && request.sent != ExpectedAnswer(request)) {
      return "incomplete " + request.sent;
    }
  }
  return "";
}

inline std::string OutcomesSimulation::CheckIdentity() const {
  for (const PartRecord& part : parts_) {
    if (part.producer != part.routed_to) return "from " + part.producer.value;
    if (part.weights != part.routed_weights) return "weights " + part.weights;
  }
  return "";
}

inline std::string OutcomesSimulation::CheckLeaving() const {
  const bool any =
      std::ranges::any_of(executions_, &ExecutionRecord::target_was_leaving);
  return any ? "a leaving target ran a new attempt" : "";
}

inline std::string OutcomesSimulation::CheckPlannedStop() const {
  for (const Request& request : requests_) {
    if (!IsComplete(request)) return "incomplete after " + request.sent;
  }
  return "";
}

inline std::string OutcomesSimulation::CheckNotRunOutcomes() const {
  for (const ExecutionRecord& ran : executions_) {
    for (const Outcome& outcome : requests_[ran.request].outcomes) {
      if (outcome.kind == OutcomeKind::kNotRun) {
        return "request " + std::to_string(ran.request) +
               " ran but was reported as not run";
      }
    }
  }
  return "";
}

inline std::string OutcomesSimulation::CheckOneOutcome() const {
  for (const Request& request : requests_) {
    if (request.outcomes.size() != (request.abandoned ? 0U : 1U)) {
      return std::to_string(request.outcomes.size()) + " outcomes";
    }
    if (request.sent_after_outcome) return "sent more after the outcome";
  }
  return "";
}

inline std::string OutcomesSimulation::CheckPoison() const {
  for (const auto& [digest, count] : crashes_) {
    if (count > 2) return std::to_string(count) + " engines crashed";
  }
  return "";
}

inline std::string OutcomesSimulation::CheckBystanders() const {
  for (const Request& request : requests_) {
    // A spontaneous engine crash under a request that runs alone cannot be told
    // from a crash caused by that request.
    if (request.poison || crashed_alone_.contains(request.digest)) continue;
    for (const Outcome& outcome : request.outcomes) {
      if (outcome.kind == OutcomeKind::kRejected) return "bystander rejected";
    }
  }
  return "";
}

}  // namespace dogwoodlatch::fuzz
