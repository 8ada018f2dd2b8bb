#include "policy_workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>

#include "dogwoodlatch/prefix_key.h"

namespace dogwoodlatch::bench {
namespace {

// Relative request rates: one large workspace and seven smaller ones.
constexpr std::array<double, kWorkspaceCount> kWorkspaceRates = {6, 2, 1, 1,
                                                                 1, 1, 1, 1};
// Ranks by which the popularity of children moves at each shift.
constexpr uint64_t kShiftStride = 3;

PieceKey ChildKey(PieceKey parent, uint64_t child) {
  return ComputeDigest({std::to_string(parent), std::to_string(child)});
}

std::discrete_distribution<uint32_t> Zipf(const PromptLevel& level) {
  std::vector<double> weights(level.fanout);
  for (uint32_t i = 0; i < level.fanout; ++i) {
    weights[i] = 1 / std::pow(i + 1, level.zipf_exponent);
  }
  return {weights.begin(), weights.end()};
}

class TraceGenerator {
 public:
  TraceGenerator(const Deployment& deployment, const TraceOptions& options)
      : deployment_(deployment), options_(options), random_(options.seed) {
    for (const PromptLevel& level : deployment.levels) {
      children_.push_back(Zipf(level));
    }
  }

  std::vector<SimRequest> Make(size_t routers) {
    std::vector<SimRequest> trace;
    std::exponential_distribution<double> gap(
        deployment_.requests_per_second * options_.load /
        static_cast<double>(Duration::period::den));
    std::uniform_int_distribution<size_t> router(0, routers - 1);
    TimePoint now{};
    while (true) {
      now += Duration(static_cast<int64_t>(gap(random_)));
      if (now.time_since_epoch() >= options_.length) return trace;
      SimRequest request = MakeRequest(now);
      request.id = trace.size();
      request.router = router(random_);
      trace.push_back(std::move(request));
    }
  }

 private:
  SimRequest MakeRequest(TimePoint now) {
    SimRequest request;
    request.arrival = now;
    request.workspace = workspace_(random_);
    PieceKey node = ChildKey(0, request.workspace);
    for (size_t i = 0; i < children_.size(); ++i) {
      const uint64_t child =
          (children_[i](random_) + Shift(now)) % deployment_.levels[i].fanout;
      node = ChildKey(node, child);
      Append(node, deployment_.levels[i].pieces, request);
    }
    const uint64_t leaf =
        request_counts_[node]++ / std::max(1U, deployment_.requests_per_leaf);
    Append(ChildKey(node, leaf), deployment_.leaf_pieces, request);
    request.prompt_tokens =
        static_cast<uint32_t>(request.pieces.size()) * kPieceTokens +
        deployment_.tail_tokens;
    return request;
  }

  // Returns by how many children the popularity ranking has moved since the
  // start; the same number applies on every level.
  uint64_t Shift(TimePoint now) const {
    if (options_.shift_interval.count() == 0) return 0;
    return static_cast<uint64_t>(now.time_since_epoch() /
                                 options_.shift_interval) *
           kShiftStride;
  }

  static void Append(PieceKey node, uint32_t count, SimRequest& request) {
    for (uint32_t i = 0; i < count; ++i) {
      request.pieces.push_back(ChildKey(node ^ 1, i));
    }
  }

  const Deployment& deployment_;
  const TraceOptions& options_;
  std::mt19937_64 random_;
  std::vector<std::discrete_distribution<uint32_t>> children_;
  std::discrete_distribution<size_t> workspace_{kWorkspaceRates.begin(),
                                                kWorkspaceRates.end()};
  std::map<PieceKey, uint64_t> request_counts_;
};

}  // namespace

const std::vector<Deployment>& Deployments() {
  // Levels of "imaging": instructions, build template, district template, then
  // the device log as the leaf. Levels of "menus": instructions, weekly menu
  // frame, group of members, then the member's notes as the leaf.
  static const std::vector<Deployment> deployments = {
      {"imaging",
       {{2, 1, 0}, {6, 4, 1.2}, {4, 12, 1.0}},
       3,
       3,
       1000,
       2.0,
       4,
       24},
      {"menus", {{1, 1, 0}, {4, 6, 1.5}, {1, 20, 0.8}}, 1, 2, 500, 0.5, 3, 65},
  };
  return deployments;
}

std::vector<SimRequest> GenerateTrace(const Deployment& deployment,
                                      const TraceOptions& options,
                                      size_t routers) {
  return TraceGenerator(deployment, options).Make(routers);
}

}  // namespace dogwoodlatch::bench
