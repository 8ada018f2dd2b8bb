#include "http_frontend.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "dogwoodlatch/claim_object.h"
#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/prefix_key.h"
#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/log.h"
#include "http_responses.h"

namespace dogwoodlatch::router {
namespace {

using Json = nlohmann::json;
using httplib::Request;
using httplib::Response;

constexpr std::chrono::seconds kStartupRetryAfter{1};
constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::milliseconds kDrainPollInterval{10};
// Interval of the checks whether the caller has disconnected, made while no
// part of the answer arrives.
constexpr std::chrono::milliseconds kCallerPollInterval{100};
constexpr std::chrono::milliseconds kStartPollInterval{1};
constexpr Rejection kUnknownKey{401, "unknown_workspace_key",
                                "no workspace has this key"};

// Returns the text whose prefixes engines cache, or an empty string if the body
// has no valid messages.
std::string BuildPrompt(const Json& body) {
  std::string prompt;
  for (const Json& message : body.value("messages", Json::array())) {
    if (!message.is_object()) return "";
    prompt += message.value("role", "") + "\n";
    prompt += message.value("content", "") + "\n";
  }
  return prompt;
}

// Returns the workspace that the bearer key belongs to, or null.
const WorkspaceSettings* FindWorkspace(const SettingsSnapshot& settings,
                                       const Request& request) {
  const std::string header = request.get_header_value("Authorization");
  if (!header.starts_with(kBearer)) return nullptr;
  return settings.FindWorkspaceByKey(Sha256Hex(header.substr(kBearer.size())));
}

// Returns the next step. A disconnect of the caller ends an idempotent request;
// any other request runs on, since the caller can fetch its answer by sending
// the same key again.
DriverStep NextWhileConnected(RequestDriver& driver) {
  if (!driver.is_idempotent()) return driver.Next();
  while (true) {
    std::optional<DriverStep> step =
        driver.NextBefore(SteadyNow() + kCallerPollInterval);
    if (step) return std::move(*step);
    if (!CallerServer::IsCallerConnected()) return driver.Abandon();
  }
}

// Sets the claim and the routing key. All calls of one claim log get the same
// routing key at every router.
void SetClaim(const ServiceSettings& service, RequestContext& context) {
  Submit& order = context.order;
  order.claim = {
      service.name, service.claim_logs, service.claim_retention, {}, WallNow()};
  const uint32_t log =
      SelectClaimLog(ComputeClaimKey(order), service.claim_logs);
  context.prompt.piece_keys = {
      ComputeDigest({service.name, std::to_string(log)})};
}

}  // namespace

// Counts a request as in flight for the lifetime of this object, which is kept
// until the response has ended.
class HttpFrontend::InFlightGuard {
 public:
  explicit InFlightGuard(std::atomic<int>& count) : count_(count) { ++count_; }
  ~InFlightGuard() { --count_; }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  std::atomic<int>& count_;
};

// Data of one request that is recorded together with its outcome.
struct HttpFrontend::RequestRecord {
  std::string serves;
  WorkspaceId workspace;
  TimePoint arrival;
  std::optional<Duration> first_token;
};

HttpFrontend::HttpFrontend(const RouterSettings& settings,
                           const PlatformSync& sync, AgentLinks& links,
                           CrashGuard& crash_guard)
    : settings_(settings),
      sync_(sync),
      links_(links),
      crash_guard_(crash_guard),
      retry_budget_(settings.retry_budget),
      server_(settings.caller_limits, [this](const Request& request) {
        return CheckHeaders(request);
      }) {
  server_.set_error_handler(
      [](const Request&, Response& response) { FillErrorBody(response); });
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

HttpFrontend::~HttpFrontend() {
  server_.stop();
  if (thread_.joinable()) thread_.join();
}

bool HttpFrontend::Start() {
  const Address address = ParseAddress(settings_.caller_address);
  if (!server_.bind_to_port(address.host, address.port)) return false;
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  // A stop before the server is running would have no effect.
  while (!server_.is_running()) std::this_thread::sleep_for(kStartPollInterval);
  return true;
}

void HttpFrontend::DrainAndStop() {
  draining_ = true;
  const TimePoint end = SteadyNow() + settings_.drain_timeout;
  while (in_flight_ > 0 && SteadyNow() < end) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  server_.stop();
}

std::string HttpFrontend::Metrics() const {
  std::ostringstream out;
  out << "dogwoodlatch_requests_in_flight " << in_flight_.load() << "\n";
  out << stats_.Metrics(SteadyNow());
  return out.str();
}

void HttpFrontend::HandleChat(const Request& request, Response& response) {
  const auto settings = sync_.settings();
  const WorkspaceSettings* workspace =
      Authenticate(*settings, request, response);
  if (workspace == nullptr) return;
  const Json body = ParseExactJson(request.body);
  if (!body.is_object()) {
    return Reject(response, 400, "bad_json", "the body is not a JSON object");
  }
  // nlohmann::json reports a wrong field type only by an exception.
  try {
    const ModelSettings* model = settings->FindModel(body.value("model", ""));
    if (model == nullptr) {
      return Reject(response, 404, "unknown_model", "no such model");
    }
    const std::string prompt = BuildPrompt(body);
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
    Respond(std::move(context), body.value("stream", false), response);
  } catch (const Json::exception& e) {
    Reject(response, 400, "bad_field", e.what());
  }
}

void HttpFrontend::HandleService(const Request& request, Response& response) {
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
        ComputeDigest({workspace->id.value, context.order.request_id.value})};
  } else {
    SetClaim(*service, context);
  }
  context.deadline = SteadyNow() + service->deadline;
  Respond(std::move(context), false, response);
}

