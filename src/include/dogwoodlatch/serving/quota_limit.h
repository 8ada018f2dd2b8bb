/// How much a workspace may use over all routers together.
#pragma once

#include <cstdint>

#include "dogwoodlatch/serving/prompt.h"

namespace dogwoodlatch::serving {

/// What a quota counts.
enum class QuotaUnit { kRequests, kTokens };

/// Limit of one workspace, as configured.
struct QuotaLimit {
  int64_t rate_per_s = 0;
  int64_t burst = 0;
  QuotaUnit unit = QuotaUnit::kRequests;
  int64_t plain_tokens = 0;  ///< cost of a request without a token count

  bool operator==(const QuotaLimit&) const = default;

  /// What a request with this prompt costs: its input tokens and the most
  /// output tokens that it allows, or one request.
  int64_t Cost(const Prompt& prompt) const {
    if (unit == QuotaUnit::kRequests) return 1;
    if (!prompt.has_token_count) return plain_tokens;
    return int64_t{prompt.input_tokens} + prompt.max_output_tokens;
  }
};

}  // namespace dogwoodlatch::serving
