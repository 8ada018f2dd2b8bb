// The forms in which callers get answers and errors.
#pragma once

#include <httplib.h>

#include <string>
#include <string_view>

#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/request_lifecycle.h"

namespace dogwoodlatch::router {

// A request refused for what it is.
void Reject(httplib::Response& response, int status, std::string_view code,
            std::string_view message);

// A final outcome other than complete, before any part of the answer was sent.
void GiveError(httplib::Response& response, const Outcome& outcome);

// A whole answer.
void GiveWhole(httplib::Response& response, const Outcome& outcome,
               RequestKind kind, const std::string& answer);

// One server-sent event: a part of the answer, or its end.
std::string StreamEvent(const std::string& text);
std::string StreamEvent(const Outcome& outcome);

// Gives an error that the HTTP library found by itself the same form as all
// others.
void DescribeBareError(httplib::Response& response);

}  // namespace dogwoodlatch::router
