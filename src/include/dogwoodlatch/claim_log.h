/// One claim log as an agent sees it: who owns it, which keys are claimed, and
/// what to read and write next. Decides without I/O.
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

/// One call that asks for its claim.
struct ClaimRequest {
  ClaimKey key;
  uint64_t body_digest = 0;
  TargetId take_over_from;
  WallTime issued;
  TimePoint deadline;  ///< when the wait for the platform is given up
};

enum class ClaimVerdict {
  kGranted,           ///< claimed for this life; run it
  kNotOwner,          ///< another agent owns the log
  kFailed,            ///< not recorded, or not known to be; must not run
  kTooOld,            ///< sent before the log's floor
  kClaimedElsewhere,  ///< another life may have run it
  kKeyReused,         ///< claimed with another body
};

// What the daemon does.
struct DecideClaim {
  ClaimKey key;
  ClaimVerdict verdict = ClaimVerdict::kFailed;
  TargetId owner;
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

// What comes back.
struct ClaimsRead {
  uint64_t head_version = 0;  ///< 0 when the log does not exist yet
  ClaimHead head;
  std::vector<ClaimEntry> archived;       ///< of all listed segments
  std::vector<uint64_t> segment_numbers;  ///< of all that exist
};
enum class WriteOutcome { kWritten, kConflict, kNotWritten, kUnknown };
struct HeadWritten {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  uint64_t version = 0;
};

struct ClaimLogOptions {
  TargetId self;
  Incarnation claimant;  ///< this life of the agent
  Duration retention = std::chrono::hours(1);
  Duration write_interval = std::chrono::milliseconds(15);
  Duration retry_pause = std::chrono::milliseconds(200);
  size_t head_entries = 128;  ///< beyond these, the head is archived
};

/// Not thread-safe. At most one read or write is outstanding at a time; dropped
/// segments are not answered.
class ClaimLog {
 public:
  using Commands = std::vector<ClaimCommand>;

  explicit ClaimLog(ClaimLogOptions options) : options_(std::move(options)) {}

  /// Each key asks once at a time; its DecideClaim follows.
  Commands Claim(ClaimRequest request, TimePoint now, WallTime wall,
                 std::mt19937_64& random);

  Commands OnRead(const std::optional<ClaimsRead>& read, TimePoint now,
                  WallTime wall, std::mt19937_64& random);
  Commands OnHeadWritten(const HeadWritten& written, TimePoint now,
                         WallTime wall, std::mt19937_64& random);
  Commands OnSegmentWritten(bool written, TimePoint now, WallTime wall,
                            std::mt19937_64& random);

  /// Time has passed: gives up what is late, writes what waited.
  Commands Tick(TimePoint now, WallTime wall, std::mt19937_64& random);

  /// The granted key was proved not run: this life may run it later, and its
  /// entry is taken out of the log when it can be.
  void Release(const ClaimKey& key);

  bool is_owned() const { return owned_; }

  /// Whether nothing waits for a Tick.
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
  // A write that is under way, or whose answer was lost.
  struct PendingWrite {
    WriteHead write;
    std::vector<ClaimRequest> batch;
    std::vector<ClaimKey> abandoned_keys;
    std::vector<ClaimEntry> released;
    std::vector<uint64_t> dropped;
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
  void RejectAsNotOwner(const TargetId& owner, Commands& out);
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
  bool write_unresolved_ = false;  // the outcome of `pending_` is not known
  bool has_released_ = false;
  bool archiving_ = false;
  std::optional<SegmentRef> unlisted_segment_;  // written, not yet in the head
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
