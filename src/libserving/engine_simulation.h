// Simulates routers and model engines in virtual time for tests of placement.
// Routers hear of each other's sends only by their updates.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/admission.h"
#include "dogwoodlatch/serving/placement.h"
#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline Duration FromMs(double ms) {
  return Duration(static_cast<int64_t>(ms * 1000));
}

struct EngineSpeed {
  double tokens_per_ms = 157;
  double chunk = 2048;
  double step_ms = 3.55;
  double slowness = 1;
};

// Prefill of this many tokens takes as long as that of a million token pairs.
constexpr double kTokensPerMillionPairs = 17.1;

// A class of requests.
struct Class {
  double rate = 0;  ///< requests a second, at all routers
  uint32_t input_tokens = 0;
  uint32_t own_tokens = 0;  ///< that no other request shares
  Duration objective{0};
  int priority = 5;
  double hot_share = 0;  ///< of the requests, on one subject
};

struct Tally {
  int requests = 0;
  int refused = 0;
  int late = 0;
};

// Prefills in chunks, first come, first served within a priority.
class Engine {
 public:
  struct Waiting {
    int priority = 0;
    uint64_t request = 0;
    double tokens = 0;
    double read = 0;  ///< tokens before them
  };

  EngineSpeed speed;

  void Add(const Waiting& waiting, TimePoint now) {
    if (queue_.empty()) free_at_ = std::max(free_at_, now);
    queue_.push_back(waiting);
  }

  // The requests whose prefill is complete by then, with the time of that.
  std::vector<std::pair<uint64_t, TimePoint>> Advance(TimePoint until) {
    std::vector<std::pair<uint64_t, TimePoint>> complete;
    while (!queue_.empty() && free_at_ <= until) {
      const auto next =
          std::ranges::min_element(queue_, {}, [](const Waiting& waiting) {
            return std::pair(waiting.priority, waiting.request);
          });
      const double tokens = std::min(next->tokens, speed.chunk);
      const double pairs = tokens * (next->read + tokens / 2) / 1e6;
      free_at_ += FromMs(
          ((tokens + kTokensPerMillionPairs * pairs) / speed.tokens_per_ms +
           speed.step_ms) *
          speed.slowness);
      next->tokens -= tokens;
      next->read += tokens;
      if (next->tokens > 0) continue;
      complete.emplace_back(next->request, free_at_);
      queue_.erase(next);
    }
    return complete;
  }

 private:
  std::vector<Waiting> queue_;
  TimePoint free_at_{};
};

class Service {
 public:
  Service(size_t routers, size_t targets, const EngineSpeed& speed,
          std::vector<Class> classes)
      : classes_(std::move(classes)), routers_(routers) {
    for (size_t i = 0; i < targets; ++i) {
      TargetRecord record;
      record.id = "t" + std::to_string(i);
      record.service = "m";
      record.failure_domain = "a";
      record.weights["m"] = 1;
      record.slots = 64;
      for (Router& router : routers_) router.fleet.Upsert(record, now_);
      engines[record.id].speed = speed;
    }
    for (const Class& entry : classes_) next_.push_back(Draw(entry));
    tallies.resize(classes_.size());
  }

