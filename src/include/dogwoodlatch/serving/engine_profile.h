/// What is known of the speed of a service's engines.
#pragma once

#include <cstdint>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Speed of one engine. The default is the initial estimate: the only place
/// with figures of a particular engine.
///
/// Amounts of prefill work are stated as the time that the engine of the
/// initial estimate would need, so that they mean the same at all routers,
/// whatever each has learned. An engine needs `slowness` times as long.
struct EngineProfile {
  double slowness = 1.0;
  /// Mean number of prompt tokens that are prefilled between two decode steps.
  double tokens_per_step = 2048;
  /// Time of a decode step: a fixed part and one for each running request.
  double step_ms = 3.55;
  double step_ms_per_request = 0.0462;
  /// From a request's arrival to its first event, besides wait and prefill.
  double overhead_ms = 26.0;
  /// Run time of a request with a long prompt: some 55 tokens of 20 to 30 ms
  /// each under load. Within it a target with full memory frees all of it.
  double run_ms = 1500.0;
  /// Mean run time of a plain request.
  double plain_ms = 15.0;

  /// Prefill rate without the decode steps in between.
  double PrefillTokensPerMs() const;

  /// Rate at which a busy engine fills its cache.
  double CacheFillTokensPerMs() const;

  /// Time that the engine needs for an amount of work.
  double TimeMs(double work_ms) const { return work_ms * slowness; }

  bool operator==(const EngineProfile&) const = default;
};

/// Work of prefilling `missing` of `prompt_tokens` tokens while `running`
/// requests decode.
double PrefillWorkMs(uint32_t missing, uint32_t prompt_tokens, int running);

/// Work of one chunk of a prompt, which an engine completes once it has begun.
Duration ChunkWork();

/// Mean work of a prompt whose shared parts are cached.
double TypicalPrefillWorkMs();

/// Mean number of these tokens that are prefilled between two decode steps.
double TokensPerStep(uint32_t missing);

/// Tokens whose prefill is this amount of work.
double TokensOfWork(double work_ms);

}  // namespace dogwoodlatch::serving
