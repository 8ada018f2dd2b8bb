#include "dogwoodlatch/serving/freshness_relay.h"

#include <algorithm>

namespace dogwoodlatch::serving {
namespace {

// Operators expect keyed requests to be served for three fifths of the
// revocation bound after the store was lost, so a proof may be two fifths old
// by then, less the time that a request needs to reach its target. A question
// is asked early enough for a helper's answer, and after that for a read.
constexpr double kAskShare = 0.18;
constexpr double kReadShare = 0.27;

// Pauses between two questions, and between two reads while reads fail. A
// router with helpers learns from them when the store is back.
constexpr Duration kMinAskPeriod = std::chrono::milliseconds(300);
constexpr Duration kMinReadPeriod = std::chrono::milliseconds(400);
constexpr Duration kMinReadPeriodWithHelper = std::chrono::milliseconds(1000);

// An answer that comes later proves little and is dropped.
constexpr Duration kQuestionLifetime = std::chrono::seconds(3);

Duration ShareOf(Duration bound, double share) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(bound.count()) * share));
}

}  // namespace

FreshnessPlan FreshnessPlan::ForRevocationBound(Duration bound) {
  return {.ask_age = ShareOf(bound, kAskShare),
          .read_age = ShareOf(bound, kReadShare)};
}

FreshnessAsker::FreshnessAsker(FreshnessPlan plan, uint64_t seed)
    : plan_(plan), random_(seed) {}

FreshnessAsker::Step FreshnessAsker::NextStep(std::optional<Duration> age,
                                              bool has_helper, TimePoint now) {
  const bool is_read_due =
      !age || *age >= plan_.read_age || (!has_helper && *age >= plan_.ask_age);
  const Duration read_period =
      has_helper ? kMinReadPeriodWithHelper : kMinReadPeriod;
  if (is_read_due && now - read_at_ >= read_period) return Step::kRead;
  const bool is_question_due = has_helper && age && *age >= plan_.ask_age;
  if (is_question_due && now - asked_at_ >= kMinAskPeriod) return Step::kAsk;
  return Step::kNone;
}

uint64_t FreshnessAsker::OnAsk(TimePoint now) {
  std::erase_if(questions_, [&](const auto& entry) {
    return now - entry.second > kQuestionLifetime;
  });
  const uint64_t nonce = random_();
  questions_[nonce] = now;
  asked_at_ = now;
  ++unanswered_;
  return nonce;
}

std::optional<TimePoint> FreshnessAsker::OnAnswer(uint64_t nonce,
                                                  TimePoint now) {
  const auto found = questions_.find(nonce);
  if (found == questions_.end()) return std::nullopt;
  const TimePoint sent = found->second;
  questions_.erase(found);
  unanswered_ = 0;
  if (now - sent > kQuestionLifetime) return std::nullopt;
  return sent;
}

}  // namespace dogwoodlatch::serving
