#include "request_driver.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "dogwoodlatch/prefix_key.h"
#include "dogwoodlatch/probe_sample.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::router {
namespace {

constexpr Duration kNoTargetRetryAfter = std::chrono::seconds(1);
// Targets probed for each choice of a target that may own a claim log.
constexpr size_t kMaxOwnersTried = 3;
// The same for an agent that is asked only what it knows.
constexpr size_t kMaxLookups = 12;

RequestPlan MakeRequestPlan(const RequestContext& context, Suspicion suspicion,
                            const RouterSettings& settings) {
  const Submit& order = context.order;
  RequestPlan plan;
  plan.request_id = order.request_id;
  plan.idempotent = order.idempotent;
  plan.deadline = context.deadline;
  plan.can_continue = order.kind == RequestKind::kChat;
  plan.suspicion = suspicion;
  // Request identifiers are random, so a digest of one is a suitable seed.
  plan.random_seed = ComputeDigest({order.request_id.value});
  plan.retry = settings.retry;
  return plan;
}

}  // namespace

RequestDriver::RequestDriver(RequestContext context, AgentLinks& links,
                             CrashGuard& crash_guard,
                             SharedRetryBudget& retry_budget,
                             const RouterSettings& settings)
    : context_(std::move(context)),
      links_(links),
      crash_guard_(crash_guard),
      retry_budget_(retry_budget),
      settings_(settings),
      lifecycle_(MakeRequestLifecycle(MakeRequestPlan(
          context_, crash_guard.Find(context_.order.digest), settings))) {
  retry_budget_.OnFirstAttempt();
  lifecycle_->Advance(SteadyNow());
  Push(lifecycle_->Start());
}

RequestDriver::~RequestDriver() {
  links_.Unsubscribe(context_.order.request_id, mailbox_);
}

DriverStep RequestDriver::Next() {
  std::optional<DriverStep> step;
  while (!step) step = NextBefore(TimePoint::max());
  return std::move(*step);
}

std::optional<DriverStep> RequestDriver::NextBefore(TimePoint until) {
  while (true) {
    if (commands_.empty()) {
      if (SteadyNow() >= until) return std::nullopt;
      WaitForEvent(until);
      continue;
    }
    const RequestCommand command = std::move(commands_.front());
    commands_.pop_front();
    if (const auto* deliver = std::get_if<Deliver>(&command)) {
      return DriverStep(deliver->data);
    }
    if (const auto* report = std::get_if<ReportOutcome>(&command)) {
      CacheOwner(report->outcome);
      return DriverStep(report->outcome);
    }
    std::visit(
        [this](const auto& c) {
          if constexpr (requires { Execute(c); }) Execute(c);
        },
        command);
  }
}

Outcome RequestDriver::Abandon() {
  lifecycle_->Advance(SteadyNow());
  Push(lifecycle_->Handle(CallerGone{}));
  Outcome outcome;
  for (const RequestCommand& command : commands_) {
    if (const auto* cancel = std::get_if<CancelAttempt>(&command)) {
      Execute(*cancel);
    } else if (const auto* report = std::get_if<ReportOutcome>(&command)) {
      outcome = report->outcome;
    }
  }
  commands_.clear();
  return outcome;
}

void RequestDriver::CacheOwner(const Outcome& outcome) {
  if (context_.order.idempotent || outcome.kind != OutcomeKind::kComplete) {
    return;
  }
  links_.owners().Set(context_.prompt.piece_keys.front(), current_target_);
}

void RequestDriver::Push(std::vector<RequestCommand> commands) {
  std::ranges::move(commands, std::back_inserter(commands_));
}

void RequestDriver::Execute(const ChooseTargetCommand& command) {
  if (command.spends_budget && !retry_budget_.Withdraw()) {
    Push(lifecycle_->Handle(
        NoTargetFound{kNoTargetRetryAfter, OutcomeReason::kRetryBudget}));
    return;
  }
  if (context_.latest_vms) context_.vms = context_.latest_vms();
  if (!context_.order.idempotent) return ChooseClaimOwner(command);
  const std::vector<ProbedTarget> probed = ProbeAll(SelectCandidates(command));
  const std::optional<size_t> best =
      ChooseTarget(probed, context_.prompt, context_.policy);
  lifecycle_->Advance(SteadyNow());
  if (!best) {
    Push(lifecycle_->Handle(NoTargetFound{kNoTargetRetryAfter}));
    return;
  }
  const ProbedTarget& chosen = probed[*best];
  Push(lifecycle_->Handle(TargetChosen{
      chosen.target, chosen.reply.incarnation, chosen.reply.weights_version,
      crash_guard_.Find(context_.order.digest)}));
}

