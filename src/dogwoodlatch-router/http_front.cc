#include "http_front.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "dogwoodlatch/claim_object.h"
#include "dogwoodlatch/prefix_key.h"
#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/log.h"
#include "http_answers.h"

namespace dogwoodlatch::router {
namespace {

using Json = nlohmann::json;
using httplib::Request;
using httplib::Response;

constexpr std::chrono::seconds kStartRetryAfter{1};
constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::milliseconds kDrainPoll{10};
// How soon a caller that has gone is noticed while no part arrives.
constexpr std::chrono::milliseconds kCallerPoll{100};
constexpr std::chrono::milliseconds kStartPoll{1};
constexpr Refusal kUnknownKey{401, "unknown_workspace_key",
                              "no workspace has this key"};

// The text whose prefixes engines cache; empty when the body has no messages.
std::string PromptOf(const Json& body) {
  std::string prompt;
  for (const Json& message : body.value("messages", Json::array())) {
    if (!message.is_object()) return "";
    prompt += message.value("role", "") + "\n";
    prompt += message.value("content", "") + "\n";
  }
  return prompt;
}

const WorkspaceSettings* FindWorkspace(const SettingsSnapshot& settings,
                                       const Request& request) {
  const std::string header = request.get_header_value("Authorization");
  if (!header.starts_with(kBearer)) return nullptr;
  return settings.FindWorkspaceByKey(Sha256Hex(header.substr(kBearer.size())));
}

// The next step. A caller that goes meanwhile ends an idempotent request; any
// other runs on, since its key may be sent again for the answer.
DriverStep NextWhileConnected(RequestDriver& driver) {
  if (!driver.is_idempotent()) return driver.Next();
  while (true) {
    std::optional<DriverStep> step =
        driver.NextBefore(SteadyNow() + kCallerPoll);
    if (step) return std::move(*step);
    if (!DoorServer::IsCallerConnected()) return driver.Abandon();
  }
}

// All calls of one claim log are routed alike, whichever router takes them.
void AddClaim(const ServiceSettings& service, RequestContext& context) {
  Submit& order = context.order;
  order.claim = {
      service.name, service.claim_logs, service.claim_retention, {}, WallNow()};
  const uint32_t log =
      SelectClaimLog(ComputeClaimKey(order), service.claim_logs);
  context.prompt.piece_keys = {DigestOf({service.name, std::to_string(log)})};
}

}  // namespace

// Counts one request from its arrival to the end of its answer.
class HttpFront::InFlight {
 public:
  explicit InFlight(std::atomic<int>& count) : count_(count) { ++count_; }
  ~InFlight() { --count_; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  std::atomic<int>& count_;
};

// What is known of one request before its outcome.
struct HttpFront::Tally {
  std::string serves;
  WorkspaceId workspace;
  TimePoint arrival;
  std::optional<Duration> first_token;
};

HttpFront::HttpFront(const RouterSettings& settings, const PlatformSync& sync,
                     AgentLinks& links, CrashGuard& crash_guard)
    : settings_(settings),
      sync_(sync),
      links_(links),
      crash_guard_(crash_guard),
      retry_budget_(settings.retry_budget),
      server_(settings.door,
              [this](const Request& request) { return CheckAtDoor(request); }) {
  server_.set_error_handler(
      [](const Request&, Response& response) { DescribeBareError(response); });
  server_.Post("/v1/chat/completions",
               [this](const Request& request, Response& response) {
                 HandleChat(request, response);
               });
  const auto service = [this](const Request& request, Response& response) {
    HandleService(request, response);
  };
  const char* const pattern = "/services/([^/]+)(/.*)";
  server_.Get(pattern, service)
      .Post(pattern, service)
      .Put(pattern, service)
      .Patch(pattern, service);
  server_.Delete(pattern, service);
}

HttpFront::~HttpFront() {
  server_.stop();
  if (thread_.joinable()) thread_.join();
}

bool HttpFront::Start() {
  const Address address = ParseAddress(settings_.caller_address);
  if (!server_.bind_to_port(address.host, address.port)) return false;
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  // A stop before the server runs would be lost.
  while (!server_.is_running()) std::this_thread::sleep_for(kStartPoll);
  return true;
}

void HttpFront::DrainAndStop() {
  draining_ = true;
  const TimePoint end = SteadyNow() + settings_.drain_timeout;
  while (in_flight_ > 0 && SteadyNow() < end) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  server_.stop();
}

std::string HttpFront::Metrics() const {
  std::ostringstream out;
  out << "dogwoodlatch_requests_in_flight " << in_flight_.load() << "\n";
  out << stats_.Metrics(SteadyNow());
  return out.str();
}

void HttpFront::HandleChat(const Request& request, Response& response) {
  const auto settings = sync_.settings();
  const WorkspaceSettings* workspace =
      Authenticate(*settings, request, response);
  if (workspace == nullptr) return;
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Reject(response, 400, "bad_json", "the body is not a JSON object");
  }
  // The library reports wrong field types by exception only.
  try {
    const ModelSettings* model = settings->FindModel(body.value("model", ""));
    if (model == nullptr) {
      return Reject(response, 404, "unknown_model", "no such model");
    }
    const std::string prompt = PromptOf(body);
    if (prompt.empty()) {
      return Reject(response, 400, "bad_messages",
                    "messages must be a list of role and content");
    }
    RequestContext context =
        MakeContext(RequestKind::kChat, *workspace, request);
    context.serves = model->name;
    context.order.idempotent = true;
    context.prompt.piece_keys =
        ChainPieceKeys(workspace->id, model->name, prompt, model->piece_bytes);
    context.prompt.prompt_tokens =
        static_cast<uint32_t>(prompt.size() / kBytesPerToken);
    context.prompt.piece_tokens = model->piece_bytes / kBytesPerToken;
    context.order.piece_keys = context.prompt.piece_keys;
    context.order.prompt_tokens = context.prompt.prompt_tokens;
    context.order.piece_tokens =
        static_cast<uint32_t>(context.prompt.piece_tokens);
    context.policy.recompute_weight = model->recompute_weight;
    context.deadline = SteadyNow() + model->deadline;
    Answer(std::move(context), body.value("stream", false), response);
  } catch (const Json::exception& e) {
    Reject(response, 400, "bad_field", e.what());
  }
}

void HttpFront::HandleService(const Request& request, Response& response) {
  const auto settings = sync_.settings();
  const WorkspaceSettings* workspace =
      Authenticate(*settings, request, response);
  if (workspace == nullptr) return;
  const ServiceSettings* service =
      settings->FindService(request.matches[1].str());
  if (service == nullptr) {
    return Reject(response, 404, "unknown_service", "no such service");
  }
  RequestContext context =
      MakeContext(RequestKind::kService, *workspace, request);
  context.serves = service->name;
  context.order.path = request.matches[2];
  context.order.idempotent =
      service->IsIdempotent(request.method, context.order.path);
  context.order.idempotency_key = request.get_header_value("Idempotency-Key");
  if (!context.order.idempotent && context.order.idempotency_key.empty()) {
    return Reject(response, 400, "missing_idempotency_key",
                  "a non-idempotent call needs an Idempotency-Key header");
  }
  if (context.order.idempotent) {
    context.prompt.piece_keys = {
        DigestOf({workspace->id.value, context.order.request_id.value})};
  } else {
    AddClaim(*service, context);
  }
  context.deadline = SteadyNow() + service->deadline;
  Answer(std::move(context), false, response);
}

void HttpFront::Answer(RequestContext context, bool stream,
                       Response& response) {
  if (draining_) {
    return GiveError(response, {OutcomeKind::kNotRun,
                                OutcomeReason::kNoTarget,
                                std::chrono::seconds(1),
                                {}});
  }
  auto in_flight = std::make_shared<InFlight>(in_flight_);
  const RequestKind kind = context.order.kind;
  Tally tally{context.serves, context.order.workspace, SteadyNow(),
              std::nullopt};
  response.set_header("X-Request-Id", context.order.request_id.value);
  auto driver = std::make_shared<RequestDriver>(
      std::move(context), links_, crash_guard_, retry_budget_, settings_);
  DriverStep first = NextWhileConnected(*driver);
  if (std::holds_alternative<std::string>(first)) {
    tally.first_token = SteadyNow() - tally.arrival;
  }
  if (stream && std::holds_alternative<std::string>(first)) {
    return AnswerStreamed(driver, in_flight, tally,
                          std::get<std::string>(std::move(first)), response);
  }
  AnswerWhole(*driver, std::move(first), kind, tally, response);
}

void HttpFront::AnswerStreamed(const std::shared_ptr<RequestDriver>& driver,
                               const std::shared_ptr<InFlight>& in_flight,
                               const Tally& tally, std::string first,
                               Response& response) {
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, driver, in_flight, tally, pending = std::move(first)](
          size_t, httplib::DataSink& sink) mutable {
        std::optional<DriverStep> step;
        if (pending.empty()) {
          step = driver->NextBefore(SteadyNow() + kCallerPoll);
        } else {
          step = std::exchange(pending, "");
        }
        const bool written =
            step ? WriteStep(*driver, tally, *step, sink) : sink.is_writable();
        const bool is_over = step && std::holds_alternative<Outcome>(*step);
        if (!written && !is_over) Count(*driver, tally, driver->Abandon());
        return written;
      });
}

