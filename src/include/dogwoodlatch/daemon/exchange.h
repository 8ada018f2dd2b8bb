/// One caller's request from its arrival to its one final answer.
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
#include <vector>

#include "dogwoodlatch/daemon/metrics.h"
#include "dogwoodlatch/daemon/outcome.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/daemon/routed_request.h"
#include "dogwoodlatch/daemon/target_attempt.h"
#include "dogwoodlatch/dataplane/http_server_session.h"
#include "dogwoodlatch/dataplane/upstream_connection.h"
#include "dogwoodlatch/retry_budget.h"
#include "dogwoodlatch/serving/attempt_rules.h"
#include "dogwoodlatch/serving/event_stream.h"
#include "dogwoodlatch/serving/placement.h"
#include "dogwoodlatch/serving/poison_guard.h"
#include "dogwoodlatch/serving/saved_parts.h"
#include "dogwoodlatch/serving/stop_plan.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {

/// What the exchanges of a router share; it outlives them.
struct ExchangeContext {
  asio::io_context& io;
  PlatformView& view;
  dataplane::ConnectionPool& pool;
  Metrics& metrics;
  serving::PlacementPolicy placement;
  RetryBudgetLimits retry_limits;
  Duration configuration_bound;  ///< age up to which a miss is certain
  std::optional<serving::StopPlan> stop{};  ///< set once it was told to stop
  serving::SavedParts saved_parts{};
  /// Parts sent to each target since the last news to other routers.
  std::map<std::string, std::vector<uint64_t>> parts_sent{};
  serving::PoisonGuard poison;
  std::map<std::string, RetryBudget> retry_budgets;  ///< by service
  std::minstd_rand random{std::random_device{}()};
  size_t in_progress = 0;
};

/// Decides which targets are tried and what the caller gets; what is sent to
/// one of them is the attempt's.
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

 private:
  void OnNoConnection(const std::string& reason) override;
  void OnConnected() override;
  void OnStreamBytes(std::string_view bytes) override;
  void OnStreamEnd() override;
  void OnAnswer() override;
  void OnLost() override;
  void OnSilent() override;

  bool PassDoor();
  void StartDeadline();
  std::optional<serving::Placement> Place(std::span<const std::string> left_out,
                                          TimePoint now) const;
  bool HasOtherTarget(TimePoint now) const;
  void TryTarget();
  void NoteSend(const std::vector<uint64_t>& shared_parts);
  void RelayEvents(std::string_view events);
  void OnNotRun();
  void OnAnswerLost(std::string_view why);
  void NoteLostRun(std::string_view why);
  void LeaveAttempt();
  bool MayRunAgain() const;
  bool TakeRetry();
  void GiveUp();
  void Refuse(Outcome outcome, std::chrono::milliseconds again);
  void Fail(Outcome outcome, int status);
  void Deliver();
  void OnDeadline();
  void OnCallerGone();
  void Finish(Outcome outcome, int status);
  std::chrono::milliseconds TimeLeft() const;

  ExchangeContext& context_;
  dataplane::HttpServerSession::Pointer session_;
  dataplane::Request request_;
  std::shared_ptr<const std::string> body_;
  RoutedRequest routed_;
  uint64_t fingerprint_ = 0;
  TimePoint arrived_;
  TimePoint answer_by_;
  asio::steady_timer deadline_timer_;

  std::shared_ptr<TargetAttempt> attempt_;
  std::vector<std::string> tried_;
  serving::RequestProgress progress_;
  serving::EventStreamCutter cutter_;
  std::optional<TimePoint> first_event_at_;
  bool is_finished_ = false;
};

}  // namespace dogwoodlatch::daemon
