/// An agent's state machine for non-idempotent calls: decides whether to claim,
/// run, join, replay or refuse a call so that no call runs twice.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dogwoodlatch/claim_log.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/run_ledger.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

/// Identifies one claim log of a service.
struct ClaimLogName {
  std::string service;
  uint32_t log = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ClaimLogName&) const = default;
};

// Commands that the agent daemon carries out.

/// Sends a message to the router on `connection`.
struct SendBack {
  uint64_t connection = 0;
  Message message;
};
/// Runs the call at the target; the daemon reports its end through
/// AtMostOnceCore::OnRunEnded.
struct StartRun {
  ClaimKey key;
  Submit submit;
  TimePoint start_before;  ///< the run must not start at or after it
};
/// Reads the service's number of claim logs, or records `logs` if none is
/// stored. Answered by AtMostOnceCore::OnLayout.
struct EnsureLayout {
  std::string service;
  uint32_t logs = 0;
};
/// Reads or writes one claim log.
struct AccessLog {
  ClaimLogName name;
  ClaimCommand command;
};
/// Releases the admission slot of a call that has ended.
struct EndAdmission {
  RequestId request_id;
  uint32_t attempt = 0;
};
using AtMostOnceCommand =
    std::variant<SendBack, StartRun, EnsureLayout, AccessLog, EndAdmission>;

/// How a run ended at the target.
enum class RunOutcome {
  kComplete,  ///< the whole answer was received
  kNotSent,   ///< certain that nothing reached the target
  kLost,      ///< the call may have run
};

struct AtMostOnceOptions {
  ClaimLogOptions log;
  LedgerLimits ledger;
  /// Longest wait for a claim, as a fraction of the call's remaining time.
  double claim_time_share = 0.5;
};

/// Admits a new call (nullopt) or returns its refusal.
using Admission = std::function<std::optional<Refused>(const Submit&)>;

/// State of one agent incarnation (one run of the agent process). Not
/// thread-safe; the daemon serializes access.
class AtMostOnceCore {
 public:
  using Commands = std::vector<AtMostOnceCommand>;

  AtMostOnceCore(AtMostOnceOptions options, Admission admit,
                 std::mt19937_64 random);

  Commands OnSubmit(const Submit& submit, uint64_t connection, TimePoint now,
                    WallTime wall);
  /// `logs` is nullopt if the layout could not be read.
  Commands OnLayout(const std::string& service, std::optional<uint32_t> logs,
                    TimePoint now, WallTime wall);
  /// `read` is nullopt if the log could not be read.
  Commands OnRead(const ClaimLogName& name,
                  const std::optional<ClaimsRead>& read, TimePoint now,
                  WallTime wall);
  Commands OnHeadWritten(const ClaimLogName& name, const HeadWritten& written,
                         TimePoint now, WallTime wall);
  Commands OnSegmentWritten(const ClaimLogName& name, bool written,
                            TimePoint now, WallTime wall);
  Commands OnRunEnded(const ClaimKey& key, RunOutcome outcome,
                      const RunAnswer& answer);
  Commands Tick(TimePoint now, WallTime wall);

  /// Whether Tick has nothing to do.
  bool is_idle() const;

  /// The claim logs that this incarnation owns, as far as it knows.
  std::vector<ClaimLogName> OwnedLogs() const;

 private:
  struct PendingCall {
    Submit submit;
    TimePoint start_before;
    ClaimLogName log;
  };
  struct Layout {
    uint32_t logs = 0;  // 0 until it has been read
    std::vector<std::pair<ClaimKey, ClaimRequest>> waiting;
  };

  struct Refusal {
    RefusalReason reason = RefusalReason::kClaimFailed;
    bool key_not_run = false;
    TargetId owner;
  };

  bool IsForThisIncarnation(const Submit& submit) const;
  const ClaimLog* FindLog(const std::string& service,
                          const ClaimKey& key) const;
  bool HasNotRun(const std::string& service, const ClaimKey& key) const;
  Commands LookUp(const ClaimKey& key, const Submit& submit,
                  const Waiter& waiter);
  Commands AnswerFromLedger(const ClaimKey& key, const RunRecord& record,
                            const Submit& submit, const Waiter& waiter);
  Commands StartClaim(const ClaimKey& key, const Submit& submit, TimePoint now,
                      WallTime wall);
  Commands RequestClaim(const ClaimRequest& request, uint32_t logs,
                        TimePoint now, WallTime wall);
  ClaimLog& FindOrCreateLog(const ClaimLogName& name, Duration retention);
  Commands ToAgentCommands(const ClaimLogName& name,
                           ClaimLog::Commands commands);
  void ApplyDecision(const DecideClaim& decision, Commands& out);
  SendBack Refuse(const Waiter& waiter, const Refusal& refusal);

  AtMostOnceOptions options_;
  Admission admit_;
  std::mt19937_64 random_;
  RunLedger ledger_;
  std::map<std::string, Layout> layouts_;
  std::map<ClaimLogName, ClaimLog> logs_;
  std::map<ClaimKey, PendingCall> calls_;  // admitted calls that have not ended
};

}  // namespace dogwoodlatch