bool HttpFront::WriteStep(const RequestDriver& driver, const Tally& tally,
                          const DriverStep& step, httplib::DataSink& sink) {
  const std::string event =
      std::visit([](const auto& s) { return StreamEvent(s); }, step);
  const bool written = sink.write(event.data(), event.size());
  if (const auto* outcome = std::get_if<Outcome>(&step)) {
    Count(driver, tally, *outcome);
    sink.done();
  }
  return written;
}

void HttpFront::AnswerWhole(RequestDriver& driver, DriverStep first,
                            RequestKind kind, const Tally& tally,
                            Response& response) {
  std::string answer;
  DriverStep step = std::move(first);
  while (const auto* data = std::get_if<std::string>(&step)) {
    answer += *data;
    step = NextWhileConnected(driver);
  }
  const Outcome& outcome = std::get<Outcome>(step);
  Count(driver, tally, outcome);
  if (outcome.kind != OutcomeKind::kComplete) {
    return GiveError(response, outcome);
  }
  GiveWhole(response, outcome, kind, answer);
}

// A caller without a workspace's key has no body read. Before any settings are
// known no key can be judged, and the handler answers not_run.
std::optional<Refusal> HttpFront::CheckAtDoor(const Request& request) const {
  if (!sync_.is_ready()) return std::nullopt;
  if (FindWorkspace(*sync_.settings(), request) != nullptr) return std::nullopt;
  return kUnknownKey;
}

