#include "dogwoodlatch/admission_queue.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

// Catch must come first.
#include <rapidcheck/catch.h>

namespace dogwoodlatch {
namespace {

constexpr uint64_t kRate = 10000;
constexpr uint64_t kMaxWork = 4000;
constexpr TimePoint kFarDeadline{std::chrono::hours(1)};

QueuedWork MakeWork(int id, int workspace, uint64_t tokens) {
  return {{std::to_string(id)}, {std::to_string(workspace)}, 1, 0, tokens,
          kFarDeadline};
}

std::optional<QueuedWork> TakeWork(AdmissionQueue& queue) {
  const std::optional<DequeuedWork> taken = queue.Take({}, kRate);
  if (!taken || taken->shed) return std::nullopt;
  return taken->work;
}

// Workspace 0 queues far more requests than the others, and every workspace
// stays backlogged. Each must get at least 0.9 of an equal share of the
// dispatched tokens.
void CheckFairShares(bool merge_workspaces) {
  AdmissionQueue queue(
      {.max_queued_tokens = 100000000, .max_engine_tokens = kMaxWork});
  const int workspaces = *rc::gen::inRange(2, 9);
  std::map<std::string, int> owner;
  int id = 0;
  for (int workspace = 0; workspace < workspaces; ++workspace) {
    const int count = workspace == 0 ? 1000 : 300;
    for (int i = 0; i < count; ++i) {
      const auto tokens = *rc::gen::inRange<uint64_t>(1, kMaxWork);
      owner[std::to_string(++id)] = workspace;
      // The broken variant queues all requests under one workspace.
      const int queued_as = merge_workspaces ? 0 : workspace;
      RC_ASSERT(!queue.Offer(MakeWork(id, queued_as, tokens), {}, kRate));
    }
  }
  std::vector<double> taken(static_cast<size_t>(workspaces));
  double total = 0;
  for (int i = 0; i < 200 * workspaces; ++i) {
    const std::optional<QueuedWork> work = TakeWork(queue);
    RC_ASSERT(work.has_value());
    taken[static_cast<size_t>(owner[work->id.value])] +=
        static_cast<double>(work->tokens);
    total += static_cast<double>(work->tokens);
    queue.OnEnded(work->id);
  }
  const double fair = total / workspaces;
  RC_ASSERT(*std::ranges::min_element(taken) >= 0.9 * fair);
}

}  // namespace

TEST_CASE("workspaces get fair shares of a busy engine") {
  rc::prop("shares", [] { CheckFairShares(false); });
}

TEST_CASE(
    "the fairness check fails for a queue that serves in order of arrival") {
  CHECK_FALSE(rc::check("broken variant", [] { CheckFairShares(true); }));
}

TEST_CASE("the queue keeps its bound, loses no request and starves none") {
  rc::prop("against a reference model", [] {
    constexpr uint64_t kBound = 20000;
    AdmissionQueue queue(
        {.max_queued_tokens = kBound, .max_engine_tokens = kMaxWork});
    std::map<std::string, uint64_t> waiting;
    std::map<std::string, uint64_t> running;
    const auto sum = [](const auto& works) {
      uint64_t tokens = 0;
      for (const auto& [id, cost] : works) tokens += cost;
      return tokens;
    };
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 10));
    int id = 0;
    for (const int step : steps) {
      if (step < 5) {
        QueuedWork work =
            MakeWork(++id, step, *rc::gen::inRange<uint64_t>(1, kMaxWork));
        work.priority = step % 2;
        if (!queue.Offer(work, {}, kRate)) {
          waiting[work.id.value] = work.tokens;
        } else {
          RC_ASSERT(sum(waiting) + work.tokens > kBound);
        }
      } else if (step < 8) {
        const bool has_room = sum(running) < kMaxWork;
        const std::optional<QueuedWork> work = TakeWork(queue);
        RC_ASSERT(work.has_value() == (has_room && !waiting.empty()));
        if (!work) continue;
        RC_ASSERT(waiting.erase(work->id.value) == 1);
        running[work->id.value] = work->tokens;
      } else if (!running.empty()) {
        queue.OnEnded({running.begin()->first});
        running.erase(running.begin());
      }
      RC_ASSERT(queue.queued_tokens() == sum(waiting));
      RC_ASSERT(queue.engine_tokens() == sum(running));
      RC_ASSERT(queue.queued_tokens() <= kBound);
    }
    // Without new arrivals every queued request is dispatched eventually.
    while (!queue.empty()) {
      while (!running.empty()) {
        queue.OnEnded({running.begin()->first});
        running.erase(running.begin());
      }
      const std::optional<QueuedWork> work = TakeWork(queue);
      RC_ASSERT(work.has_value());
      running[work->id.value] = work->tokens;
    }
  });
}

TEST_CASE("a request that would miss its deadline is shed with a retry time") {
  AdmissionQueue queue({.max_queued_tokens = 100000, .max_engine_tokens = 1});
  QueuedWork first = MakeWork(1, 0, 10000);
  QueuedWork second = MakeWork(2, 0, 10000);
  first.deadline = TimePoint(std::chrono::milliseconds(1500));
  second.deadline = first.deadline;
  CHECK_FALSE(queue.Offer(first, {}, kRate));
  const std::optional<Shed> shed = queue.Offer(second, {}, kRate);
  REQUIRE(shed);
  CHECK(shed->retry_after == std::chrono::milliseconds(500));
}

TEST_CASE("a queued request that can no longer meet its deadline is shed") {
  AdmissionQueue queue({.max_queued_tokens = 100000, .max_engine_tokens = 1});
  QueuedWork work = MakeWork(1, 0, 10000);
  work.deadline = TimePoint(std::chrono::milliseconds(1500));
  CHECK_FALSE(queue.Offer(work, {}, kRate));
  const std::optional<DequeuedWork> taken =
      queue.Take(TimePoint(std::chrono::seconds(1)), kRate);
  REQUIRE(taken);
  CHECK(taken->shed);
  CHECK(queue.empty());
  CHECK(queue.engine_tokens() == 0);
}

TEST_CASE("a higher priority class is served first") {
  AdmissionQueue queue({.max_queued_tokens = 100000, .max_engine_tokens = 1});
  QueuedWork urgent = MakeWork(2, 1, 10);
  urgent.priority = 5;
  CHECK_FALSE(queue.Offer(MakeWork(1, 0, 10), {}, kRate));
  CHECK_FALSE(queue.Offer(urgent, {}, kRate));
  CHECK(TakeWork(queue)->id == urgent.id);
}

}  // namespace dogwoodlatch
