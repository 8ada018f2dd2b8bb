/// An agent's state machine for one claim log: who owns the log, which keys are
/// claimed, and what to read and write next. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dogwoodlatch/claim_object.h"
#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// A request to claim one call.
struct ClaimRequest {
  ClaimKey key;
  uint64_t body_digest = 0;
  TargetId take_over_from;  ///< the log's unreachable owner, or empty
  WallTime issued;          ///< arrival at the router, by its clock
  TimePoint deadline;       ///< the claim fails if undecided by then
};

enum class ClaimVerdict {
  kGranted,           ///< claimed for this incarnation; run it
  kNotOwner,          ///< another agent owns the log
  kFailed,            ///< not known to be recorded; must not run
  kTooOld,            ///< issued at or before the log's floor
  kClaimedElsewhere,  ///< claimed already; it may have run
  kKeyReused,         ///< claimed with a different body digest
};

// Commands that the agent daemon carries out.
struct DecideClaim {
  ClaimKey key;
  ClaimVerdict verdict = ClaimVerdict::kFailed;
  TargetId owner;  ///< of the log, for kNotOwner
};
struct ReadClaims {};
struct WriteHead {
  ClaimHead head;
  uint64_t expected_version = 0;
};
struct WriteSegment {
  uint64_t number = 0;
  std::vector<ClaimEntry> entries;
};
struct DropSegment {
  uint64_t number = 0;
};
using ClaimCommand =
    std::variant<DecideClaim, ReadClaims, WriteHead, WriteSegment, DropSegment>;

// Answers to the commands.
struct ClaimsRead {
  uint64_t head_version = 0;  ///< 0 if the log does not exist yet
  ClaimHead head;
  std::vector<ClaimEntry> archived;  ///< of all segments that the head lists
  std::vector<uint64_t> segment_numbers;  ///< of all stored segments
};
enum class WriteOutcome { kWritten, kConflict, kNotWritten, kUnknown };
struct HeadWritten {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  uint64_t version = 0;
};

struct ClaimLogOptions {
  TargetId self;
  Incarnation claimant;  ///< this incarnation of the agent
  /// Shortest time for which a claim is kept.
  Duration retention = std::chrono::hours(1);
  /// Shortest time from a write of the head to the next one.
  Duration write_interval = std::chrono::milliseconds(15);
  /// Claims fail at once for this long after a failed read or write.
  Duration retry_pause = std::chrono::milliseconds(200);
  size_t head_entries = 128;  ///< the head is archived at this many entries
};

/// Not thread-safe. At most one read or write is outstanding at a time; a
/// DropSegment has no answer.
class ClaimLog {
 public:
  using Commands = std::vector<ClaimCommand>;

  explicit ClaimLog(ClaimLogOptions options) : options_(std::move(options)) {}

  /// At most one open request per key; a DecideClaim answers it.
  Commands Claim(ClaimRequest request, TimePoint now, WallTime wall,
                 std::mt19937_64& random);

  /// `read` is nullopt if the log could not be read.
  Commands OnRead(const std::optional<ClaimsRead>& read, TimePoint now,
                  WallTime wall, std::mt19937_64& random);
  Commands OnHeadWritten(const HeadWritten& written, TimePoint now,
                         WallTime wall, std::mt19937_64& random);
  Commands OnSegmentWritten(bool written, TimePoint now, WallTime wall,
                            std::mt19937_64& random);

  /// Fails requests past their deadline and starts the next read or write.
  Commands Tick(TimePoint now, WallTime wall, std::mt19937_64& random);

  /// Reports that the call of a granted key certainly did not run: this
  /// incarnation may run it later, and its entry is removed from the log when
  /// possible.
  void Release(const ClaimKey& key);

  bool is_owned() const { return owned_; }

  /// Whether the log holds a claim of the key whose call may have run.
  bool MayHaveRun(const ClaimKey& key) const;

  /// Whether this agent owns the log and the key's call has not run. False if
  /// the agent does not own the log or cannot tell whether it still does.
  bool HasNotRun(const ClaimKey& key) const;

  /// Whether Tick has nothing to do.
  bool is_idle() const {
    return waiting_.empty() && !access_pending_ && !write_unresolved_ &&
           !has_released_;
  }

 private:
  struct IndexedClaim {
    uint64_t body_digest = 0;
    Incarnation claimant;
    WallTime time;
    bool released = false;
  };
  // A write that is outstanding or whose answer was lost.
  struct PendingWrite {
    WriteHead write;
    std::vector<ClaimRequest> batch;
    std::vector<ClaimKey> abandoned_keys;  // of the batch, already failed
    std::vector<ClaimEntry> released;      // removed from the head
    std::vector<uint64_t> dropped;         // segments to drop afterwards
    bool takes_over = false;
  };

  std::optional<ClaimVerdict> DecideFromIndex(const ClaimRequest& request);
  Commands IssueNextAccess(TimePoint now, WallTime wall,
                           std::mt19937_64& random);
  Commands WriteBatch(WallTime wall, std::mt19937_64& random);
  Commands Archive();
  void DecideWaiting(Commands& out);
  void RemoveReleased(PendingWrite& pending);
  void DropExpired(PendingWrite& pending, WallTime wall) const;
  void AddBatch(PendingWrite& pending, WallTime wall);
  Commands ResolvePendingWrite(const ClaimsRead& read, TimePoint now);
  Commands TakeOver(const ClaimsRead& read, std::mt19937_64& random);
  void RefuseAsNotOwner(const TargetId& owner, Commands& out);
  void CommitPendingWrite(uint64_t version, TimePoint now, Commands& out);
  void GrantBatch(const PendingWrite& pending, Commands& out);
  void OnPendingNotWritten(Commands& out);
  void FailPendingWrite(Commands& out);
  void LoseOwnership();
  void FailAllRequests(TimePoint now, Commands& out);
  void FailExpiredRequests(TimePoint now, Commands& out);
  void AddToIndex(const ClaimEntry& entry);

  ClaimLogOptions options_;
  bool owned_ = false;
  bool access_pending_ = false;    // a read or write is outstanding
  bool write_unresolved_ = false;  // the outcome of `pending_` is unknown
  bool is_contested_ = false;  // a write conflicted; another may own the log
  bool has_released_ = false;
  bool archiving_ = false;
  std::optional<SegmentRef> unlisted_segment_;  // stored, not in the head
  uint64_t segment_number_ = 0;
  uint64_t version_ = 0;
  ClaimHead head_;
  std::unordered_map<ClaimKey, IndexedClaim> index_;
  std::vector<ClaimRequest> waiting_;
  std::optional<PendingWrite> pending_;
  TimePoint next_write_;
  TimePoint retry_at_;
};

}  // namespace dogwoodlatch
