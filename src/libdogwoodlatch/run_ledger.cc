#include "dogwoodlatch/run_ledger.h"

#include <algorithm>
#include <utility>

namespace dogwoodlatch {

const RunRecord* RunLedger::Find(const ClaimKey& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

void RunLedger::Begin(const ClaimKey& key, uint64_t body_digest,
                      Waiter waiter) {
  records_[key] = {
      body_digest, RunState::kClaiming, {std::move(waiter)}, RunAnswer{}};
}

void RunLedger::Join(const ClaimKey& key, Waiter waiter) {
  records_.at(key).waiters.push_back(std::move(waiter));
}

void RunLedger::SetRunning(const ClaimKey& key) {
  records_.at(key).state = RunState::kRunning;
}

std::vector<Waiter> RunLedger::Finish(const ClaimKey& key, RunAnswer answer) {
  RunRecord& record = records_.at(key);
  std::vector<Waiter> waiters = std::exchange(record.waiters, {});
  record.state = RunState::kFinished;
  record.answer = std::move(answer);
  answer_bytes_ += record.answer.body.size();
  answers_.push_back(key);
  OnEnded(key);
  return waiters;
}

std::vector<Waiter> RunLedger::MarkLost(const ClaimKey& key) {
  RunRecord& record = records_.at(key);
  record.state = RunState::kLost;
  std::vector<Waiter> waiters = std::exchange(record.waiters, {});
  OnEnded(key);
  return waiters;
}

std::vector<Waiter> RunLedger::Remove(const ClaimKey& key) {
  const auto found = records_.find(key);
  if (found == records_.end()) return {};
  std::vector<Waiter> waiters = std::move(found->second.waiters);
  records_.erase(found);
  return waiters;
}

// A call whose record is evicted stays claimed in its claim log, so it cannot
// run again; only the answer is lost.
void RunLedger::OnEnded(const ClaimKey& key) {
  ended_.push_back(key);
  EvictOldest();
}

void RunLedger::EvictOldest() {
  while (answer_bytes_ > limits_.max_answer_bytes && !answers_.empty()) {
    const auto oldest = records_.find(answers_.front());
    answers_.pop_front();
    if (oldest == records_.end()) continue;
    answer_bytes_ -= oldest->second.answer.body.size();
    oldest->second.answer = {};
    oldest->second.state = RunState::kLost;
  }
  while (ended_.size() > limits_.max_records) {
    const auto oldest = records_.find(ended_.front());
    ended_.pop_front();
    if (oldest == records_.end()) continue;
    answer_bytes_ -= oldest->second.answer.body.size();
    std::erase(answers_, oldest->first);
    records_.erase(oldest);
  }
}

// Evicting a refusal raises the watermark to the issue time of its submit, so
// late duplicates of it stay refused whatever the routers' clocks say.
void RunLedger::Refuse(const Waiter& waiter) {
  uint32_t& attempt = refused_attempts_[waiter.request_id];
  attempt = std::max(attempt, waiter.attempt);
  refusals_.push_back(waiter);
  if (refusals_.size() <= limits_.max_refusals) return;
  const Waiter& oldest = refusals_.front();
  refusal_watermark_ = std::max(refusal_watermark_, oldest.issued);
  refused_attempts_.erase(oldest.request_id);
  refusals_.pop_front();
}

bool RunLedger::IsRefused(const Waiter& waiter) const {
  if (waiter.issued <= refusal_watermark_) return true;
  const auto found = refused_attempts_.find(waiter.request_id);
  return found != refused_attempts_.end() && waiter.attempt <= found->second;
}

}  // namespace dogwoodlatch
