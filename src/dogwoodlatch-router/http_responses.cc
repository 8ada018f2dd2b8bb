#include "http_responses.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dogwoodlatch::router {
namespace {

using Json = nlohmann::json;

constexpr const char* kJsonType = "application/json";
constexpr const char* kOutcomeHeader = "X-Dogwoodlatch-Outcome";

Json MakeErrorJson(std::string_view type, std::string_view code,
                   std::string_view message) {
  return {{"error", {{"type", type}, {"code", code}, {"message", message}}}};
}

int HttpStatusFor(const Outcome& outcome) {
  switch (outcome.kind) {
    case OutcomeKind::kComplete:
      return 200;
    case OutcomeKind::kNotRun:
      return outcome.reason == OutcomeReason::kDeadline ? 504 : 503;
    case OutcomeKind::kUnknown:
      return 502;
    case OutcomeKind::kRejected:
      return outcome.reason == OutcomeReason::kKeyReused ? 409 : 422;
  }
  return 500;
}

std::string_view ErrorMessageFor(const Outcome& outcome) {
  if (outcome.kind == OutcomeKind::kUnknown && outcome.may_resend) {
    return "the request may have run in part; it is idempotent and may be sent "
           "again";
  }
  switch (outcome.kind) {
    case OutcomeKind::kNotRun:
      return "the request was not run; it may be sent again";
    case OutcomeKind::kUnknown:
      return "the request may or may not have run; check before sending a new "
             "one";
    case OutcomeKind::kRejected:
      return "the request is refused and would be refused again";
    case OutcomeKind::kComplete:
      return "";
  }
  return "";
}

void SetRetryAfter(httplib::Response& response, Duration retry_after) {
  if (retry_after <= Duration(0)) return;
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  response.set_header("Retry-After", std::to_string(seconds.count()));
}

Json MakeChatJson(const Finished& answer, const std::string& text) {
  const Json usage = {
      {"prompt_tokens", answer.prompt_tokens},
      {"completion_tokens", answer.output_tokens},
      {"prompt_tokens_details", {{"cached_tokens", answer.cached_tokens}}}};
  const Json message = {{"role", "assistant"}, {"content", text}};
  return {
      {"object", "chat.completion"},
      {"choices",
       Json::array(
           {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}})},
      {"usage", usage}};
}

}  // namespace

void Reject(httplib::Response& response, int status, std::string_view code,
            std::string_view message) {
  response.status = status;
  response.set_header(kOutcomeHeader, "rejected");
  response.set_content(MakeErrorJson("rejected", code, message).dump(),
                       kJsonType);
}

void SetErrorResponse(httplib::Response& response, const Outcome& outcome) {
  response.status = HttpStatusFor(outcome);
  response.set_header(kOutcomeHeader, std::string(ToString(outcome.kind)));
  SetRetryAfter(response, outcome.retry_after);
  response.set_content(
      MakeErrorJson(ToString(outcome.kind), ToString(outcome.reason),
                    ErrorMessageFor(outcome))
          .dump(),
      kJsonType);
}

void SetCompleteResponse(httplib::Response& response, const Outcome& outcome,
                         RequestKind kind, const std::string& answer) {
  response.status = outcome.answer.status;
  response.set_header(kOutcomeHeader, "complete");
  if (kind == RequestKind::kChat) {
    response.set_content(MakeChatJson(outcome.answer, answer).dump(),
                         kJsonType);
  } else {
    response.set_content(answer, outcome.answer.content_type);
  }
}

std::string FormatStreamEvent(const std::string& text) {
  const Json choice = {{"index", 0}, {"delta", {{"content", text}}}};
  return "data: " +
         Json({{"object", "chat.completion.chunk"},
               {"choices", Json::array({choice})}})
             .dump() +
         "\n\n";
}

std::string FormatStreamEvent(const Outcome& outcome) {
  if (outcome.kind != OutcomeKind::kComplete) {
    Json error = MakeErrorJson(ToString(outcome.kind), ToString(outcome.reason),
                               ErrorMessageFor(outcome));
    // The headers have already been sent, so the retry delay is part of the
    // event instead of Retry-After.
    error["error"]["retry_after_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            outcome.retry_after)
            .count();
    return "event: error\ndata: " + error.dump() + "\n\n";
  }
  Json last = MakeChatJson(outcome.answer, "");
  last["object"] = "chat.completion.chunk";
  last["choices"] = Json::array(
      {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}}});
  return "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

void FillErrorBody(httplib::Response& response) {
  if (!response.body.empty()) return;
  const int status = response.status;
  const std::string_view code = status == 413   ? "body_too_large"
                                : status == 404 ? "unknown_path"
                                                : "bad_request";
  Reject(response, status, code, "the request cannot be taken");
}

}  // namespace dogwoodlatch::router
