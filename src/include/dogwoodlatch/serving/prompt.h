/// What a request says of its prompt.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodlatch::serving {

/// One part of a prompt; requests that share a part share its id.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

struct Prompt {
  std::string model;
  uint32_t input_tokens = 0;
  uint32_t max_output_tokens = 0;
  std::vector<PromptPart> parts{};  ///< in order; the last is the request's own
};

}  // namespace dogwoodlatch::serving
