// Checks the retries of one router, and that those of all routers together stay
// within the promised bound in every window of time.

#include "dogwoodlatch/retry_window.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(10);
constexpr double kShare = 0.2;
constexpr double kExtra = 54;
constexpr double kSafety = 0.85;
constexpr size_t kUnknown = 64;
constexpr Duration kSettleTime = seconds(4);
constexpr Duration kNewsTime = seconds(3);

RetryWindowLimits Limits() {
  return {
      .share = kShare * kSafety, .extra = kExtra * kSafety, .window = kWindow};
}

int Grant(RetryWindow& window, RetryPurpose purpose, double part, TimePoint now,
          int wanted) {
  int granted = 0;
  while (granted < wanted && window.Withdraw(purpose, part, now)) ++granted;
  return granted;
}

// A broken variant changes one of these.
struct Variant {
  bool remembers_routers = true;    // a part grows after the memory only
  bool divides_extra = true;        // between the routers
  bool keeps_window = true;         // at a change of membership
  bool starts_with_unknown = true;  // a router that starts takes a small part
};

// Routers that start, end and learn of each other late, and ask for as many
// retries as they get.
class Fleet {
 public:
  Fleet(const Variant& variant, uint32_t seed)
      : variant_(variant), random_(seed) {
    for (int i = 0; i < 4; ++i) StartRouter();
  }

  // The excess of retries in the worst window.
  double WorstExcess() {
    const TimePoint end = now_ + seconds(60);
    while (now_ < end) Step();
    double worst = -kExtra;
    for (size_t first = 0; first < retries_.size(); ++first) {
      worst = std::max(worst, ExcessFrom(retries_[first]));
    }
    return worst;
  }

 private:
  struct Router {
    TimePoint started;
    std::optional<TimePoint> ended;
    std::optional<TimePoint> blind_until;
    size_t known = 0;
    RouterCount count;
    RetryWindow window;
    double traffic;
  };

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  void StartRouter() {
    routers_.push_back(
        {.started = now_,
         .ended = {},
         .blind_until = {},
         .count =
             RouterCount(variant_.remembers_routers ? kWindow + kSettleTime
                                                    : milliseconds(1),
                         variant_.starts_with_unknown ? kUnknown : 4, now_),
         .window = RetryWindow(Limits()),
         .traffic = std::uniform_real_distribution<double>(0, 2)(random_)});
  }

  size_t Serving() const {
    return static_cast<size_t>(std::ranges::count_if(
        routers_,
        [](const Router& router) { return !router.ended.has_value(); }));
  }

  // Others know of a start or an end after some time; the router itself counts.
  size_t KnownTo(const Router& self) const {
    if (self.blind_until && now_ < *self.blind_until) return kUnknown;
    if (now_ - self.started < seconds(1) && variant_.starts_with_unknown) {
      return kUnknown;
    }
    return static_cast<size_t>(
        std::ranges::count_if(routers_, [&](const Router& router) {
          if (&router == &self) return true;
          if (now_ - router.started < kNewsTime / 2) return false;
          return !router.ended || now_ - *router.ended < kNewsTime;
        }));
  }

  void ChangeMembership() {
    if (Chance(0.004) && Serving() < 7) StartRouter();
    for (size_t i = 0; i < routers_.size(); ++i) {
      if (routers_[i].ended) continue;
      if (Chance(0.0005)) routers_[i].blind_until = now_ + seconds(4);
      if (!Chance(0.001) || Serving() == 1) continue;
      routers_[i].ended = now_;
      if (Chance(0.7)) StartRouter();
    }
  }

  void Step() {
    now_ += milliseconds(20);
    ChangeMembership();
    if (Chance(0.002)) load_ = Chance(0.5) ? 0 : 1;
    const bool is_crash = Chance(0.003);
    if (is_crash) wants_until_ = now_ + milliseconds(500);
    for (Router& router : routers_) {
      if (router.ended) continue;
      const size_t known = KnownTo(router);
      router.count.Update(known, now_);
      if (!variant_.keeps_window && known != router.known) {
        router.window = RetryWindow(Limits());
      }
      router.known = known;
      if (Chance(load_ * router.traffic / 2)) {
        router.window.OnFirstAttempt(now_);
        requests_.push_back(now_);
      }
      const int wanted = now_ < wants_until_ ? 20 : (Chance(0.1) ? 1 : 0);
      const double part = variant_.divides_extra ? router.count.Part(now_) : 1;
      const int granted =
          Grant(router.window, RetryPurpose::kResume, part, now_, wanted);
      retries_.insert(retries_.end(), static_cast<size_t>(granted), now_);
    }
  }

