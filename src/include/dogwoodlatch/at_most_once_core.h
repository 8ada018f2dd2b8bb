/// An agent's decisions about non-idempotent calls: claim, run, join, replay or
/// refuse, so that no call ever runs twice.
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

/// Names one claim log.
struct ClaimLogName {
  std::string service;
  uint32_t log = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ClaimLogName&) const = default;
};

// What the daemon does.

/// Sends a message back to a router.
struct SendBack {
  uint64_t connection = 0;
  Message message;
};
/// Runs the call at the target; AtMostOnceCore::OnRunEnded follows.
struct StartRun {
  ClaimKey key;
  Submit submit;
  TimePoint start_before;  ///< past this the run must not begin
};
/// Reads how many logs the service has, or records `logs` when it has none yet.
struct EnsureLayout {
  std::string service;
  uint32_t logs = 0;
};
/// Carries out a read or write of one log.
struct AccessLog {
  ClaimLogName name;
  ClaimCommand command;
};
/// An admitted call no longer counts as running.
struct EndAdmission {
  RequestId request_id;
  uint32_t attempt = 0;
};
using AtMostOnceCommand =
    std::variant<SendBack, StartRun, EnsureLayout, AccessLog, EndAdmission>;

/// How a call ended at the target.
enum class RunOutcome {
  kComplete,
  kNotSent,  ///< proved that nothing reached the target
  kLost,     ///< may have run
};

struct AtMostOnceOptions {
  ClaimLogOptions log;
  LedgerLimits ledger;
  /// Longest wait for a claim, as a share of the time that the call has left.
  double claim_time_share = 0.5;
};

/// Admits a new call, or gives the refusal.
using Admission = std::function<std::optional<Refused>(const Submit&)>;

/// One life of an agent. Not thread-safe; the daemon guards it.
class AtMostOnceCore {
 public:
  using Commands = std::vector<AtMostOnceCommand>;

  AtMostOnceCore(AtMostOnceOptions options, Admission admit,
                 std::mt19937_64 random);

  Commands OnSubmit(const Submit& submit, uint64_t connection, TimePoint now,
                    WallTime wall);
  Commands OnLayout(const std::string& service, std::optional<uint32_t> logs,
                    TimePoint now, WallTime wall);
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

  /// Whether nothing waits for a Tick.
  bool is_idle() const;

  /// Names of the logs that this life owns, as far as it knows.
  std::vector<ClaimLogName> OwnedLogs() const;

 private:
  struct PendingCall {
    Submit submit;
    TimePoint start_before;
    ClaimLogName log;
  };
  struct Layout {
    uint32_t logs = 0;  // 0 while it is not known
    std::vector<std::pair<ClaimKey, ClaimRequest>> waiting;
  };

  bool IsForThisIncarnation(const Submit& submit) const;
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
  void RefuseAll(const std::vector<Waiter>& waiters, RefusalReason reason,
                 const TargetId& owner, Commands& out);
  SendBack RefuseOne(const Waiter& waiter, RefusalReason reason,
                     const TargetId& owner);

  AtMostOnceOptions options_;
  Admission admit_;
  std::mt19937_64 random_;
  RunLedger ledger_;
  std::map<std::string, Layout> layouts_;
  std::map<ClaimLogName, ClaimLog> logs_;
  std::map<ClaimKey, PendingCall> calls_;  // from admission to the end
};

}  // namespace dogwoodlatch
