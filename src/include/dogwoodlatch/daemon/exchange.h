/// One caller's request from its arrival to its one final answer.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/daemon/metrics.h"
#include "dogwoodlatch/daemon/platform_view.h"
#include "dogwoodlatch/dataplane/door_session.h"
#include "dogwoodlatch/dataplane/upstream_connection.h"
#include "dogwoodlatch/retry_budget.h"
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
  std::string failure_domain;    ///< of this VM
  std::optional<serving::StopPlan> stop{};  ///< set once it was told to stop
  serving::SavedParts saved_parts{};
  /// Parts sent to each target since the last news to other routers.
  std::map<std::string, std::vector<uint64_t>> parts_sent{};
  serving::PoisonGuard poison;
  std::map<std::string, RetryBudget> retry_budgets;  ///< by service
  std::minstd_rand random{std::random_device{}()};
  size_t in_progress = 0;
};

/// How a request ended, for logs and metrics.
enum class Outcome {
  kServed,        ///< a target's good answer, complete
  kTargetFailed,  ///< a target's own failure, passed on
  kRefused,       ///< not run: no target could take it
  kRefusedStale,  ///< not run: the configuration's age is over the bound
  kDenied,        ///< no such route or key
  kUnknown,       ///< it may have run; its answer is lost
  kTimedOut,      ///< its deadline or the route's time-out has passed
  kStreamBroken,  ///< its stream ended early
  kCallerGone,    ///< the caller has left
  kPoisoned       ///< it broke targets and is not sent again
};

std::string_view ToString(Outcome outcome);

class Exchange final : public dataplane::AnswerListener,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(ExchangeContext& context, dataplane::DoorSession::Pointer session,
           dataplane::Request request);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();

 private:
  bool OnHead(const dataplane::AnswerHead& head) override;
  void OnBody(std::string_view bytes) override;
  void OnEnd() override;
  void OnBroken() override;

  bool FindRoute();
  bool CheckKey();
  void StartAttempt();
  bool ChooseTarget();
  void SendOn(dataplane::UpstreamConnection::Pointer connection);
  void ArmAttemptTimer(std::chrono::milliseconds wait);
  void OnAttemptTimer();
  void LeaveTarget();
  void OnWholeAnswer();
  void OnRefusedByTarget();
  void OnAnswerLost(std::string_view why);
  bool MayTryAgain() const;
  bool TakeRetry();
  void Relay(std::string_view events);
  void Refuse(Outcome outcome, int status, std::chrono::milliseconds again);
  void Fail(Outcome outcome, int status);
  void PassOn();
  void OnDeadline();
  void OnCallerGone();
  void Finish(Outcome outcome, int status);

  std::optional<Duration> IsTooLate() const;
  std::chrono::milliseconds TimeLeft() const;
  std::chrono::milliseconds RetryDelay(std::chrono::milliseconds base);

  ExchangeContext& context_;
  dataplane::DoorSession::Pointer session_;
  dataplane::Request request_;
  std::shared_ptr<const std::string> body_;
  platform::RequestFacts facts_;
  PlatformView::ConfigurationPtr configuration_;
  const serving::Route* route_ = nullptr;
  const serving::Workspace* workspace_ = nullptr;
  std::string service_;
  uint64_t fingerprint_ = 0;
  TimePoint arrived_;
  TimePoint answer_by_;
  asio::steady_timer deadline_timer_;
  asio::steady_timer attempt_timer_;

  // The attempt in progress.
  serving::Fleet::TargetPtr target_;
  serving::Placement placement_;
  dataplane::UpstreamConnection::Pointer connection_;
  bool is_first_on_connection_ = false;
  bool is_sent_ = false;
  bool has_first_event_ = false;
  TimePoint sent_at_;
  dataplane::AnswerHead head_;
  platform::AnswerFacts answer_;
  std::string answer_body_;
  bool is_event_stream_ = false;
  bool has_answer_head_ = false;

  // What earlier attempts left.
  std::vector<std::string> tried_;
  int sends_ = 0;
  int runs_ = 0;  ///< sends that may have run
  int connect_failures_ = 0;
  bool may_have_run_ = false;
  bool stream_started_ = false;
  std::optional<TimePoint> first_event_at_;
  serving::EventStreamCutter cutter_;
  bool is_finished_ = false;
};

}  // namespace dogwoodlatch::daemon