  static double CountIn(const std::vector<TimePoint>& times, TimePoint start) {
    return static_cast<double>(
        std::ranges::upper_bound(times, start + kWindow) -
        std::ranges::lower_bound(times, start));
  }

  // Windows that start at a retry are the worst ones.
  double ExcessFrom(TimePoint start) const {
    const double requests = std::max({CountIn(requests_, start),
                                      CountIn(requests_, start - kWindow / 2),
                                      CountIn(requests_, start - kWindow)});
    return CountIn(retries_, start) - kShare * requests - kExtra;
  }

  Variant variant_;
  std::mt19937 random_;
  TimePoint now_ = At(seconds(100));
  double load_ = 1;
  TimePoint wants_until_{};
  std::vector<Router> routers_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;
};

bool IsDetected(const Variant& variant) {
  constexpr uint32_t kSeeds = 60;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    if (Fleet(variant, seed).WorstExcess() > 0) return true;
  }
  return false;
}

}  // namespace

// Guards against a sum over all routers above the promised bound, whatever
// starts, ends, and load come together.
TEST_CASE("the retries of all routers stay within the bound in every window") {
  rc::prop("random traffic, restarts and membership", [](uint32_t seed) {
    RC_ASSERT(Fleet({}, seed).WorstExcess() <= 0);
  });
}

// Guards against a test that finds nothing.
TEST_CASE("every broken variant of the retry window is detected") {
  CHECK(IsDetected({.remembers_routers = false}));
  CHECK(IsDetected({.divides_extra = false}));
  CHECK(IsDetected({.keeps_window = false}));
  CHECK(IsDetected({.starts_with_unknown = false}));
}

