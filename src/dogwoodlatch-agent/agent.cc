#include "agent.h"

#include <asio/post.hpp>
#include <sstream>
#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::agent {
namespace {

constexpr size_t kMaxMessageBytes = 16U << 20U;
constexpr std::chrono::milliseconds kOpenTimeout{2000};
constexpr std::chrono::milliseconds kDrainPoll{10};

std::string NewBootId() {
  std::mt19937_64 random = MakeSeededRandom();
  return MakeRandomHex(random);
}

BreakCause CauseOf(CallEnd end) {
  if (end == CallEnd::kCancelled) return BreakCause::kCancelled;
  return end == CallEnd::kCrashed ? BreakCause::kTargetCrashed
                                  : BreakCause::kTargetError;
}

}  // namespace

Agent::Agent(const AgentSettings& settings)
    : settings_(settings),
      target_(settings),
      boot_id_(NewBootId()),
      core_(settings.limits),
      at_most_once_({settings.target_id, {boot_id_}, settings.platform},
                    {[this](ConnectionId id, const Message& m) { Send(id, m); },
                     [this](StartRun start) {
                       asio::post(pool_, [this, start = std::move(start)] {
                         ExecuteOnce(start);
                       });
                     }},
                    mutex_, core_),
      pool_(settings.limits.max_running),
      node_({kMaxMessageBytes, kOpenTimeout},
            {[](ConnectionId) {},
             [this](ConnectionId id, const std::string& bytes) {
               OnReceived(id, bytes);
             },
             [this](ConnectionId id) { OnClosed(id); }}) {}

Agent::~Agent() {
  stopping_ = true;
  if (monitor_.joinable()) monitor_.join();
  node_.Stop();
  pool_.join();
  at_most_once_.Stop();
}

bool Agent::Start() {
  SetTargetHealth(target_.CheckHealth());
  if (node_.Listen(settings_.router_address) == 0) return false;
  monitor_ = std::thread([this] { MonitorTarget(); });
  return true;
}

void Agent::DrainAndStop() {
  {
    const std::lock_guard lock(mutex_);
    core_.StartDraining();
  }
  const TimePoint end = SteadyNow() + settings_.drain_timeout;
  const auto running = [this] {
    const std::lock_guard lock(mutex_);
    return core_.running();
  };
  while (running() > 0 && SteadyNow() < end) {
    std::this_thread::sleep_for(kDrainPoll);
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
          {"claim_logs", owned},
          {"incarnation", state.incarnation.value},
          {"weights_version", state.weights_version},
          {"running", state.running},
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

// A router that has gone cannot pass an answer on; an idempotent run is worth
// nothing then.
void Agent::OnClosed(ConnectionId connection) {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, run] : runs_) {
    if (run->connection == connection && run->order.idempotent) {
      run->cancelled = true;
    }
  }
}

void Agent::Handle(ConnectionId connection, const Probe& probe) {
  ProbeReply reply;
  {
    const std::lock_guard lock(mutex_);
    reply = core_.Answer(probe);
  }
  Send(connection, reply);
}

void Agent::Handle(ConnectionId connection, Submit& submit) {
  if (!submit.idempotent) return at_most_once_.OnSubmit(connection, submit);
  auto run = std::make_shared<Run>();
  std::optional<Refused> refused;
  {
    const std::lock_guard lock(mutex_);
    refused = core_.Admit(submit);
    if (!refused) {
      run->order = std::move(submit);
      run->connection = connection;
      runs_[run->order.request_id] = run;
    }
  }
  if (refused) return Send(connection, *refused);
  asio::post(pool_, [this, run] { Execute(run); });
}

void Agent::Handle(ConnectionId, const Cancel& cancel) {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(cancel.request_id);
  if (found != runs_.end() && found->second->order.attempt == cancel.attempt &&
      found->second->order.idempotent) {
    found->second->cancelled = true;
  }
}

void Agent::Execute(const std::shared_ptr<Run>& run) {
  const Submit& order = run->order;
  const CallResult result =
      target_.Run(order, run->cancelled, [&](std::string part) {
        Send(run->connection, Chunk{order.request_id, order.attempt,
                                    run->next_sequence++, std::move(part)});
      });
  {
    const std::lock_guard lock(mutex_);
    core_.OnEnded(order.prompt_tokens);
    const auto found = runs_.find(order.request_id);
    if (found != runs_.end() && found->second == run) runs_.erase(found);
  }
  ++finished_;
  Report(*run, result);
}

void Agent::ExecuteOnce(const StartRun& start) {
  if (SteadyNow() >= start.start_before) {
    return at_most_once_.OnRunEnded(start.key, RunEnd::kNotSent, {});
  }
  static const std::atomic<bool> never{false};
  RunAnswer answer;
  const CallResult result = target_.Run(
      start.order, never, [&](std::string_view part) { answer.body += part; });
  answer.finished.status = result.status;
  answer.finished.content_type = result.content_type;
  ++finished_;
  const RunEnd end = result.end == CallEnd::kWhole     ? RunEnd::kWhole
                     : result.end == CallEnd::kNotSent ? RunEnd::kNotSent
                                                       : RunEnd::kLost;
  at_most_once_.OnRunEnded(start.key, end, answer);
}

void Agent::Report(const Run& run, const CallResult& result) {
  const Submit& order = run.order;
  if (result.end == CallEnd::kWhole) {
    return Send(
        run.connection,
        Finished{order.request_id, order.attempt, run.next_sequence,
                 result.status, result.content_type, result.prompt_tokens,
                 result.cached_tokens, result.output_tokens});
  }
  Send(run.connection, Broken{order.request_id,
                              order.attempt,
                              run.next_sequence,
                              CauseOf(result.end),
                              {}});
}

void Agent::MonitorTarget() {
  while (!stopping_) {
    std::this_thread::sleep_for(settings_.health_interval);
    SetTargetHealth(target_.CheckHealth());
  }
}

void Agent::SetTargetHealth(const std::optional<TargetHealth>& health) {
  const std::lock_guard lock(mutex_);
  if (health.has_value() != target_up_) {
    LogEvent(health ? EventId::kTargetUp : EventId::kTargetDown,
             {{"target", settings_.target_address}});
  }
  target_up_ = health.has_value();
  if (!health) return core_.SetTarget({});
  // Both lives are in the incarnation: a restart of the agent or of the target
  // gives a new one.
  core_.SetTarget({{boot_id_ + "/" + health->boot_id},
                   health->weights_version,
                   true,
                   health->prefill_tokens_per_second});
}

}  // namespace dogwoodlatch::agent
