#include "agent.h"

#include <algorithm>
#include <asio/post.hpp>
#include <sstream>
#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::agent {
namespace {

constexpr size_t kMaxMessageBytes = 16U << 20U;
constexpr std::chrono::milliseconds kOpenTimeout{2000};
constexpr std::chrono::milliseconds kDrainPollInterval{10};

std::string NewBootId() {
  std::mt19937_64 random = MakeSeededRandom();
  return MakeRandomHex(random);
}

}  // namespace

Agent::Agent(const AgentSettings& settings)
    : settings_(settings),
      target_(settings),
      boot_id_(NewBootId()),
      core_(settings.limits),
      scheduler_(settings.admission),
      at_most_once_({settings.target_id, {boot_id_}, settings.platform},
                    {[this](ConnectionId id, const Message& m) { Send(id, m); },
                     [this](StartRun start) {
                       asio::post(pool_, [this, start = std::move(start)] {
                         ExecuteAtMostOnce(start);
                       });
                     }},
                    mutex_, core_),
      pool_(settings.limits.max_running),
      node_({kMaxMessageBytes, kOpenTimeout},
            {[](ConnectionId) {},
             [this](ConnectionId id, const std::string& bytes) {
               OnReceived(id, bytes);
             },
             [this](ConnectionId id) { OnClosed(id); }}),
      follower_(settings, [this](const CacheEpoch& epoch,
                                 const std::vector<CacheNotice>& notices) {
        const std::lock_guard lock(mutex_);
        scheduler_.Apply(epoch, notices);
      }) {}

Agent::~Agent() {
  stopping_ = true;
  if (monitor_.joinable()) monitor_.join();
  follower_.Stop();
  // Runs end before the node stops, so that their last messages are sent.
  pool_.join();
  at_most_once_.Stop();
  node_.Stop();
}

bool Agent::Start() {
  SetTargetHealth(target_.CheckHealth());
  if (node_.Listen(settings_.router_address) == 0) return false;
  monitor_ = std::thread([this] { MonitorTarget(); });
  if (settings_.target_kind == RequestKind::kChat) follower_.Start();
  return true;
}

void Agent::StartDraining() {
  const std::lock_guard lock(mutex_);
  core_.StartDraining();
}

void Agent::Drain() {
  StartDraining();
  const TimePoint start = SteadyNow();
  const TimePoint end = start + settings_.drain_timeout;
  if (WaitUntilIdle(std::min(start + settings_.handover_after, end))) return;
  HandOverRuns();
  WaitUntilIdle(end);
}

bool Agent::WaitUntilIdle(TimePoint until) const {
  const auto running = [this] {
    const std::lock_guard lock(mutex_);
    return core_.running();
  };
  while (running() > 0 && SteadyNow() < until) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  return running() == 0;
}

void Agent::HandOverRuns() {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, run] : runs_) {
    if (!run->order.idempotent) continue;
    LogEvent(EventId::kRunHandedOver, {{"request", id.value}});
    run->cancellation.Cancel(BreakCause::kHandedOver);
  }
}

nlohmann::json Agent::Status() const {
  const std::lock_guard lock(mutex_);
  const ProbeReply state = core_.Answer({});
  nlohmann::json owned = nlohmann::json::array();
  for (const ClaimLogName& log : at_most_once_.OwnedLogs()) {
    owned.push_back(log.service + "/" + std::to_string(log.log));
  }
  return {{"id", settings_.id},
          {"role", "agent"},
          {"router_address", settings_.router_address},
          {"claim_logs", owned},
          {"incarnation", state.incarnation.value},
          {"weights_version", state.weights_version},
          {"running", state.running},
          {"queued_tokens", scheduler_.queue().queued_tokens()},
          {"indexed_pieces", scheduler_.index().size()},
          {"event_gaps", scheduler_.index().gaps()},
          {"draining", state.draining},
          {"healthy", state.healthy}};
}

std::string Agent::Metrics() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  out << "dogwoodlatch_agent_running " << core_.running() << "\n";
  out << "dogwoodlatch_agent_finished_total " << finished_.load() << "\n";
  return out.str();
}

void Agent::OnReceived(ConnectionId connection, const std::string& bytes) {
  Result<Message> message = Decode(bytes);
  if (!message) {
    LogEvent(EventId::kBadMessage, {{"detail", ToString(message.error())}});
    return;
  }
  std::visit(
      [&](auto& m) {
        if constexpr (requires { Handle(connection, m); }) {
          Handle(connection, m);
        }
      },
      message.value());
}

// The answer of an idempotent run cannot be delivered once its router's
// connection is closed, so the run is cancelled.
void Agent::OnClosed(ConnectionId connection) {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, run] : runs_) {
    if (run->connection == connection && run->order.idempotent) {
      run->cancellation.Cancel(BreakCause::kCancelled);
    }
  }
}

