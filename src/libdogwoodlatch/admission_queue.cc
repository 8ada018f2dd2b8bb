#include "dogwoodlatch/admission_queue.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

Duration TimeFor(uint64_t tokens, uint64_t tokens_per_second) {
  const uint64_t rate = std::max<uint64_t>(1, tokens_per_second);
  return Duration(tokens * Duration::period::den / rate);
}

}  // namespace

std::optional<Shed> AdmissionQueue::Offer(QueuedWork work, TimePoint now,
                                          uint64_t tokens_per_second) {
  const uint64_t ahead = TokensAhead(work.workspace, work.share, work.priority);
  const Duration first_token = TimeFor(ahead + work.tokens, tokens_per_second);
  if (now + first_token > work.deadline) {
    const Duration excess = now + first_token - work.deadline;
    return Shed{std::max(kMinRetryAfter, excess)};
  }
  // Work that finds the queue empty is taken whatever its size.
  if (queued_tokens_ > 0 &&
      queued_tokens_ + work.tokens > limits_.max_queued_tokens) {
    const uint64_t excess =
        queued_tokens_ + work.tokens - limits_.max_queued_tokens;
    return Shed{std::max(kMinRetryAfter, TimeFor(excess, tokens_per_second))};
  }
  PriorityClass& level = classes_[work.priority];
  Line& line = level.lines[work.workspace];
  line.share = work.share;
  line.tokens += work.tokens;
  level.tokens += work.tokens;
  queued_tokens_ += work.tokens;
  line.waiting.push_back(std::move(work));
  return std::nullopt;
}

std::optional<Taken> AdmissionQueue::Take(TimePoint now,
                                          uint64_t tokens_per_second) {
  if (classes_.empty() || engine_tokens_ >= limits_.max_engine_tokens) {
    return std::nullopt;
  }
  const auto level = classes_.begin();
  const auto start_of = [this](const auto& line) {
    const auto finish = virtual_finish_.find(line.first);
    return finish == virtual_finish_.end()
               ? virtual_time_
               : std::max(virtual_time_, finish->second);
  };
  const auto line = std::ranges::min_element(level->second.lines, {}, start_of);
  const double start = start_of(*line);
  QueuedWork work = line->second.waiting.front();
  Erase(level, line, line->second.waiting.begin());
  // Work of other workspaces that came later may have gone first.
  const Duration first_token =
      TimeFor(engine_tokens_ + work.tokens, tokens_per_second);
  if (now + first_token > work.deadline) {
    return Taken{std::move(work), Shed{std::max(kMinRetryAfter, first_token)}};
  }
  virtual_time_ = start;
  virtual_finish_[work.workspace] =
      start + static_cast<double>(work.tokens) / work.share;
  at_engine_[work.id] = work;
  engine_tokens_ += work.tokens;
  return Taken{std::move(work), std::nullopt};
}

void AdmissionQueue::Correct(const RequestId& id, uint64_t tokens) {
  const auto found = at_engine_.find(id);
  if (found == at_engine_.end()) return;
  QueuedWork& work = found->second;
  engine_tokens_ += tokens;
  engine_tokens_ -= work.tokens;
  virtual_finish_[work.workspace] +=
      (static_cast<double>(tokens) - static_cast<double>(work.tokens)) /
      work.share;
  work.tokens = tokens;
}

void AdmissionQueue::OnEnded(const RequestId& id) {
  const auto running = at_engine_.find(id);
  if (running != at_engine_.end()) {
    engine_tokens_ -= running->second.tokens;
    at_engine_.erase(running);
    // An idle engine owes nothing to anybody.
    if (at_engine_.empty() && classes_.empty()) virtual_finish_.clear();
    return;
  }
  for (auto level = classes_.begin(); level != classes_.end(); ++level) {
    auto& lines = level->second.lines;
    for (auto line = lines.begin(); line != lines.end(); ++line) {
      auto& waiting = line->second.waiting;
      const auto work = std::ranges::find(waiting, id, &QueuedWork::id);
      if (work != waiting.end()) return Erase(level, line, work);
    }
  }
}

uint64_t AdmissionQueue::TokensAhead(const WorkspaceId& workspace, double share,
                                     int priority) const {
  uint64_t ahead = engine_tokens_;
  for (const auto& [level_priority, level] : classes_) {
    if (level_priority < priority) break;
    if (level_priority > priority) {
      ahead += level.tokens;
      continue;
    }
    // Until the workspace's own line is served, each other line gets at most
    // its work or its share, whichever is less.
    const auto own = level.lines.find(workspace);
    const uint64_t own_tokens =
        own == level.lines.end() ? 0 : own->second.tokens;
    ahead += own_tokens;
    for (const auto& [other, line] : level.lines) {
      if (other == workspace) continue;
      const double fair = static_cast<double>(own_tokens) * line.share / share;
      ahead += std::min(line.tokens, static_cast<uint64_t>(fair));
    }
  }
  return ahead;
}

void AdmissionQueue::Erase(const Classes::iterator& level,
                           const std::map<WorkspaceId, Line>::iterator& line,
                           const std::deque<QueuedWork>::iterator& work) {
  const uint64_t tokens = work->tokens;
  queued_tokens_ -= tokens;
  level->second.tokens -= tokens;
  line->second.tokens -= tokens;
  line->second.waiting.erase(work);
  if (line->second.waiting.empty()) level->second.lines.erase(line);
  if (level->second.lines.empty()) classes_.erase(level);
}

}  // namespace dogwoodlatch
