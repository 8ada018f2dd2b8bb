#include "dogwoodlatch/serving/engine_profile.h"

#include <algorithm>
#include <cmath>

namespace dogwoodlatch::serving {
namespace {

// The engine of the initial estimate: prefill rate, additional time per million
// token pairs and size of a chunk, as given in the first deployments'
// descriptions. Its decode step is the default of EngineProfile.
constexpr double kTokensPerMs = 157.0;
constexpr double kMsPerMillionTokenPairs = 0.109;
constexpr double kChunkTokens = 2048;

// Prefill rate of that engine when busy, with decode steps in between. It
// caches all of these tokens.
constexpr double kCacheFillTokensPerMs = 109.0;

constexpr double kTypicalPrefillMs = 20.0;

// Keeps the rate finite while the estimates of slowness and step time do not
// fit each other.
constexpr double kMinChunkMs = 0.5;

}  // namespace

// A chunk of a prompt takes its prefill and one decode step.
double EngineProfile::PrefillTokensPerMs() const {
  const double work_ms =
      tokens_per_step / kTokensPerMs + EngineProfile{}.step_ms;
  return tokens_per_step / std::max(kMinChunkMs, TimeMs(work_ms) - step_ms);
}

double EngineProfile::CacheFillTokensPerMs() const {
  return kCacheFillTokensPerMs / slowness;
}

// The engine prefills a prompt in chunks and runs a decode step for all running
// requests between two chunks.
double PrefillWorkMs(uint32_t missing, uint32_t prompt_tokens, int running) {
  constexpr EngineProfile kInitial;
  const double tokens = missing;
  const double pairs = tokens * (prompt_tokens - tokens / 2) / 1e6;
  const double steps = std::ceil(tokens / kChunkTokens);
  return tokens / kTokensPerMs + pairs * kMsPerMillionTokenPairs +
         steps * (kInitial.step_ms + kInitial.step_ms_per_request * running);
}

Duration ChunkWork() {
  constexpr double kMs = kChunkTokens / kTokensPerMs + EngineProfile{}.step_ms;
  return Duration(static_cast<int64_t>(kMs * 1000));
}

double TypicalPrefillWorkMs() { return kTypicalPrefillMs; }

double TokensPerStep(uint32_t missing) {
  const double tokens = missing;
  return tokens / std::max(1.0, std::ceil(tokens / kChunkTokens));
}

double TokensOfWork(double work_ms) { return work_ms * kTokensPerMs; }

}  // namespace dogwoodlatch::serving