// Messages of another protocol version could be misinterpreted, so the
// connection is closed before any order is accepted.
void Agent::Handle(ConnectionId connection, const Hello& hello) {
  if (hello.protocol_version == kProtocolVersion) return;
  LogEvent(EventId::kBadMessage,
           {{"protocol_version", std::to_string(hello.protocol_version)},
            {"sender", hello.sender}});
  node_.Close(connection);
}

void Agent::Handle(ConnectionId connection, const Probe& probe) {
  ProbeReply reply;
  {
    const std::lock_guard lock(mutex_);
    reply = core_.Answer(probe);
    scheduler_.FillReply(probe, reply);
  }
  Send(connection, reply);
}

void Agent::Handle(ConnectionId connection, Submit& submit) {
  if (!submit.idempotent) return at_most_once_.OnSubmit(connection, submit);
  auto run = std::make_shared<Run>();
  std::optional<Refused> refused;
  {
    const std::lock_guard lock(mutex_);
    if (core_.IsDuplicate(submit)) return;
    const TimePoint now = SteadyNow();
    refused = core_.Admit(submit, now);
    if (!refused) {
      run->deadline = now + submit.time_left;
      run->order = std::move(submit);
      run->connection = connection;
      runs_[run->order.request_id] = run;
      if (run->order.kind == RequestKind::kChat) refused = Queue(run);
    }
  }
  if (refused) return Send(connection, *refused);
  if (run->order.kind == RequestKind::kChat) return Dispatch();
  asio::post(pool_, [this, run] { Execute(run); });
}

std::optional<Refused> Agent::Queue(const std::shared_ptr<Run>& run) {
  const Submit& order = run->order;
  const TimePoint now = SteadyNow();
  const std::optional<Shed> shed =
      scheduler_.Offer({MakeRunId(order), order.workspace, order.share,
                        order.priority, order.piece_keys, order.prompt_tokens,
                        order.piece_tokens, now + order.time_left},
                       now);
  if (!shed) {
    queued_[MakeRunId(order)] = run;
    return std::nullopt;
  }
  RemoveRun(run);
  return Refused{order.request_id, order.attempt, RefusalReason::kTooLate,
                 shed->retry_after, ""};
}

void Agent::Dispatch() {
  while (true) {
    std::shared_ptr<Run> run;
    std::optional<Shed> shed;
    {
      const std::lock_guard lock(mutex_);
      const std::optional<PrefillDispatch> next = scheduler_.Take(SteadyNow());
      if (!next) return;
      shed = next->shed;
      run = std::move(queued_.extract(next->run_id).mapped());
    }
    if (shed) {
      Refuse(run, RefusalReason::kTooLate, shed->retry_after);
    } else {
      asio::post(pool_, [this, run] { Execute(run); });
    }
  }
}

void Agent::Refuse(const std::shared_ptr<Run>& run, RefusalReason reason,
                   Duration retry_after) {
  {
    const std::lock_guard lock(mutex_);
    RemoveRun(run);
  }
  Send(run->connection, Refused{run->order.request_id, run->order.attempt,
                                reason, retry_after, ""});
}

// The target may have restarted or loaded other weights while the run was
// queued.
std::optional<RefusalReason> Agent::FindStaleReason(const Submit& order) const {
  const std::lock_guard lock(mutex_);
  const ProbeReply state = core_.Answer({});
  if (order.incarnation != state.incarnation) {
    return RefusalReason::kStaleIncarnation;
  }
  if (order.weights_version != state.weights_version) {
    return RefusalReason::kStaleWeights;
  }
  return std::nullopt;
}

void Agent::OnPrefilled(const Run& run) {
  if (run.order.kind != RequestKind::kChat) return;
  {
    const std::lock_guard lock(mutex_);
    scheduler_.OnPrefilled(MakeRunId(run.order));
  }
  Dispatch();
}

void Agent::RemoveRun(const std::shared_ptr<Run>& run) {
  core_.OnEnded(run->order.request_id, run->order.attempt);
  scheduler_.OnEnded(MakeRunId(run->order));
  const auto found = runs_.find(run->order.request_id);
  if (found != runs_.end() && found->second == run) runs_.erase(found);
}

void Agent::Handle(ConnectionId, const Cancel& cancel) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(cancel.request_id);
  if (found != runs_.end() && found->second->order.attempt == cancel.attempt &&
      found->second->order.idempotent) {
    found->second->cancellation.Cancel(BreakCause::kCancelled);
  }
}

