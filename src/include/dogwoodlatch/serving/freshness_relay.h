/// Shares proofs of the configuration's freshness among routers, so that calls
/// to the store do not grow with the number of routers.
///
/// A router sends a question with a nonce to a helper, another router. The
/// helper answers after a linearizable read that it sent after the question
/// arrived. The read thus proves the state of the store at a time after the
/// question was sent, however long either message or either process was
/// delayed, and the asker counts the age of the proof from its own clock at the
/// time of its question.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// When a router asks for a proof, as ages of its last one.
struct FreshnessPlan {
  Duration ask_age{0};   ///< ask a helper
  Duration read_age{0};  ///< no helper has answered: read from the store

  /// Derives the ages from the promised time until a revoked key is refused.
  static FreshnessPlan ForRevocationBound(Duration bound);
};

/// The asking side. Times are of a clock that also runs while the VM is
/// suspended.
class FreshnessAsker {
 public:
  enum class Step { kNone, kAsk, kRead };

  FreshnessAsker(FreshnessPlan plan, uint64_t seed);

  /// What to do now. `age` is that of the last proof. A helper, and a router
  /// that knows no helper, reads by itself.
  Step NextStep(std::optional<Duration> age, bool has_helper, TimePoint now);

  /// Registers a question that is sent now; returns its nonce.
  uint64_t OnAsk(TimePoint now);

  void OnReadStarted(TimePoint now) { read_at_ = now; }

  /// Returns when the question with this nonce was sent; none if it is unknown,
  /// was answered or is too old. Answers count once.
  std::optional<TimePoint> OnAnswer(uint64_t nonce, TimePoint now);

  /// Number of questions since the last answer; another helper is due.
  size_t unanswered() const { return unanswered_; }

 private:
  FreshnessPlan plan_;
  std::mt19937_64 random_;
  std::map<uint64_t, TimePoint> questions_;  ///< by nonce
  TimePoint asked_at_{};
  TimePoint read_at_{};
  size_t unanswered_ = 0;
};

/// The answering side: collects questions until a read is due. `Peer`
/// identifies the asker.
template <typename Peer>
class FreshnessHelper {
 public:
  struct Question {
    Peer peer;
    uint64_t nonce = 0;
    TimePoint received{};
  };

  void OnQuestion(const Peer& peer, uint64_t nonce, TimePoint now) {
    if (questions_.size() < kMaxQuestions) {
      questions_.push_back({peer, nonce, now});
    }
  }

  /// True if questions wait and the last read was not just sent.
  bool NeedsRead(TimePoint now) const {
    return !questions_.empty() && now - read_sent_ >= kMinReadPeriod;
  }

  void OnReadSent(TimePoint now) { read_sent_ = now; }

  /// A linearizable read that was sent at `sent` has confirmed the
  /// configuration. Returns the questions that it answers.
  std::vector<Question> TakeAnswered(TimePoint sent) {
    std::vector<Question> answered;
    std::erase_if(questions_, [&](const Question& question) {
      const bool is_answered = question.received < sent;
      if (is_answered) answered.push_back(question);
      return is_answered;
    });
    return answered;
  }

  /// Forgets questions whose askers have turned to the store by now.
  void DropOld(TimePoint now) {
    std::erase_if(questions_, [&](const Question& question) {
      return now - question.received > kQuestionLifetime;
    });
  }

  /// Reads are at least this far apart, so that one answers many questions.
  static constexpr Duration kMinReadPeriod = std::chrono::milliseconds(400);

 private:
  static constexpr Duration kQuestionLifetime = std::chrono::milliseconds(1500);
  static constexpr size_t kMaxQuestions = 1024;

  std::vector<Question> questions_;
  TimePoint read_sent_{};
};

}  // namespace dogwoodlatch::serving
