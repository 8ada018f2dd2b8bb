// Generates request traces that model two deployments. Prompts share prefixes
// on nested levels; the popularity of prefixes is skewed and can change over
// time.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::bench {

// One level of the tree of shared prompt prefixes.
struct PromptLevel {
  uint32_t pieces = 0;
  uint32_t fanout = 0;       // children of each parent
  double zipf_exponent = 0;  // skew of the children's popularity
};

struct Deployment {
  std::string_view name;
  std::vector<PromptLevel> levels;  // from the root down
  uint32_t leaf_pieces = 0;         // the device log or the member's notes
  uint32_t requests_per_leaf = 0;   // successive requests for the same leaf
  uint32_t tail_tokens = 0;         // after the last complete piece
  double recompute_weight = 0;
  size_t failure_domains = 0;
  double requests_per_second = 0;  // the omniscient policy's capacity
};

struct TraceOptions {
  double load = 1;             // relative to the deployment's rate at capacity
  Duration shift_interval{0};  // 0: popularity never shifts
  Duration length{0};
  uint64_t seed = 0;
};

struct SimRequest {
  uint64_t id = 0;
  TimePoint arrival{};
  size_t workspace = 0;
  size_t router = 0;
  std::vector<PieceKey> pieces;
  uint32_t prompt_tokens = 0;
};

inline constexpr size_t kWorkspaceCount = 8;
inline constexpr uint32_t kPieceTokens = 2048;

const std::vector<Deployment>& Deployments();

std::vector<SimRequest> GenerateTrace(const Deployment& deployment,
                                      const TraceOptions& options,
                                      size_t routers);

}  // namespace dogwoodlatch::bench
