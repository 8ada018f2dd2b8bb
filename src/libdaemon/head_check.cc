#include "dogwoodlatch/daemon/head_check.h"

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/serving/access_check.h"
#include "platform/requests.h"

namespace dogwoodlatch::daemon {

using dataplane::HeadVerdict;
using serving::AccessVerdict;

HeadVerdict CheckHead(const ExchangeContext& context,
                      const dataplane::Request& head) {
  const auto configuration = context.view.configuration();
  const platform::RequestMetadata metadata =
      platform::DecodeRequest(head.headers);
  const serving::AccessDecision decision =
      serving::CheckAccess(configuration.get(), context.view.freshness(),
                           {.id = metadata.id,
                            .host = dataplane::FindHeader(head.headers, "host"),
                            .path = head.path(),
                            .key = metadata.key},
                           context.max_configuration_age, BootNow());
  if (decision.verdict != AccessVerdict::kAllowed) return HeadVerdict::kDenied;
  return decision.workspace != nullptr ? HeadVerdict::kValidKey
                                       : HeadVerdict::kPublic;
}

}  // namespace dogwoodlatch::daemon