const WorkspaceSettings* HttpFront::Authenticate(
    const SettingsSnapshot& settings, const Request& request,
    Response& response) const {
  if (!sync_.is_ready()) {
    Outcome outcome;
    outcome.kind = OutcomeKind::kNotRun;
    outcome.reason = OutcomeReason::kNoSettings;
    outcome.retry_after = kStartRetryAfter;
    GiveError(response, outcome);
    return nullptr;
  }
  const WorkspaceSettings* workspace = FindWorkspace(settings, request);
  if (workspace == nullptr) {
    Reject(response, kUnknownKey.status, kUnknownKey.code, kUnknownKey.message);
  }
  return workspace;
}

RequestContext HttpFront::MakeContext(RequestKind kind,
                                      const WorkspaceSettings& workspace,
                                      const Request& request) {
  RequestContext context;
  context.vms = sync_.vms();
  context.latest_vms = [this] { return sync_.vms(); };
  context.policy.max_candidates = settings_.max_candidates;
  context.policy.failure_domain = settings_.failure_domain;
  Submit& order = context.order;
  order.request_id = NextRequestId();
  order.kind = kind;
  order.workspace = workspace.id;
  order.priority = workspace.priority;
  order.share = workspace.share;
  order.method = request.method;
  order.path = request.path;
  order.content_type = request.get_header_value("Content-Type");
  order.body = request.body;
  order.digest = DigestOf({request.method, request.path, request.body});
  return context;
}

RequestId HttpFront::NextRequestId() {
  const std::lock_guard lock(random_mutex_);
  return {MakeRandomHex(random_)};
}

void HttpFront::Count(const RequestDriver& driver, const Tally& tally,
                      const Outcome& outcome) {
  const SloSample sample{tally.serves, tally.workspace, driver.target(),
                         outcome.kind, outcome.reason,  tally.first_token};
  stats_.Record(*sync_.settings(), sample, outcome, SteadyNow());
}

}  // namespace dogwoodlatch::router
