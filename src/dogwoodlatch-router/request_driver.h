// Drives one request: feeds its RequestLifecycle with what arrives and carries
// out its commands.
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

// What one request works with; the snapshots are those in force when it
// arrived.
struct RequestContext {
  std::shared_ptr<const VmList> vms;
  // The VM list of the moment; an attempt to come uses it.
  std::function<std::shared_ptr<const VmList>()> latest_vms;
  std::string serves;
  Submit
      order;  // the order as it goes to agents, less the fields of one attempt
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

  // The same, or none when there is nothing yet at `until`.
  std::optional<DriverStep> NextBefore(TimePoint until);

  bool is_idempotent() const { return context_.order.idempotent; }

  // The caller has gone: the running attempt is cancelled. Returns the outcome.
  Outcome Abandon();

  // Where the last attempt went; empty before the first.
  const TargetId& target() const { return current_target_; }

 private:
  void Push(std::vector<RequestCommand> commands);
  void Execute(const ChooseTargetCommand& command);
  void Execute(const SendAttempt& command);
  void Execute(const CancelAttempt& command);
  void WaitForEvent(TimePoint until);
  void TellCrashGuard(const RequestEvent& event);
  void NoteOwner(const Outcome& outcome);
  std::optional<RequestEvent> ToEvent(MailItem item) const;
  std::vector<TargetId> CandidatesFor(const std::vector<TargetId>& avoid) const;
  void ChooseClaimOwner(const ChooseTargetCommand& command);
  std::vector<TargetId> OwnerCandidates(
      const ChooseTargetCommand& command) const;
  std::vector<ProbedTarget> ProbeAll(const std::vector<TargetId>& candidates);
  std::string AddressOf(const TargetId& target) const;

  RequestContext context_;
  AgentLinks& links_;
  CrashGuard& crash_guard_;
  SharedRetryBudget& retry_budget_;
  const RouterSettings& settings_;
  std::shared_ptr<Mailbox> mailbox_ = std::make_shared<Mailbox>();
  std::unique_ptr<RequestLifecycle> life_;
  std::deque<RequestCommand> commands_;
  TargetId current_target_;
  std::string current_address_;
  uint32_t current_attempt_ = 0;
  bool current_alone_ = false;
};

}  // namespace dogwoodlatch::router
