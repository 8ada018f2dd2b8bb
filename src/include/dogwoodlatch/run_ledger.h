/// What one life of an agent has done with each non-idempotent call, and which
/// submits it has refused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/claim_object.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// A submit that waits for the outcome of a call.
struct Waiter {
  uint64_t connection = 0;
  RequestId request_id;
  uint32_t attempt = 0;
  WallTime issued;
};

/// A whole answer; the request id and attempt are set for each receiver.
struct RunAnswer {
  Finished finished;
  std::string body;
};

enum class RunState {
  kClaiming,  ///< waits for its claim
  kRunning,
  kFinished,  ///< the answer is held
  kLost,      ///< ended without an answer, or the answer is no longer held
};

struct RunRecord {
  uint64_t body_digest = 0;
  RunState state = RunState::kClaiming;
  std::vector<Waiter> waiters;
  RunAnswer answer;
};

struct LedgerLimits {
  size_t max_answer_bytes = 16U << 20U;
  size_t max_records = 65536;   ///< ended calls
  size_t max_refusals = 65536;  ///< refused requests
};

/// Not thread-safe. Memory is bounded: the oldest answers, ended calls and
/// refusals are forgotten first.
class RunLedger {
 public:
  explicit RunLedger(LedgerLimits limits) : limits_(limits) {}

  const RunRecord* Find(const ClaimKey& key) const;

  /// A call that this life has not seen, or whose earlier try was not run.
  void Begin(const ClaimKey& key, uint64_t body_digest, Waiter waiter);

  /// One more submit waits for the call.
  void Join(const ClaimKey& key, Waiter waiter);

  /// The claim was granted.
  void SetRunning(const ClaimKey& key);

  // The call ended; these give those who waited.
  std::vector<Waiter> Finish(const ClaimKey& key, RunAnswer answer);
  std::vector<Waiter> MarkLost(const ClaimKey& key);
  std::vector<Waiter> Remove(const ClaimKey& key);

  /// Remembers that this attempt of a request was told that it was not run.
  void Refuse(const Waiter& waiter);

  /// Whether the submit is a copy of one that was refused, or may be.
  bool IsRefused(const Waiter& waiter) const;

 private:
  void OnEnded(const ClaimKey& key);
  void EvictOldest();

  LedgerLimits limits_;
  std::unordered_map<ClaimKey, RunRecord> records_;
  std::deque<ClaimKey> ended_;    // oldest first
  std::deque<ClaimKey> answers_;  // oldest first
  size_t answer_bytes_ = 0;
  std::unordered_map<RequestId, uint32_t> refused_attempts_;
  std::deque<Waiter> refusals_;  // oldest first
  WallTime refusal_watermark_;
};

}  // namespace dogwoodlatch
