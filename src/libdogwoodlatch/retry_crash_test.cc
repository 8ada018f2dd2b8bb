// Compares ways to share the retries of a router when a third of its targets
// crash, in virtual time. Prints the table of
// docs/design/0009-retry-budget.md.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dogwoodlatch/retry_budget.h"
#include "dogwoodlatch/retry_window.h"
#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShare = 0.17;
constexpr double kExtra = 46;
constexpr double kRouters = 4;
constexpr double kPartOfExtra = 0.75 / kRouters;
constexpr Duration kWindow = seconds(10);
constexpr int kSeeds = 20;
constexpr int kMaxSends = 3;

/// Shares out the retries of one router.
struct Policy {
  std::function<void(TimePoint)> on_first_attempt;
  std::function<bool(RetryPurpose, TimePoint)> withdraw;
};

// A bucket that holds half of the extra retries, for any purpose.
Policy MakeBucket() {
  constexpr double kPart = kExtra / 2 / kRouters;
  auto bucket = std::make_shared<RetryBudget>(RetryBudgetLimits{
      .share = kShare, .per_second = kPart / 10, .max_burst = kPart});
  return {
      [bucket](TimePoint now) { bucket->OnFirstAttempt(now); },
      [bucket](RetryPurpose, TimePoint now) { return bucket->Withdraw(now); }};
}

Policy MakeWindow(bool has_purposes) {
  auto window = std::make_shared<RetryWindow>(
      RetryWindowLimits{.share = kShare, .extra = kExtra, .window = kWindow});
  return {[window](TimePoint now) { window->OnFirstAttempt(now); },
          [window, has_purposes](RetryPurpose purpose, TimePoint now) {
            return window->Withdraw(
                has_purposes ? purpose : RetryPurpose::kResume, kPartOfExtra,
                now);
          }};
}

// Each purpose has a part of its own, which the others cannot use.
Policy MakeStrictParts() {
  static constexpr std::array<double, kRetryPurposes> kParts = {0.5, 0.15, 0.2,
                                                                0.15};
  auto windows = std::make_shared<std::vector<RetryWindow>>();
  for (const double part : kParts) {
    windows->emplace_back(RetryWindowLimits{
        .share = kShare * part, .extra = kExtra * part, .window = kWindow});
  }
  return {[windows](TimePoint now) {
            for (RetryWindow& window : *windows) window.OnFirstAttempt(now);
          },
          [windows](RetryPurpose purpose, TimePoint now) {
            return windows->at(static_cast<size_t>(purpose))
                .Withdraw(RetryPurpose::kResume, kPartOfExtra, now);
          }};
}

struct Losses {
  int broken = 0;   // streams whose target crashed
  int cut = 0;      // of these, not sent to a target that goes on
  int refused = 0;  // requests that no target has run
};

// One router. Targets refuse a share of the sends from the second 15 on, a
// third of them crash in the second 20, and the others refuse more then. Some
// are silent for four seconds meanwhile.
class Crash {
 public:
  Crash(Policy policy, double refused_before, uint32_t seed)
      : policy_(std::move(policy)),
        refused_before_(refused_before),
        random_(seed) {}

  Losses Run() {
    for (; now_ < At(seconds(30)); now_ += milliseconds(10)) {
      std::erase_if(streams_, [this](TimePoint end) { return end <= now_; });
      if (Chance(0.4)) Arrive();
      if (now_ == At(seconds(20))) Break();
      if (now_ >= At(seconds(20)) && now_ < At(seconds(24))) Move();
    }
    return losses_;
  }

 private:
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  double RefusedShare() const {
    if (now_ < At(seconds(15))) return 0;
    const bool is_crash = now_ >= At(seconds(20)) && now_ < At(seconds(24));
    return is_crash ? std::max(0.4, refused_before_) : refused_before_;
  }

  // Sends to one target after the other, up to the most sends.
  bool SendOn(RetryPurpose purpose, int sends) {
    while (Chance(RefusedShare())) {
      if (sends++ >= kMaxSends || !policy_.withdraw(purpose, now_)) {
        return false;
      }
    }
    return true;
  }

  void Arrive() {
    policy_.on_first_attempt(now_);
    if (!SendOn(RetryPurpose::kResend, 1)) {
      ++losses_.refused;
      return;
    }
    const int length = std::uniform_int_distribution<int>(200, 4000)(random_);
    streams_.push_back(now_ + milliseconds(length));
  }

  void Break() {
    std::erase_if(streams_, [this](TimePoint) {
      if (!Chance(1.0 / 3)) return false;
      ++losses_.broken;
      const bool goes_on = policy_.withdraw(RetryPurpose::kResume, now_) &&
                           SendOn(RetryPurpose::kResume, 2);
      if (!goes_on) ++losses_.cut;
      return !goes_on;
    });
  }

  // A stream that was moved and is refused goes back to its first target.
  void Move() {
    if (!Chance(0.2) || !policy_.withdraw(RetryPurpose::kMove, now_)) return;
    if (!Chance(RefusedShare())) return;
    if (policy_.withdraw(RetryPurpose::kResume, now_)) return;
    ++losses_.broken;
    ++losses_.cut;
  }

  Policy policy_;
  double refused_before_;
  std::mt19937 random_;
  TimePoint now_ = At(0);
  std::vector<TimePoint> streams_;  // ends of those under way
  Losses losses_;
};

Losses Total(const std::function<Policy()>& make, double refused_before) {
  Losses total;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const Losses losses = Crash(make(), refused_before, seed).Run();
    total.broken += losses.broken;
    total.cut += losses.cut;
    total.refused += losses.refused;
  }
  return total;
}

}  // namespace

// Guards against streams that are cut in a crash because requests that can be
// refused have used up the retries.
TEST_CASE("begun streams are resumed before refused requests are sent again") {
  const std::vector<std::pair<std::string, std::function<Policy()>>> policies =
      {{"bucket", MakeBucket},
       {"window, one purpose", [] { return MakeWindow(false); }},
       {"window, strict parts", MakeStrictParts},
       {"window, reserves", [] { return MakeWindow(true); }}};
  std::map<std::pair<std::string, double>, Losses> results;
  for (const double refused_before : {0.0, 0.2, 0.4}) {
    for (const auto& [name, make] : policies) {
      const Losses losses = Total(make, refused_before);
      results[{name, refused_before}] = losses;
      std::printf("| %.1f | %s | %d | %d | %d |\n", refused_before,
                  name.c_str(), losses.broken, losses.cut, losses.refused);
    }
  }
  for (const double refused_before : {0.0, 0.2, 0.4}) {
    const Losses& kept = results[{"window, reserves", refused_before}];
    const Losses& strict = results[{"window, strict parts", refused_before}];
    INFO("refused before: " << refused_before);
    CHECK(kept.cut * 3 < kept.broken);
    CHECK(kept.cut * 3 < results[{"bucket", refused_before}].cut);
    CHECK(kept.cut < results[{"window, one purpose", refused_before}].cut);
    CHECK(kept.cut < strict.cut);
    if (refused_before > 0) CHECK(kept.refused < strict.refused);
  }
}

}  // namespace dogwoodlatch