void HttpFrontend::Respond(RequestContext context, bool stream,
                           Response& response) {
  if (draining_) {
    return SetErrorResponse(response, {OutcomeKind::kNotRun,
                                       OutcomeReason::kNoTarget,
                                       std::chrono::seconds(1),
                                       {}});
  }
  auto in_flight = std::make_shared<InFlightGuard>(in_flight_);
  const RequestKind kind = context.order.kind;
  RequestRecord record{context.serves, context.order.workspace, SteadyNow(),
                       std::nullopt};
  response.set_header("X-Request-Id", context.order.request_id.value);
  auto driver = std::make_shared<RequestDriver>(
      std::move(context), links_, crash_guard_, retry_budget_, settings_);
  DriverStep first = NextWhileConnected(*driver);
  if (std::holds_alternative<std::string>(first)) {
    record.first_token = SteadyNow() - record.arrival;
  }
  if (stream && std::holds_alternative<std::string>(first)) {
    return SendStreamedResponse(driver, in_flight, record,
                                std::get<std::string>(std::move(first)),
                                response);
  }
  SendFullResponse(*driver, std::move(first), kind, record, response);
}

void HttpFrontend::SendStreamedResponse(
    const std::shared_ptr<RequestDriver>& driver,
    const std::shared_ptr<InFlightGuard>& in_flight,
    const RequestRecord& record, std::string first, Response& response) {
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, driver, in_flight, record, pending = std::move(first)](
          size_t, httplib::DataSink& sink) mutable {
        std::optional<DriverStep> step;
        if (pending.empty()) {
          step = driver->NextBefore(SteadyNow() + kCallerPollInterval);
        } else {
          step = std::exchange(pending, "");
        }
        const bool written =
            step ? WriteStep(*driver, record, *step, sink) : sink.is_writable();
        const bool is_last = step && std::holds_alternative<Outcome>(*step);
        if (!written && !is_last) RecordEnd(*driver, record, driver->Abandon());
        return written;
      });
}

bool HttpFrontend::WriteStep(const RequestDriver& driver,
                             const RequestRecord& record,
                             const DriverStep& step, httplib::DataSink& sink) {
  const std::string event =
      std::visit([](const auto& s) { return FormatStreamEvent(s); }, step);
  const bool written = sink.write(event.data(), event.size());
  if (const auto* outcome = std::get_if<Outcome>(&step)) {
    RecordEnd(driver, record, *outcome);
    sink.done();
  }
  return written;
}

void HttpFrontend::SendFullResponse(RequestDriver& driver, DriverStep first,
                                    RequestKind kind,
                                    const RequestRecord& record,
                                    Response& response) {
  std::string answer;
  DriverStep step = std::move(first);
  while (const auto* data = std::get_if<std::string>(&step)) {
    answer += *data;
    step = NextWhileConnected(driver);
  }
  const Outcome& outcome = std::get<Outcome>(step);
  RecordEnd(driver, record, outcome);
  if (outcome.kind != OutcomeKind::kComplete) {
    return SetErrorResponse(response, outcome);
  }
  SetCompleteResponse(response, outcome, kind, answer);
}

// Rejects callers without a valid workspace key before their body is read.
// Without settings no key can be checked; the handler then responds with
// not_run.
std::optional<Rejection> HttpFrontend::CheckHeaders(
    const Request& request) const {
  if (!sync_.is_ready()) return std::nullopt;
  if (FindWorkspace(*sync_.settings(), request) != nullptr) return std::nullopt;
  return kUnknownKey;
}

const WorkspaceSettings* HttpFrontend::Authenticate(
    const SettingsSnapshot& settings, const Request& request,
    Response& response) const {
  if (!sync_.is_ready()) {
    Outcome outcome;
    outcome.kind = OutcomeKind::kNotRun;
    outcome.reason = OutcomeReason::kNoSettings;
    outcome.retry_after = kStartupRetryAfter;
    SetErrorResponse(response, outcome);
    return nullptr;
  }
  const WorkspaceSettings* workspace = FindWorkspace(settings, request);
  if (workspace == nullptr) {
    Reject(response, kUnknownKey.status, kUnknownKey.code, kUnknownKey.message);
  }
  return workspace;
}

RequestContext HttpFrontend::MakeContext(RequestKind kind,
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
  order.digest = ComputeDigest({request.method, request.path, request.body});
  return context;
}

RequestId HttpFrontend::NextRequestId() {
  const std::lock_guard lock(random_mutex_);
  return {MakeRandomHex(random_)};
}

void HttpFrontend::RecordEnd(const RequestDriver& driver,
                             const RequestRecord& record,
                             const Outcome& outcome) {
  const SloSample sample{record.serves, record.workspace, driver.target(),
                         outcome.kind,  outcome.reason,   record.first_token};
  stats_.Record(*sync_.settings(), sample, outcome, SteadyNow());
}

}  // namespace dogwoodlatch::router
