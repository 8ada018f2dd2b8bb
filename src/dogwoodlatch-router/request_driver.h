// Drives one request: feeds its RequestLife with what arrives and carries out
// its commands.
#pragma once

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "agent_links.h"
#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/request_life.h"
#include "dogwoodlatch/routing.h"
#include "dogwoodlatch/settings.h"
#include "router_settings.h"

namespace dogwoodlatch::router {

// What one request works with; the snapshots are those in force when it
// arrived.
struct RequestContext {
  std::shared_ptr<const VmList> vms;
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
                const RouterSettings& settings);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  // Blocks until there is a part of the answer or the final outcome.
  DriverStep Next();

  // The caller has gone: the running attempt is cancelled.
  void Abandon();

  // Where the last attempt went; empty before the first.
  const TargetId& target() const { return current_target_; }

 private:
  void Push(std::vector<RequestCommand> commands);
  void Execute(const ChooseTargetCommand& command);
  void Execute(const SendAttempt& command);
  void Execute(const CancelAttempt& command);
  void NoteOwner(const Outcome& outcome);
  void WaitForEvent();
  std::optional<RequestEvent> ToEvent(MailItem item) const;
  std::vector<TargetId> CandidatesFor(const std::vector<TargetId>& avoid) const;
  void ChooseClaimOwner(const ChooseTargetCommand& command);
  std::vector<TargetId> OwnerCandidates(
      const ChooseTargetCommand& command) const;
  std::vector<ProbedTarget> ProbeAll(const std::vector<TargetId>& candidates);
  std::string AddressOf(const TargetId& target) const;

  RequestContext context_;
  AgentLinks& links_;
  const RouterSettings& settings_;
  std::shared_ptr<Mailbox> mailbox_ = std::make_shared<Mailbox>();
  std::unique_ptr<RequestLife> life_;
  std::deque<RequestCommand> commands_;
  TargetId current_target_;
  std::string current_address_;
  uint32_t current_attempt_ = 0;
};

}  // namespace dogwoodlatch::router
