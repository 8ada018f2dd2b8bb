/// Description of a request's prompt.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodlatch::serving {

/// One part of a prompt. Requests that share a part send the same id.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct Prompt {
  std::string model;
  uint32_t input_tokens = 0;
  uint32_t max_output_tokens = 0;
  bool has_token_count = false;  ///< the request states how many tokens it has
  /// Caller's estimate of the output, accurate at the median; 0 if unknown.
  uint32_t length_hint = 0;
  std::vector<PromptPart> parts{};  ///< in order; the last one is not shared
};

/// Output tokens for which memory is kept free. The hint is often far off, so
/// it counts twice, up to the bound.
inline uint32_t ExpectedOutput(const Prompt& prompt) {
  if (prompt.length_hint == 0) return prompt.max_output_tokens;
  const uint64_t expected = 2 * uint64_t{prompt.length_hint};
  return static_cast<uint32_t>(
      std::min<uint64_t>(expected, prompt.max_output_tokens));
}

}  // namespace dogwoodlatch::serving
