// Drives one request: passes received events to its RequestLifecycle and
// executes the commands that it returns.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "agent_links.h"
#include "crash_guard.h"
#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/request_lifecycle.h"
#include "dogwoodlatch/routing.h"
#include "dogwoodlatch/settings.h"
#include "router_settings.h"

namespace dogwoodlatch::router {

// Inputs of one request. Snapshots are those in force when it arrived.
struct RequestContext {
  std::shared_ptr<const VmList> vms;
  // Returns the current VM list, which replaces `vms` before each choice of a
  // target.
  std::function<std::shared_ptr<const VmList>()> latest_vms;
  std::string serves;  // name of the requested model or service
  // Message to agents without the fields that differ between attempts.
  Submit order;
  PromptShape prompt;
  RoutingPolicy policy;
  TimePoint deadline;
};

// The next part of the answer, or the final outcome.
using DriverStep = std::variant<std::string, Outcome>;

class RequestDriver {
 public:
  RequestDriver(RequestContext context, AgentLinks& links,
                CrashGuard& crash_guard, SharedRetryBudget& retry_budget,
                const RouterSettings& settings);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  // Blocks until there is a part of the answer or the final outcome.
  DriverStep Next();

  // Like Next, but returns none if there is neither at `until`.
  std::optional<DriverStep> NextBefore(TimePoint until);

  bool is_idempotent() const { return context_.order.idempotent; }

  // Ends the request after its caller has disconnected: cancels the running
  // attempt and returns the outcome.
  Outcome Abandon();

  // Target of the last attempt that answered or was sent; empty before.
  const TargetId& target() const { return current_target_; }

 private:
  // An attempt that was sent and has not ended.
  struct OpenAttempt {
    uint32_t number = 0;
    TargetId target;
    std::string agent_address;
    bool runs_alone = false;
  };

  void Push(std::vector<RequestCommand> commands);
  void Execute(const ChooseTargetCommand& command);
  void Execute(const SendAttempt& command);
  void Execute(const CancelAttempt& command);
  void WaitForEvent(TimePoint until);
  std::optional<MailboxItem> NextItem();
  void HandleLinkLost(const std::string& agent_address);
  void HandleMessage(Message message);
  void RecordAnswering(const RequestEvent& event);
  void NotifyCrashGuard(const RequestEvent& event);
  void CacheOwner(const Outcome& outcome);
  bool RunsAlone(uint32_t attempt) const;
  bool ConcernsOpenAttempt(const MailboxItem& item) const;
  std::vector<TargetId> SelectCandidates(
      const ChooseTargetCommand& command) const;
  void ChooseClaimOwner(const ChooseTargetCommand& command);
  std::vector<TargetId> OwnerCandidates(
      const ChooseTargetCommand& command) const;
  std::vector<ProbedTarget> ProbeAll(const std::vector<TargetId>& candidates);
  std::string FindAgentAddress(const TargetId& target) const;

  RequestContext context_;
  AgentLinks& links_;
  CrashGuard& crash_guard_;
  SharedRetryBudget& retry_budget_;
  const RouterSettings& settings_;
  std::shared_ptr<Mailbox> mailbox_ = std::make_shared<Mailbox>();
  std::unique_ptr<RequestLifecycle> lifecycle_;
  std::deque<RequestCommand> commands_;
  TargetId current_target_;
  std::vector<OpenAttempt> open_attempts_;
  // Received for open attempts while targets were probed.
  std::deque<MailboxItem> deferred_;
};

}  // namespace dogwoodlatch::router
