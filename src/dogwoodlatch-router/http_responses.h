// Builds the HTTP responses that callers receive.
#pragma once

#include <httplib.h>

#include <string>
#include <string_view>

#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/request_lifecycle.h"

namespace dogwoodlatch::router {

// Sets an error response with outcome "rejected".
void Reject(httplib::Response& response, int status, std::string_view code,
            std::string_view message);

// Sets the error response for an outcome other than complete. Only valid before
// any part of the answer has been sent.
void SetErrorResponse(httplib::Response& response, const Outcome& outcome);

// Sets the response of a request that has completed.
void SetCompleteResponse(httplib::Response& response, const Outcome& outcome,
                         RequestKind kind, const std::string& answer);

// Formats one server-sent event: a part of the answer, or the final outcome.
std::string FormatStreamEvent(const std::string& text);
std::string FormatStreamEvent(const Outcome& outcome);

// Adds the JSON error body to an error response that the HTTP library generated
// without one.
void FillErrorBody(httplib::Response& response);

}  // namespace dogwoodlatch::router
