#include "dogwoodlatch/admission_queue.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

Duration PrefillTime(uint64_t tokens, uint64_t tokens_per_second) {
  const uint64_t rate = std::max<uint64_t>(1, tokens_per_second);
  return Duration(tokens * Duration::period::den / rate);
}

}  // namespace

std::optional<Shed> AdmissionQueue::Offer(QueuedWork work, TimePoint now,
                                          uint64_t tokens_per_second) {
  const uint64_t ahead = TokensAhead(work.workspace, work.share, work.priority);
  const Duration first_token =
      PrefillTime(ahead + work.tokens, tokens_per_second);
  if (now + first_token > work.deadline) {
    const Duration excess = now + first_token - work.deadline;
    return Shed{std::max(kMinRetryAfter, excess)};
  }
  // An empty queue accepts a request of any size.
  if (queued_tokens_ > 0 &&
      queued_tokens_ + work.tokens > limits_.max_queued_tokens) {
    const uint64_t excess =
        queued_tokens_ + work.tokens - limits_.max_queued_tokens;
    return Shed{
        std::max(kMinRetryAfter, PrefillTime(excess, tokens_per_second))};
  }
  PriorityClass& priority_class = classes_[work.priority];
  WorkspaceQueue& queue = priority_class.queues[work.workspace];
  queue.share = work.share;
  queue.tokens += work.tokens;
  priority_class.tokens += work.tokens;
  queued_tokens_ += work.tokens;
  queue.waiting.push_back(std::move(work));
  return std::nullopt;
}

std::optional<DequeuedWork> AdmissionQueue::Take(TimePoint now,
                                                 uint64_t tokens_per_second) {
  if (classes_.empty() || engine_tokens_ >= limits_.max_engine_tokens) {
    return std::nullopt;
  }
  const auto priority_class = classes_.begin();
  const auto start_of = [this](const auto& queue) {
    const auto finish = virtual_finish_.find(queue.first);
    return finish == virtual_finish_.end()
               ? virtual_time_
               : std::max(virtual_time_, finish->second);
  };
  const auto queue =
      std::ranges::min_element(priority_class->second.queues, {}, start_of);
  const double start = start_of(*queue);
  QueuedWork work = queue->second.waiting.front();
  Erase(priority_class, queue, queue->second.waiting.begin());
  // Requests of other workspaces that arrived later may have been dispatched
  // first, so the deadline is checked again.
  const Duration first_token =
      PrefillTime(engine_tokens_ + work.tokens, tokens_per_second);
  if (now + first_token > work.deadline) {
    return DequeuedWork{std::move(work),
                        Shed{std::max(kMinRetryAfter, first_token)}};
  }
  virtual_time_ = start;
  virtual_finish_[work.workspace] =
      start + static_cast<double>(work.tokens) / work.share;
  at_engine_[work.id] = work;
  engine_tokens_ += work.tokens;
  return DequeuedWork{std::move(work), std::nullopt};
}

void AdmissionQueue::CorrectCost(const RequestId& id, uint64_t tokens) {
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
    // With nothing queued or running, all workspaces start again as equals.
    if (at_engine_.empty() && classes_.empty()) virtual_finish_.clear();
    return;
  }
  for (auto priority_class = classes_.begin(); priority_class != classes_.end();
       ++priority_class) {
    auto& queues = priority_class->second.queues;
    for (auto queue = queues.begin(); queue != queues.end(); ++queue) {
      auto& waiting = queue->second.waiting;
      const auto work = std::ranges::find(waiting, id, &QueuedWork::id);
      if (work != waiting.end()) return Erase(priority_class, queue, work);
    }
  }
}

uint64_t AdmissionQueue::TokensAhead(const WorkspaceId& workspace, double share,
                                     int priority) const {
  uint64_t ahead = engine_tokens_;
  for (const auto& [class_priority, priority_class] : classes_) {
    if (class_priority < priority) break;
    if (class_priority > priority) {
      ahead += priority_class.tokens;
      continue;
    }
    // While the workspace's own queue is being served, each other queue gets at
    // most the smaller of its backlog and its fair share.
    const auto own = priority_class.queues.find(workspace);
    const uint64_t own_tokens =
        own == priority_class.queues.end() ? 0 : own->second.tokens;
    ahead += own_tokens;
    for (const auto& [other, queue] : priority_class.queues) {
      if (other == workspace) continue;
      const double fair = static_cast<double>(own_tokens) * queue.share / share;
      ahead += std::min(queue.tokens, static_cast<uint64_t>(fair));
    }
  }
  return ahead;
}

void AdmissionQueue::Erase(
    const Classes::iterator& priority_class,
    const std::map<WorkspaceId, WorkspaceQueue>::iterator& queue,
    const std::deque<QueuedWork>::iterator& work) {
  const uint64_t tokens = work->tokens;
  queued_tokens_ -= tokens;
  priority_class->second.tokens -= tokens;
  queue->second.tokens -= tokens;
  queue->second.waiting.erase(work);
  if (queue->second.waiting.empty()) priority_class->second.queues.erase(queue);
  if (priority_class->second.queues.empty()) classes_.erase(priority_class);
}

}  // namespace dogwoodlatch