// Guards against retries that traffic has earned and that are thrown away: a
// crash was granted about 6 retries after 400 requests.
TEST_CASE("a crash may use what the traffic of the window has earned") {
  RetryWindow window(Limits());
  for (int i = 0; i < 400; ++i) {
    window.OnFirstAttempt(At(100'000 + (i * 25)));
  }
  const int granted =
      Grant(window, RetryPurpose::kResume, 0.25, At(110'000), 1000);
  CHECK(granted >= 40);
  CHECK(granted <= 46);
}

// Guards against traffic of long ago that still pays for retries.
TEST_CASE("traffic before the last two windows earns nothing") {
  RetryWindow window(Limits());
  for (int i = 0; i < 1000; ++i) window.OnFirstAttempt(At(100'000));
  CHECK(Grant(window, RetryPurpose::kResume, 0.25, At(120'000), 1000) == 11);
}

// Guards against a part that is spent again after it has become smaller.
TEST_CASE("what was spent counts when more routers share the retries") {
  RetryWindow window(Limits());
  CHECK(Grant(window, RetryPurpose::kResume, 1.0 / 3, At(100'000), 1000) == 15);
  CHECK(Grant(window, RetryPurpose::kResume, 0.25, At(101'000), 1000) == 0);
  CHECK(Grant(window, RetryPurpose::kResume, 0.25, At(112'000), 1000) == 11);
}

// Guards against refused requests and moves that leave nothing to the streams
// whose answers have begun.
TEST_CASE("less urgent retries leave a reserve to more urgent ones") {
  RetryWindow window({.share = 0, .extra = 100, .window = kWindow});
  const TimePoint now = At(100'000);
  CHECK(Grant(window, RetryPurpose::kMove, 1, now, 1000) == 29);
  CHECK(Grant(window, RetryPurpose::kResend, 1, now, 1000) == 21);
  CHECK(Grant(window, RetryPurpose::kRerun, 1, now, 1000) == 20);
  CHECK(Grant(window, RetryPurpose::kResume, 1, now, 1000) == 30);
}

// Guards against a stream that is moved and then cut, as nothing is left to
// send it once more after the other target has refused it.
TEST_CASE("a move is granted only if a way back is left") {
  RetryWindow window({.share = 0, .extra = 8, .window = kWindow});
  const TimePoint now = At(100'000);
  CHECK(window.Withdraw(RetryPurpose::kMove, 1, now));
  CHECK_FALSE(window.Withdraw(RetryPurpose::kMove, 1, now));
  CHECK(window.Withdraw(RetryPurpose::kResume, 1, now));
}

// Guards against a share of the traffic that is never used where the part of
// the extra retries is below one.
TEST_CASE("one of very many routers earns a retry by its traffic") {
  RetryWindow window({.share = 0.17, .extra = 16, .window = kWindow});
  CHECK_FALSE(
      window.Withdraw(RetryPurpose::kResume, 1.0 / kUnknown, At(100'001)));
  for (int i = 0; i < 9; ++i) window.OnFirstAttempt(At(100'002));
  CHECK(window.Withdraw(RetryPurpose::kResume, 1.0 / kUnknown, At(100'003)));
  CHECK_FALSE(
      window.Withdraw(RetryPurpose::kResume, 1.0 / kUnknown, At(100'004)));
}

// Guards against a part that another router has spent and this one spends
// again.
TEST_CASE("a part grows only after the memory of the number of routers") {
  RouterCount count(seconds(14), kUnknown, At(100'000));
  count.Update(4, At(101'000));
  CHECK(count.Most(At(113'000)) == kUnknown);
  count.Update(4, At(116'000));
  CHECK(count.Most(At(116'000)) == 4);
  CHECK(count.Part(At(116'000)) == Approx(0.75 / 4));
  count.Update(5, At(117'000));
  CHECK(count.Most(At(117'000)) == 5);
  count.Update(3, At(130'000));
  CHECK(count.Most(At(143'900)) == 5);
  CHECK(count.Most(At(145'000)) == 3);
}

// Guards against the first broken run after a start that is not sent again: a
// router that had just started was granted nothing until it had had traffic.
TEST_CASE("a router that has just started has a few retries without traffic") {
  RouterCount count(seconds(14), kUnknown, At(100'000));
  count.Update(4, At(101'000));
  CHECK(count.Part(At(101'000)) == Approx(0.25 / 4));
  RetryWindow window(Limits());
  CHECK(Grant(window, RetryPurpose::kResume, count.Part(At(101'000)),
              At(101'000), 1000) == 2);
}

// Guards against wrong figures in the log and the metrics.
TEST_CASE("the counts are those of one window") {
  RetryWindow window({.share = 0.2, .extra = 8, .window = kWindow});
  for (int i = 0; i < 20; ++i) window.OnFirstAttempt(At(100'000));
  CHECK(window.Withdraw(RetryPurpose::kResume, 0.5, At(101'000)));
  const RetryCounts counts = window.Counts(0.5, At(102'000));
  CHECK(counts.first_attempts == 20);
  CHECK(counts.retries == 1);
  CHECK(counts.left == Approx(5));
  CHECK(window.Counts(0.5, At(112'000)).retries == 0);
}

// Guards against streams that leave their silent targets together and then have
// no retry left for the way back.
TEST_CASE("a retry that is held is left for its holder only") {
  RetryWindow window(
      {.share = 0, .extra = 4, .window = std::chrono::seconds(10)});
  const TimePoint now = TimePoint() + std::chrono::seconds(100);
  window.Hold();
  window.Hold();
  CHECK(window.Withdraw(RetryPurpose::kResume, 1, now));
  CHECK(window.Withdraw(RetryPurpose::kResume, 1, now));
  CHECK_FALSE(window.Withdraw(RetryPurpose::kResume, 1, now));
  CHECK(window.WithdrawHeld(1, now));
  CHECK_FALSE(window.Withdraw(RetryPurpose::kResume, 1, now));
  window.Release();
  CHECK(window.Withdraw(RetryPurpose::kResume, 1, now));
  CHECK_FALSE(window.Withdraw(RetryPurpose::kResume, 1, now));
}

// Guards against limits of a reload that apply only after a restart.
TEST_CASE("changed limits apply at once, and what was spent counts") {
  RetryWindow window(
      {.share = 0, .extra = 2, .window = std::chrono::seconds(10)});
  const TimePoint now = TimePoint() + std::chrono::seconds(100);
  CHECK(window.Withdraw(RetryPurpose::kResume, 1, now));
  window.SetLimits({.share = 0, .extra = 1});
  CHECK_FALSE(window.Withdraw(RetryPurpose::kResume, 1, now));
  window.SetLimits({.share = 0, .extra = 3});
  CHECK(window.Withdraw(RetryPurpose::kResume, 1, now));
  CHECK(window.Withdraw(RetryPurpose::kResume, 1, now));
  CHECK_FALSE(window.Withdraw(RetryPurpose::kResume, 1, now));
}

}  // namespace dogwoodlatch
