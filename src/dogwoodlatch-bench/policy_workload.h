// Request traces in the shapes of both deployments: prompts nested in levels,
// with skewed hot prefixes that shift.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::bench {

// One level of nesting under the workspace's instructions.
struct PromptLevel {
  uint32_t pieces = 0;
  uint32_t fanout = 0;       // children of each parent
  double zipf_exponent = 0;  // skew of their popularity
};

struct Deployment {
  std::string_view name;
  std::vector<PromptLevel> levels;  // from the root down
  uint32_t leaf_pieces = 0;         // the device log or the member's notes
  uint32_t requests_per_leaf = 0;   // how often one leaf is asked in a row
  uint32_t tail_tokens = 0;         // after the last whole piece
  double recompute_weight = 0;
  size_t failure_domains = 0;
  double requests_per_second = 0;  // at capacity of the omniscient policy
};

struct TraceOptions {
  double load = 1;             // against the deployment's rate at capacity
  Duration shift_interval{0};  // zero: hot prefixes stay
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
