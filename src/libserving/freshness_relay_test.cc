#include "dogwoodlatch/serving/freshness_relay.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>

#include "dogwoodlatch/serving/freshness.h"
#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Step = FreshnessAsker::Step;

constexpr Duration kBound = seconds(5);
constexpr Duration kKeyMaxAge = milliseconds(4750);
constexpr Duration kStep = milliseconds(10);
constexpr int kMaxDelay = 900;

struct Message {
  TimePoint arrives;
  uint64_t nonce;
  bool is_answer;
  int asker;
  uint64_t version;
};

struct Asker {
  explicit Asker(uint64_t seed)
      : asker(FreshnessPlan::ForRevocationBound(kBound), seed) {}
  FreshnessAsker asker;
  FreshnessGuard guard{kKeyMaxAge};
  uint64_t version = 1;
  TimePoint frozen_until{};
};

// Askers, one helper and the store, with messages that are lost, late, repeated
// and overtake each other, and processes that stand still. The store revokes a
// key by version 2; no asker may still accept it beyond the bound.
class RelaySimulation {
 public:
  RelaySimulation(uint64_t seed, int askers, bool is_faulty)
      : random_(seed), is_faulty_(is_faulty) {
    for (int i = 0; i < askers; ++i) askers_.emplace_back(random_());
  }

  void Run(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      if (is_faulty_ && Chance(0.002)) Freeze();
      if (!revoked_at_ && now_ > At(seconds(10))) revoked_at_ = now_;
      AdvanceHelper();
      for (size_t i = 0; i < askers_.size(); ++i) AdvanceAsker(i);
      Deliver();
    }
  }

  int reads_ = 0;
  int late_keys_ = 0;
  Duration oldest_{0};
  bool is_helper_up_ = true;
  bool is_store_up_ = true;

 private:
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  Duration Delay() {
    const int longest = is_faulty_ && Chance(0.2) ? kMaxDelay : 5;
    return milliseconds(
        std::uniform_int_distribution<int>(1, longest)(random_));
  }
  uint64_t StoredVersion() const { return revoked_at_ ? 2 : 1; }

  void Freeze() {
    const TimePoint until = now_ + milliseconds(1500);
    if (Chance(0.3)) {
      helper_frozen_until_ = until;
    } else {
      askers_[random_() % askers_.size()].frozen_until = until;
    }
  }

  void Send(Message message) {
    if (is_faulty_ && Chance(0.1)) return;
    message.arrives = now_ + Delay();
    messages_.push_back(message);
    if (is_faulty_ && Chance(0.05)) {
      message.arrives += seconds(4);
      messages_.push_back(message);
    }
  }

  void AdvanceHelper() {
    if (!is_helper_up_ || now_ < helper_frozen_until_) return;
    if (read_done_ && now_ >= *read_done_) {
      for (const auto& question : helper_.TakeAnswered(read_sent_)) {
        Send({.arrives = {},
              .nonce = question.nonce,
              .is_answer = true,
              .asker = question.peer,
              .version = read_version_});
      }
      read_done_.reset();
    }
    helper_.DropOld(now_);
    if (!read_done_ && is_store_up_ && helper_.NeedsRead(now_)) {
      ++reads_;
      read_sent_ = now_;
      helper_.OnReadSent(now_);
      read_version_ = StoredVersion();
      read_done_ = now_ + Delay();
    }
  }

  void AdvanceAsker(size_t i) {
    Asker& asker = askers_[i];
    if (now_ < asker.frozen_until) return;
    const bool accepts_revoked_key =
        asker.version == 1 && asker.guard.IsFresh(now_);
    if (accepts_revoked_key && revoked_at_ && now_ - *revoked_at_ > kBound) {
      ++late_keys_;
    }
    if (now_ > At(seconds(3))) {
      oldest_ = std::max(oldest_, asker.guard.Age(now_).value_or(kBound));
    }
    switch (asker.asker.NextStep(asker.guard.Age(now_), true, now_)) {
      case Step::kNone:
        return;
      case Step::kAsk:
        Send({.arrives = {},
              .nonce = asker.asker.OnAsk(now_),
              .is_answer = false,
              .asker = static_cast<int>(i),
              .version = 0});
        return;
      case Step::kRead:
        asker.asker.OnReadStarted(now_);
        if (!is_store_up_) return;
        ++reads_;
        asker.version = StoredVersion();
        asker.guard.OnConfirmed(now_);
        return;
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      const bool is_due = message.arrives <= now_;
      if (is_due) due.push_back(message);
      return is_due;
    });
    for (const Message& message : due) {
      if (!message.is_answer) {
        helper_.OnQuestion(message.asker, message.nonce, now_);
        continue;
      }
      Asker& asker = askers_[static_cast<size_t>(message.asker)];
      const auto asked = asker.asker.OnAnswer(message.nonce, now_);
      // A proof of another version than the own one does not count.
      if (asked && message.version == asker.version) {
        asker.guard.OnConfirmed(*asked);
      }
    }
  }

  std::mt19937_64 random_;
  bool is_faulty_;
  TimePoint now_ = At(0);
  std::deque<Asker> askers_;
  FreshnessHelper<int> helper_;
  TimePoint helper_frozen_until_{};
  TimePoint read_sent_{};
  std::optional<TimePoint> read_done_;
  uint64_t read_version_ = 0;
  std::optional<TimePoint> revoked_at_;
  std::vector<Message> messages_;
};

}  // namespace

TEST_CASE("many routers share the reads of one helper") {
  RelaySimulation simulation(1, 68, false);
  simulation.Run(seconds(60));
  // 68 first reads, then at most one for each period of the helper.
  CHECK(simulation.reads_ <= 68 + 60000 / 400);
  CHECK(simulation.oldest_ <= kBound * 2 / 5);
  CHECK(simulation.late_keys_ == 0);
}

TEST_CASE("without an answering helper each router reads for itself") {
  RelaySimulation simulation(2, 4, false);
  simulation.Run(seconds(5));
  simulation.is_helper_up_ = false;
  simulation.Run(seconds(20));
  CHECK(simulation.oldest_ <= kBound * 2 / 5);
}

TEST_CASE("an outage of the store ends the acceptance of keys in time") {
  RelaySimulation simulation(3, 8, false);
  simulation.Run(seconds(8));
  simulation.is_store_up_ = false;  // the key is revoked during the outage
  simulation.Run(seconds(10));
  CHECK(simulation.late_keys_ == 0);
}

TEST_CASE("loss, delay, repetition and freezes never lengthen a proof") {
  rc::prop("random faults", [](uint64_t seed) {
    RelaySimulation simulation(seed, 6, true);
    simulation.Run(seconds(25));
    RC_ASSERT(simulation.late_keys_ == 0);
  });
}

TEST_CASE("an answer counts once, and not after its lifetime") {
  FreshnessAsker asker(FreshnessPlan::ForRevocationBound(kBound), 1);
  const uint64_t nonce = asker.OnAsk(At(1000));
  CHECK_FALSE(asker.OnAnswer(nonce + 1, At(1010)));
  CHECK(asker.OnAnswer(nonce, At(1020)) == At(1000));
  CHECK_FALSE(asker.OnAnswer(nonce, At(1030)));
  const uint64_t late = asker.OnAsk(At(2000));
  CHECK_FALSE(asker.OnAnswer(late, At(6000)));
}

}  // namespace dogwoodlatch::serving