// Chooses the first candidate, in order, that accepts work. A preferred target
// and one for a lookup are also chosen while they drain or are unhealthy, since
// they may hold the answer.
void RequestDriver::ChooseClaimOwner(const ChooseTargetCommand& command) {
  const std::vector<TargetId> candidates = OwnerCandidates(command);
  const std::vector<ProbedTarget> probed = ProbeAll(candidates);
  const auto can_take = [&](const TargetId& target) {
    const auto found = std::ranges::find(probed, target, &ProbedTarget::target);
    if (found == probed.end()) return false;
    return !command.preferred.empty() || command.lookup_only ||
           (found->reply.healthy && !found->reply.draining);
  };
  const auto best = std::ranges::find_if(candidates, can_take);
  if (best == candidates.end()) {
    Push(lifecycle_->Handle(NoTargetFound{
        kNoTargetRetryAfter, OutcomeReason::kNoTarget, !candidates.empty()}));
    return;
  }
  const ProbeReply& reply =
      std::ranges::find(probed, *best, &ProbedTarget::target)->reply;
  Push(lifecycle_->Handle(
      TargetChosen{*best, reply.incarnation, reply.weights_version}));
}

// Returns a few targets: the last known owner, then the others in an order that
// is the same at every router.
std::vector<TargetId> RequestDriver::OwnerCandidates(
    const ChooseTargetCommand& command) const {
  if (!command.preferred.empty()) return {command.preferred};
  std::vector<TargetId> candidates = SelectCandidates(command);
  const TargetId owner =
      links_.owners().Find(context_.prompt.piece_keys.front());
  const auto owner_position = std::ranges::find(candidates, owner);
  if (owner_position != candidates.end()) {
    std::rotate(candidates.begin(), owner_position, owner_position + 1);
  }
  const size_t limit = command.lookup_only ? kMaxLookups : kMaxOwnersTried;
  if (candidates.size() > limit) candidates.resize(limit);
  return candidates;
}

void RequestDriver::Execute(const SendAttempt& command) {
  Submit submit = context_.order;
  submit.attempt = command.attempt;
  submit.incarnation = command.incarnation;
  submit.weights_version = command.weights_version;
  submit.delivered_text = command.delivered_text;
  submit.run_alone = command.run_alone;
  submit.claim.take_over_from = command.take_over_from;
  submit.claim.lookup_only = command.lookup_only;
  submit.time_left = context_.deadline - SteadyNow();
  current_target_ = command.target;
  // An attempt that must not be repeated is the only one.
  if (!context_.order.idempotent) open_attempts_.clear();
  const OpenAttempt& sent = open_attempts_.emplace_back(
      OpenAttempt{command.attempt, command.target,
                  FindAgentAddress(command.target), command.run_alone});
  links_.SendForRequest(sent.agent_address, submit.request_id, submit,
                        mailbox_);
}

void RequestDriver::Execute(const CancelAttempt& command) {
  const auto open =
      std::ranges::find(open_attempts_, command.attempt, &OpenAttempt::number);
  const std::string address = open == open_attempts_.end()
                                  ? FindAgentAddress(command.target)
                                  : open->agent_address;
  links_.SendForRequest(address, context_.order.request_id,
                        Cancel{context_.order.request_id, command.attempt},
                        mailbox_);
  if (open != open_attempts_.end() && context_.order.idempotent) {
    open_attempts_.erase(open);
  }
}

void RequestDriver::WaitForEvent(TimePoint until) {
  std::optional<MailboxItem> item = NextItem();
  if (!item) {
    item = mailbox_->Wait(
        std::min({until, context_.deadline, lifecycle_->WakeAt()}));
  }
  const TimePoint now = SteadyNow();
  lifecycle_->Advance(now);
  if (now >= context_.deadline) {
    Push(lifecycle_->Handle(DeadlineReached{}));
  } else if (item && std::holds_alternative<LinkLost>(item->content)) {
    HandleLinkLost(item->agent_address);
  } else if (item) {
    HandleMessage(std::get<Message>(std::move(item->content)));
  } else if (now >= lifecycle_->WakeAt()) {
    Push(lifecycle_->OnTimer());
  }
}

std::optional<MailboxItem> RequestDriver::NextItem() {
  if (deferred_.empty()) return std::nullopt;
  MailboxItem item = std::move(deferred_.front());
  deferred_.pop_front();
  return item;
}

void RequestDriver::HandleLinkLost(const std::string& agent_address) {
  for (const OpenAttempt& open : open_attempts_) {
    if (open.agent_address != agent_address) continue;
    Push(lifecycle_->Handle(ConnectionLost{open.number}));
  }
}