  std::map<std::string, Engine> engines;
  std::vector<Tally> tallies;            ///< by class
  std::map<std::string, Duration> work;  ///< sent, by target
  std::map<std::string, int> hot;        ///< requests on the hot subject

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      const auto next = std::ranges::min_element(next_);
      const TimePoint at = std::min({*next, next_update_, end});
      Advance(at);
      now_ = at;
      if (at == next_update_) {
        ShareUpdates();
        next_update_ += milliseconds(50);
      } else if (at == *next) {
        const auto index = static_cast<size_t>(next - next_.begin());
        Send(index);
        *next = Draw(classes_[index]);
      }
    }
  }

  void Clear() {
    tallies.assign(classes_.size(), {});
    work.clear();
    hot.clear();
  }

  Class& class_at(size_t index) { return classes_[index]; }
  Fleet& fleet(size_t router = 0) { return routers_[router].fleet; }
  const EngineProfile& profile(size_t router = 0) {
    return fleet(router).engines().at("m")->profile();
  }
  TimePoint now() const { return now_; }

 private:
  struct Router {
    Fleet fleet;
    PlacementPolicy policy{"a"};
    RequestMix mix;
    std::map<std::string, std::vector<uint64_t>> sent_parts;
    std::map<std::string, Duration> published;
  };
  struct Pending {
    Router* router = nullptr;
    size_t index = 0;  ///< of the class
    TimePoint sent_at{};
    Placement placement;
  };

  TimePoint Draw(const Class& entry) {
    if (entry.rate <= 0) return TimePoint::max();
    return now_ + Duration(static_cast<int64_t>(std::exponential_distribution(
                      entry.rate / 1e6)(random_)));
  }

  void Send(size_t index) {
    const Class& entry = classes_[index];
    Router& router = routers_[std::uniform_int_distribution<size_t>(
        0, routers_.size() - 1)(random_)];
    const bool is_hot = std::bernoulli_distribution(entry.hot_share)(random_);
    const uint64_t subject =
        is_hot ? 1 : std::uniform_int_distribution<uint64_t>(10, 200)(random_);
    const uint32_t shared = entry.input_tokens - entry.own_tokens;
    const uint64_t id = ++requests_;
    const Prompt prompt{.model = "m",
                        .input_tokens = entry.input_tokens,
                        .max_output_tokens = 64,
                        .parts = {{1000 + index, 500},
                                  {2000 + 1000 * index + subject, shared - 500},
                                  {1000000 + id, entry.own_tokens}}};
    auto placement =
        router.policy.Choose(router.fleet.Serving("m", now_),
                             {.prompt = &prompt,
                              .max_queue_wait = MaxQueueWait(entry.objective),
                              .priority = entry.priority,
                              .mix = &router.mix},
                             now_);
    ++tallies[index].requests;
    if (placement) {
      router.mix.OnRequest(entry.priority, *MaxQueueWait(entry.objective),
                           placement->prefill, now_);
    }
    if (!placement ||
        RetryAfterIfTooLate({.objective = entry.objective,
                             .time_left = seconds(3),
                             .backlog = placement->backlog,
                             .prefill = placement->prefill,
                             .max_backlog = placement->max_backlog})) {
      ++tallies[index].refused;
      return;
    }
    const std::string target = placement->target->record.id;
    work[target] += placement->work;
    if (is_hot) ++hot[target];
    placement->target->signals.OnSent(now_, placement->work, entry.priority);
    for (uint64_t part : SharedPartKeys(prompt, placement->cache_group)) {
      placement->target->signals.OnPartUsed(part, now_);
      router.sent_parts[target].push_back(part);
    }
    engines[target].Add(
        {entry.priority, id, static_cast<double>(placement->missing_tokens),
         static_cast<double>(entry.input_tokens - placement->missing_tokens)},
        now_);
    pending_[id] = {&router, index, now_, *std::move(placement)};
  }

  // Delivers the first events that have come by then.
  void Advance(TimePoint until) {
    for (auto& [id, engine] : engines) {
      for (const auto& [request, at] : engine.Advance(until)) {
        first_events_.emplace(at + milliseconds(26), request);
      }
    }
    while (!first_events_.empty() && first_events_.begin()->first <= until) {
      const auto [at, request] = *first_events_.begin();
      first_events_.erase(first_events_.begin());
      const auto node = pending_.extract(request);
      const Pending& pending = node.mapped();
      if (at - pending.sent_at > classes_[pending.index].objective) {
        ++tallies[pending.index].late;
      }
      const Placement& placement = pending.placement;
      TargetSignals& signals = placement.target->signals;
      signals.OnFirstEvent(placement.work, placement.priority);
      signals.OnEnded();
      signals.engine().OnFirstEvent({.work = placement.work,
                                     .tokens = placement.missing_tokens,
                                     .work_ahead = placement.work_ahead,
                                     .is_wait_known = placement.is_wait_known,
                                     .time = at - pending.sent_at},
                                    at);
    }
  }

  void ShareUpdates() {
    for (size_t i = 0; i < routers_.size(); ++i) {
      Router& sender = routers_[i];
      auto parts = std::exchange(sender.sent_parts, {});
      for (const auto& [id, target] : sender.fleet.targets()) {
        const Duration backlog = target->signals.own_backlog();
        const PriorityBacklog& by_priority =
            target->signals.own_backlog_by_priority();
        const auto samples = target->signals.engine().TakeSamples();
        Duration& published = sender.published[id];
        if (backlog + published == Duration{0} && samples.empty()) continue;
        published = backlog;
        for (Router& receiver : routers_) {
          if (&receiver == &sender) continue;
          TargetSignals& signals = receiver.fleet.Find(id)->signals;
          signals.OnPeerBacklog(i, by_priority, now_);
          for (uint64_t part : parts[id]) signals.OnPartUsed(part, now_);
          for (const SlownessSample sample : samples) {
            signals.engine().OnPeerSample(sample, now_);
          }
        }
      }
    }
  }

  std::minstd_rand random_{20261206};
  std::vector<Class> classes_;
  std::vector<Router> routers_;
  TimePoint now_ = At(1000);
  TimePoint next_update_ = At(1050);
  std::vector<TimePoint> next_;  ///< arrivals, by class
  uint64_t requests_ = 0;
  std::map<uint64_t, Pending> pending_;
  std::multimap<TimePoint, uint64_t> first_events_;
};

}  // namespace dogwoodlatch::serving::simulation
