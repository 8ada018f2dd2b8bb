#include "request_driver.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "dogwoodlatch/prefix_key.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::router {
namespace {

constexpr Duration kNoTargetRetryAfter = std::chrono::seconds(1);

RequestPlan PlanOf(const RequestContext& context) {
  return {context.order.request_id, context.order.idempotent, context.deadline};
}

}  // namespace

RequestDriver::RequestDriver(RequestContext context, AgentLinks& links,
                             const RouterSettings& settings)
    : context_(std::move(context)),
      links_(links),
      settings_(settings),
      life_(MakeRequestLife(PlanOf(context_))) {
  Push(life_->Start());
}

RequestDriver::~RequestDriver() {
  links_.Forget(context_.order.request_id, mailbox_);
}

DriverStep RequestDriver::Next() {
  while (true) {
    if (commands_.empty()) {
      WaitForEvent();
      continue;
    }
    const RequestCommand command = std::move(commands_.front());
    commands_.pop_front();
    if (const auto* deliver = std::get_if<Deliver>(&command)) {
      return deliver->data;
    }
    if (const auto* give = std::get_if<GiveOutcome>(&command)) {
      return give->outcome;
    }
    std::visit(
        [this](const auto& c) {
          if constexpr (requires { Execute(c); }) Execute(c);
        },
        command);
  }
}

void RequestDriver::Abandon() {
  Push(life_->Handle(CallerGone{}));
  for (const RequestCommand& command : commands_) {
    if (const auto* cancel = std::get_if<CancelAttempt>(&command)) {
      Execute(*cancel);
    }
  }
  commands_.clear();
}

void RequestDriver::Push(std::vector<RequestCommand> commands) {
  std::ranges::move(commands, std::back_inserter(commands_));
}

void RequestDriver::Execute(const ChooseTargetCommand& command) {
  const std::vector<ProbedTarget> probed =
      ProbeAll(CandidatesFor(command.avoid));
  const std::optional<size_t> best =
      ChooseTarget(probed, context_.prompt, context_.policy);
  if (!best) {
    Push(life_->Handle(NoTargetFound{kNoTargetRetryAfter}));
    return;
  }
  const ProbedTarget& chosen = probed[*best];
  Push(life_->Handle(TargetChosen{chosen.target, chosen.reply.incarnation,
                                  chosen.reply.weights_version}));
}

void RequestDriver::Execute(const SendAttempt& command) {
  Submit submit = context_.order;
  submit.attempt = command.attempt;
  submit.incarnation = command.incarnation;
  submit.weights_version = command.weights_version;
  submit.delivered_text = command.delivered_text;
  submit.time_left = context_.deadline - SteadyNow();
  current_address_ = AddressOf(command.target);
  current_attempt_ = command.attempt;
  links_.SendForRequest(current_address_, submit.request_id, submit, mailbox_);
}

void RequestDriver::Execute(const CancelAttempt& command) {
  links_.SendForRequest(AddressOf(command.target), context_.order.request_id,
                        Cancel{context_.order.request_id, command.attempt},
                        mailbox_);
}

void RequestDriver::WaitForEvent() {
  std::optional<MailItem> item = mailbox_->Wait(context_.deadline);
  if (!item) {
    Push(life_->Handle(DeadlineReached{}));
    return;
  }
  const std::optional<RequestEvent> event = ToEvent(std::move(*item));
  if (event) Push(life_->Handle(*event));
}

std::optional<RequestEvent> RequestDriver::ToEvent(MailItem item) const {
  if (std::holds_alternative<LinkLost>(item.content)) {
    if (item.agent_address != current_address_) return std::nullopt;
    return ConnectionLost{current_attempt_};
  }
  return std::visit(
      [](auto& message) -> std::optional<RequestEvent> {
        using T = std::remove_cvref_t<decltype(message)>;
        if constexpr (std::is_constructible_v<RequestEvent, T>) {
          return RequestEvent(std::move(message));
        }
        return std::nullopt;
      },
      std::get<Message>(item.content));
}

std::vector<TargetId> RequestDriver::CandidatesFor(
    const std::vector<TargetId>& avoid) const {
  std::vector<const TargetEntry*> serving =
      context_.vms->Serving(context_.order.kind, context_.serves);
  std::erase_if(serving, [&](const TargetEntry* target) {
    return std::ranges::find(avoid, target->id) != avoid.end();
  });
  RoutingPolicy policy = context_.policy;
  // All calls with one idempotency key go to one target, whichever router takes
  // them.
  if (!context_.order.idempotent) policy.max_candidates = 1;
  return PickCandidates(serving, context_.prompt, policy);
}

std::vector<ProbedTarget> RequestDriver::ProbeAll(
    const std::vector<TargetId>& candidates) {
  for (const TargetId& target : candidates) {
    links_.SendProbe(AddressOf(target), Probe{0, context_.prompt.piece_keys},
                     mailbox_);
  }
  const TimePoint start = SteadyNow();
  std::vector<ProbedTarget> probed;
  size_t open = candidates.size();
  while (open > 0) {
    // Once somebody has answered, the silent ones are waited for only shortly.
    const Duration patience =
        probed.empty() ? settings_.connect_timeout : settings_.probe_timeout;
    const std::optional<MailItem> item =
        mailbox_->Wait(std::min(start + patience, context_.deadline));
    if (!item) break;
    const auto target =
        std::ranges::find(candidates, item->agent_address,
                          [this](const TargetId& id) { return AddressOf(id); });
    if (target == candidates.end()) continue;
    const auto* message = std::get_if<Message>(&item->content);
    const auto* reply =
        message == nullptr ? nullptr : std::get_if<ProbeReply>(message);
    if (message != nullptr && reply == nullptr) continue;
    --open;
    if (reply != nullptr)
      probed.push_back({*target, *reply, SteadyNow() - start});
  }
  return probed;
}

std::string RequestDriver::AddressOf(const TargetId& target) const {
  const TargetEntry* entry = context_.vms->Find(target);
  return entry == nullptr ? "" : entry->agent_address;
}

}  // namespace dogwoodlatch::router