void RequestDriver::HandleMessage(Message message) {
  std::visit(
      [this](auto& content) {
        using T = std::remove_cvref_t<decltype(content)>;
        if constexpr (std::is_constructible_v<RequestEvent, T>) {
          const RequestEvent event(std::move(content));
          RecordAnswering(event);
          NotifyCrashGuard(event);
          Push(lifecycle_->Handle(event));
        }
      },
      message);
}

void RequestDriver::RecordAnswering(const RequestEvent& event) {
  const auto* part = std::get_if<Chunk>(&event);
  if (part == nullptr) return;
  const auto open =
      std::ranges::find(open_attempts_, part->attempt, &OpenAttempt::number);
  if (open != open_attempts_.end()) current_target_ = open->target;
}

// Called before the event is passed to the RequestLifecycle, so that its next
// choice of a target takes the crash into account.
void RequestDriver::NotifyCrashGuard(const RequestEvent& event) {
  if (const auto* broken = std::get_if<Broken>(&event)) {
    if (broken->cause != BreakCause::kTargetCrashed) return;
    crash_guard_.OnCrash(broken->crash_suspects, RunsAlone(broken->attempt));
  } else if (const auto* finished = std::get_if<Finished>(&event)) {
    if (RunsAlone(finished->attempt)) {
      crash_guard_.OnCompletedAlone(context_.order.digest);
    }
  }
}

bool RequestDriver::RunsAlone(uint32_t attempt) const {
  const auto open =
      std::ranges::find(open_attempts_, attempt, &OpenAttempt::number);
  return open != open_attempts_.end() && open->runs_alone;
}

// Only a request that may be repeated keeps an attempt while another target is
// chosen.
bool RequestDriver::ConcernsOpenAttempt(const MailboxItem& item) const {
  if (!context_.order.idempotent) return false;
  const auto* message = std::get_if<Message>(&item.content);
  if (message != nullptr) {
    return !std::holds_alternative<ProbeReply>(*message);
  }
  return std::ranges::find(open_attempts_, item.agent_address,
                           &OpenAttempt::agent_address) != open_attempts_.end();
}

// A leaving target takes no new requests, but may hold an answer.
std::vector<TargetId> RequestDriver::SelectCandidates(
    const ChooseTargetCommand& command) const {
  std::vector<const TargetEntry*> serving =
      command.lookup_only
          ? context_.vms->Listed(context_.order.kind, context_.serves)
          : context_.vms->Serving(context_.order.kind, context_.serves);
  std::erase_if(serving, [&](const TargetEntry* target) {
    return std::ranges::find(command.avoid, target->id) != command.avoid.end();
  });
  RoutingPolicy policy = context_.policy;
  // Any of the targets may own a claim log.
  if (!context_.order.idempotent) policy.max_candidates = serving.size();
  return PickCandidates(serving, context_.prompt, policy);
}

std::vector<ProbedTarget> RequestDriver::ProbeAll(
    const std::vector<TargetId>& candidates) {
  const ProbeSample sample(context_.prompt.piece_keys, kMaxProbeKeys);
  for (const TargetId& target : candidates) {
    links_.SendProbe(FindAgentAddress(target), Probe{0, sample.keys()},
                     mailbox_);
  }
  const TimePoint start = SteadyNow();
  std::vector<ProbedTarget> probed;
  size_t outstanding = candidates.size();
  while (outstanding > 0) {
    // After the first reply the remaining candidates get only the shorter probe
    // timeout.
    const Duration reply_timeout =
        probed.empty() ? settings_.connect_timeout : settings_.probe_timeout;
    const std::optional<MailboxItem> item =
        mailbox_->Wait(std::min(start + reply_timeout, context_.deadline));
    if (!item) break;
    if (ConcernsOpenAttempt(*item)) deferred_.push_back(*item);
    const auto target = std::ranges::find(
        candidates, item->agent_address,
        [this](const TargetId& id) { return FindAgentAddress(id); });
    if (target == candidates.end()) continue;
    const auto* message = std::get_if<Message>(&item->content);
    const auto* reply =
        message == nullptr ? nullptr : std::get_if<ProbeReply>(message);
    if (message != nullptr && reply == nullptr) continue;
    --outstanding;
    if (reply == nullptr) continue;
    ProbedTarget& probed_target =
        probed.emplace_back(ProbedTarget{*target, *reply, SteadyNow() - start});
    probed_target.reply.cached_pieces =
        sample.CachedDepth(reply->cached_pieces);
    probed_target.reply.pending_pieces =
        sample.CachedDepth(reply->pending_pieces);
  }
  return probed;
}

std::string RequestDriver::FindAgentAddress(const TargetId& target) const {
  const TargetEntry* entry = context_.vms->Find(target);
  return entry == nullptr ? "" : entry->agent_address;
}

}  // namespace dogwoodlatch::router
