/// Handles one caller's request, from its arrival to the one final response.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "dogwoodlatch/daemon/metrics.h"
#include "dogwoodlatch/daemon/outcome.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/daemon/retry_queue.h"
#include "dogwoodlatch/daemon/routed_request.h"
#include "dogwoodlatch/daemon/target_attempt.h"
#include "dogwoodlatch/dataplane/http_server_session.h"
#include "dogwoodlatch/dataplane/upstream_connection.h"
#include "dogwoodlatch/retry_window.h"
#include "dogwoodlatch/serving/attempt_rules.h"
#include "dogwoodlatch/serving/event_stream.h"
#include "dogwoodlatch/serving/overload_policy.h"
#include "dogwoodlatch/serving/peer_stops.h"
#include "dogwoodlatch/serving/placement.h"
#include "dogwoodlatch/serving/poison_guard.h"
#include "dogwoodlatch/serving/quota_ledger.h"
#include "dogwoodlatch/serving/saved_parts.h"
#include "dogwoodlatch/serving/shutdown_plan.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {

class Exchange;

/// State shared by all exchanges of a router. It outlives them.
struct ExchangeContext {
  asio::io_context& io;
  PlatformView& view;
  dataplane::ConnectionPool& pool;
  Metrics& metrics;
  serving::PlacementPolicy placement;
  RetryWindowLimits retry_limits;
  RouterCount routers;  ///< that share the retries
  /// An older configuration does not prove that a route or key is unknown.
  Duration max_configuration_age;
  /// Bodies and events of responses that are read whole before they are
  /// returned.
  dataplane::ByteBudget response_budget;
  /// Set once the router is stopping.
  std::optional<serving::ShutdownPlan> stop{};
  serving::PeerStops peer_stops{};
  serving::SavedParts saved_parts{};
  /// Prompt parts sent to each target since the last update to other routers.
  std::map<std::string, std::vector<uint64_t>> sent_parts{};
  serving::QuotaLedger quotas;
  BoundedLabel quota_labels{"workspace"};
  serving::PoisonGuard poison;
  serving::OverloadPolicy overload{};
  std::map<std::string, RetryWindow> retry_windows;    ///< by service
  std::map<std::string, serving::RequestMix> mixes{};  ///< by service
  RetryQueue retry_queue;
  std::minstd_rand random{std::random_device{}()};
  std::unordered_set<Exchange*> exchanges{};  ///< in progress
};