void Agent::Execute(const std::shared_ptr<Run>& run) {
  const Submit& order = run->order;
  if (const auto stale = FindStaleReason(order)) {
    Refuse(run, *stale, Duration(0));
    return Dispatch();
  }
  const CallResult result =
      target_.Run(order, run->cancellation, [&](std::string part) {
        if (run->next_sequence == 0) OnPrefilled(*run);
        Send(run->connection, Chunk{order.request_id, order.attempt,
                                    run->next_sequence++, std::move(part)});
      });
  // Reported before the run is removed, so that a draining agent does not close
  // the connection before the last message is sent.
  Report(*run, result);
  {
    const std::lock_guard lock(mutex_);
    RemoveRun(run);
  }
  ++finished_;
  Dispatch();
}

void Agent::ExecuteAtMostOnce(const StartRun& start) {
  if (SteadyNow() >= start.start_before) {
    return at_most_once_.OnRunEnded(start.key, RunOutcome::kNotSent, {});
  }
  Cancellation no_cancellation;
  RunAnswer answer;
  const CallResult result =
      target_.Run(start.submit, no_cancellation,
                  [&](std::string_view part) { answer.body += part; });
  answer.finished.status = result.status;
  answer.finished.content_type = result.content_type;
  ++finished_;
  const RunOutcome outcome =
      result.outcome == CallOutcome::kComplete  ? RunOutcome::kComplete
      : result.outcome == CallOutcome::kNotSent ? RunOutcome::kNotSent
                                                : RunOutcome::kLost;
  at_most_once_.OnRunEnded(start.key, outcome, answer);
}

void Agent::Report(const Run& run, const CallResult& result) {
  const Submit& order = run.order;
  if (result.outcome == CallOutcome::kComplete) {
    return Send(
        run.connection,
        Finished{order.request_id, order.attempt, run.next_sequence,
                 result.status, result.content_type, result.prompt_tokens,
                 result.cached_tokens, result.output_tokens});
  }
  if (result.outcome == CallOutcome::kNotSent) {
    return Send(run.connection, Refused{order.request_id, order.attempt,
                                        RefusalReason::kTargetDown,
                                        settings_.health_interval, ""});
  }
  if (result.outcome == CallOutcome::kLost && HasTargetRestarted(run)) {
    return ReportCrash(run);
  }
  const BreakCause cause = result.outcome == CallOutcome::kCancelled
                               ? run.cancellation.cause()
                               : BreakCause::kTargetError;
  Send(run.connection,
       Broken{order.request_id, order.attempt, run.next_sequence, cause, {}});
}

void Agent::ReportCrash(const Run& run) {
  std::vector<uint64_t> suspects;
  {
    const std::lock_guard lock(mutex_);
    suspects = core_.OnCrash(run.order.incarnation);
  }
  LogEvent(EventId::kTargetCrashed,
           {{"target", settings_.target_address},
            {"in_flight", std::to_string(suspects.size())}});
  Send(run.connection,
       Broken{run.order.request_id, run.order.attempt, run.next_sequence,
              BreakCause::kTargetCrashed, std::move(suspects)});
}

// A lost connection can mean a crash or that the target ended just this call.
// The target has crashed if it does not respond or reports another boot id.
bool Agent::HasTargetRestarted(const Run& run) const {
  const std::optional<TargetHealth> health = target_.CheckHealth();
  return !health ||
         MakeIncarnation(boot_id_, health->boot_id) != run.order.incarnation;
}

void Agent::MonitorTarget() {
  while (!stopping_) {
    std::this_thread::sleep_for(settings_.health_interval);
    SetTargetHealth(target_.CheckHealth());
    CancelExpiredRuns();
  }
}

// Cancels idempotent runs past their deadline, since no caller waits for them.
void Agent::CancelExpiredRuns() {
  const TimePoint now = SteadyNow();
  const std::lock_guard lock(mutex_);
  for (const auto& [id, run] : runs_) {
    if (run->order.idempotent && run->deadline <= now) {
      run->cancellation.Cancel(BreakCause::kDeadline);
    }
  }
}

void Agent::SetTargetHealth(const std::optional<TargetHealth>& health) {
  const std::lock_guard lock(mutex_);
  if (health.has_value() != target_up_) {
    LogEvent(health ? EventId::kTargetUp : EventId::kTargetDown,
             {{"target", settings_.target_address}});
  }
  target_up_ = health.has_value();
  if (!health) {
    scheduler_.SetEngine({}, 0);
    return core_.SetTarget({});
  }
  scheduler_.SetEngine({health->boot_id, health->weights_version},
                       health->prefill_tokens_per_second);
  // The incarnation joins both boot ids, so that a restart of the agent or of
  // the target changes it.
  core_.SetTarget({MakeIncarnation(boot_id_, health->boot_id),
                   health->weights_version, true,
                   health->prefill_tokens_per_second});
}

}  // namespace dogwoodlatch::agent
