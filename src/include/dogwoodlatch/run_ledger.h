/// Records of the non-idempotent calls that an agent process has handled, and
/// of the submits that it has refused.
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

/// A complete answer; the request id and attempt are set for each receiver.
struct RunAnswer {
  Finished finished;
  std::string body;
};

enum class RunState {
  kClaiming,  ///< waiting for its claim
  kRunning,
  kFinished,  ///< the answer is retained
  kLost,      ///< ended without an answer, or the answer was evicted
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
/// refusals are evicted first.
class RunLedger {
 public:
  explicit RunLedger(LedgerLimits limits) : limits_(limits) {}

  const RunRecord* Find(const ClaimKey& key) const;

  /// Adds a call that is new to this process, or whose earlier try was not run.
  void Begin(const ClaimKey& key, uint64_t body_digest, Waiter waiter);

  /// Adds one more submit that waits for the call.
  void Join(const ClaimKey& key, Waiter waiter);

  /// The claim was granted.
  void SetRunning(const ClaimKey& key);

  // The call ended; each returns the submits that waited for it.
  std::vector<Waiter> Finish(const ClaimKey& key, RunAnswer answer);
  std::vector<Waiter> MarkLost(const ClaimKey& key);
  std::vector<Waiter> Remove(const ClaimKey& key);

  /// Records that this attempt of a request was refused and not run.
  void Refuse(const Waiter& waiter);

  /// Whether the submit is, or may be, a duplicate of a refused one.
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