/// Chooses the targets to try and determines the caller's response. Each send
/// to a target is a TargetAttempt.
class Exchange final : public AttemptOwner,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ExchangeContext& context,
           dataplane::HttpServerSession::Pointer session,
           dataplane::Request request);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();

  /// Tells the caller, as the router ends, that no response will come. A
  /// response that has begun may still be completed.
  void EndUnanswered();
  /// Ends the exchange, as the router ends now.
  void EndNow();

 private:
  void OnConnectFailed(TargetAttempt& attempt,
                       const std::string& reason) override;
  void OnConnected(TargetAttempt& attempt) override;
  void OnStreamBytes(TargetAttempt& attempt, std::string_view bytes) override;
  void OnStreamEnd(TargetAttempt& attempt) override;
  void OnResponse(TargetAttempt& attempt) override;
  void OnConnectionLost(TargetAttempt& attempt) override;
  void OnUnresponsive(TargetAttempt& attempt) override;

  bool AdmitRequest();
  /// Refuses the request if its workspace has used up its quota.
  bool AdmitWithinQuota();
  /// Returns what was charged, as the request has certainly not run.
  void RefundQuota();
  /// Refuses the request if it cannot be served before the router ends.
  bool AdmitDuringStop();
  /// Time after its arrival at which the request is ended at the latest.
  std::chrono::milliseconds TimeAllowed() const;
  void StartDeadline();
  std::optional<serving::Placement> Place(const serving::TargetHistory& history,
                                          TimePoint now) const;
  /// Places the request and connects to its target. A retry for `purpose` is
  /// taken from the budget once it is known to be sent.
  void TryTarget(std::optional<RetryPurpose> purpose = std::nullopt);
  /// Refuses the request if the overload policy does not let it be sent.
  bool AdmitPlacement(const serving::Placement& placement);
  void RecordSend(const std::vector<uint64_t>& shared_parts);
  bool ContinuesStream(TargetAttempt& attempt);
  void RelayEvents(std::string_view events);
  /// Accounts for the incomplete events; false if there is no memory for them.
  bool ReservePartialEvents();
  void OnNotRun(TargetAttempt& attempt);
  void OnFailure(int status);
  void OnResponseLost(TargetAttempt& attempt, std::string_view why);
  void RecordRun(const TargetAttempt& attempt);
  void RecordLostRun(const TargetAttempt& attempt, std::string_view why);
  /// Refuses a request that has crashed targets, or shares a part with such.
  bool AdmitSuspects();
  bool IsHeldBack(TimePoint now) const;
  void RecordBrokenRun(const TargetAttempt& attempt, TimePoint now);
  void LogVerdict(const serving::PoisonVerdict& verdict) const;
  void AbandonAttempt();
  void WithdrawAttempt(std::shared_ptr<TargetAttempt>& attempt);
  Duration CallerLeavesIn(TimePoint now) const;
  void StartHandoverTimer();
  void StopHandoverTimer();
  void EndOverlap();
  void SelectAnswering(const TargetAttempt& attempt);
  serving::TargetHistory PresentHistory() const;
  std::chrono::milliseconds MaxSilence(TimePoint now) const;
  bool DeliverFailedAnswer();
  void CompleteHandover();
  void ReturnToSilent();
  void DropSilent();
  bool MayRunAgain() const;
  bool MoveFromSilent(TimePoint now);
  /// Ends the request if its target's VM does not answer and its caller is
  /// expected to leave before it does.
  void EndIfAnswerIsUnlikely(TimePoint now);
  /// Why a request whose run has ended, or is as good as lost, is sent again.
  RetryPurpose RepeatPurpose() const;
  bool WithdrawRetry(RetryPurpose purpose);
  RetryWindow& Retries();
  void HoldRetry();
  void ReleaseRetry();
  /// Tries another target once other breaks of connections have been read.
  void RetryAfterBreak();
  void EndWithoutResponse();
  void RefuseForLackOfTargets();
  void Refuse(Outcome outcome, std::chrono::milliseconds retry_after);
  static constexpr int kServiceUnavailable = 503;
  void RefuseAfter(Outcome outcome, std::chrono::duration<double> delay,
                   int status = kServiceUnavailable);
  void Fail(Outcome outcome, int status);
  void DeliverResponse();
  void OnDeadline();
  void OnCallerGone();
  void Finish(Outcome outcome, int status);
  std::chrono::milliseconds TimeLeft() const;

  ExchangeContext& context_;
  dataplane::HttpServerSession::Pointer session_;
  dataplane::Request request_;
  std::shared_ptr<const std::string> body_;
  RoutedRequest routed_;
  std::vector<serving::Suspect> suspects_;
  int64_t quota_cost_ = 0;  ///< charged to the workspace's quota
  TimePoint arrived_at_;
  TimePoint response_deadline_;
  asio::steady_timer deadline_timer_;

  std::shared_ptr<TargetAttempt> attempt_;
  /// The attempt at a silent target, until `attempt_` has taken its place.
  std::shared_ptr<TargetAttempt> silent_;
  /// What `silent_` has sent of its present event, and all events before.
  serving::EventStreamSplitter silent_splitter_;
  /// An attempt that was answered with an error. The answer is delivered if no
  /// other target takes the request.
  std::shared_ptr<TargetAttempt> failed_;
  asio::steady_timer handover_timer_;
  bool is_overlapping_ = false;     ///< two targets have the request
  bool has_run_elsewhere_ = false;  ///< in this overlap, it may have run
  bool holds_retry_ = false;        ///< for the way back to `silent_`
  serving::TargetHistory history_;
  serving::RequestProgress progress_;
  serving::EventStreamSplitter splitter_;
  dataplane::ByteReservation partial_event_bytes_;
  int stream_status_ = 0;  ///< of the response, once it has begun
  std::optional<TimePoint> first_event_at_;
  std::optional<TimePoint> last_event_at_;
  bool was_admitted_ = false;  ///< by the overload policy
  bool is_finished_ = false;
};

}  // namespace dogwoodlatch::daemon
