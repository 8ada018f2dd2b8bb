/// Judges the head of a request before its body is read.
#pragma once

#include "dogwoodlatch/daemon/exchange.h"
#include "dogwoodlatch/dataplane/http_server_session.h"

namespace dogwoodlatch::daemon {

/// Returns kDenied if an exchange would refuse the request because of its
/// route, its key, or the age of the configuration.
dataplane::HeadVerdict CheckHead(const ExchangeContext& context,
                                 const dataplane::Request& head);

}  // namespace dogwoodlatch::daemon
