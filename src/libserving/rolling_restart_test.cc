// A small model of all routers being stopped one after the other, in virtual
// time: which order of refusing, closing and ending loses the fewest tries.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <ranges>
#include <string>
#include <vector>

#include "dogwoodlatch/serving/peer_stops.h"
#include "dogwoodlatch/serving/shutdown_plan.h"
#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGrace = milliseconds(8000);
constexpr Duration kStep = milliseconds(5);
constexpr Duration kEnd = std::chrono::seconds(30);
constexpr Duration kProbePeriod = std::chrono::seconds(1);
constexpr Duration kStartTime = milliseconds(550);
constexpr Duration kLoadTime = milliseconds(650);  // until it is ready
constexpr Duration kRetryPause = milliseconds(50);
constexpr int kMaxRetries = 3;
constexpr size_t kDomains = 4;
constexpr Duration kShortStream = milliseconds(400);
constexpr Duration kLongStream = milliseconds(6000);
constexpr int kMissesUntilRemoval = 2;

struct Losses {
  int no_connection = 0;
  int cut = 0;       // accepted, and ended without a whole answer
  int cut_late = 0;  // of those, accepted out of rotation
  int refused = 0;   // told at once to come back
  int unserved = 0;
  int served = 0;
};

// What a stopping router does; the rest is the same for all.
struct Order {
  // True if a request that lasts `needed` at most, of a stream or not, is
  // accepted.
  std::function<bool(const ShutdownPlan&, bool is_stream, Duration longest,
                     bool is_other_serving, TimePoint now)>
      accepts;
  std::function<bool(const ShutdownPlan&, TimePoint now)> listens;
  std::function<bool(const PeerStops&, TimePoint began, TimePoint now)> may_end;
};

struct Run {
  TimePoint end{};
  bool is_late = false;  // accepted out of rotation
};

struct Router {
  std::optional<ShutdownPlan> stop;
  PeerStops peers;
  std::vector<Run> running;
  TimePoint listens_from{};  // while it restarts
  TimePoint ready_from{};
  int misses = 0;
  bool in_rotation = true;

  bool IsUp(TimePoint now) const { return now >= listens_from; }
  bool IsReady(TimePoint now) const { return !stop && now >= ready_from; }
};

struct Try {
  TimePoint at{};
  Duration lasts{};
  size_t domain = 0;
  bool is_stream = true;
  int retries = 0;
};

class Model {
 public:
  Model(Order order, Duration gap, uint32_t seed)
      : order_(std::move(order)), gap_(gap), random_(seed) {}

  Losses Play() {
    for (TimePoint now = At(0); now < At(kEnd); now += kStep) {
      StopNext(now);
      Probe(now);
      Arrive(now);
      std::ranges::for_each(routers_,
                            [&](Router& router) { Advance(router, now); });
      TellPhases(now);
    }
    return losses_;
  }

 private:
  void StopNext(TimePoint now) {
    if (stopped_ == routers_.size()) return;
    if (now < At(milliseconds(3000)) + gap_ * static_cast<int64_t>(stopped_)) {
      return;
    }
    routers_[stopped_++].stop.emplace(now, kGrace);
  }

  void Probe(TimePoint now) {
    if (now < next_probe_) return;
    next_probe_ = now + kProbePeriod;
    for (Router& router : routers_) {
      router.misses = router.IsReady(now) ? 0 : router.misses + 1;
      router.in_rotation =
          router.IsReady(now) ||
          (router.in_rotation && router.misses < kMissesUntilRemoval);
    }
  }

  // One router in each domain: without it, the nearest domains' are used, and
  // any if none is in rotation.
  Router& Choose(size_t domain) {
    std::vector<size_t> candidates;
    for (size_t index = 0; index < routers_.size(); ++index) {
      if (routers_[index].in_rotation) candidates.push_back(index);
    }
    if (std::ranges::find(candidates, domain) != candidates.end()) {
      return routers_[domain];
    }
    if (!candidates.empty()) {
      return routers_[candidates[random_() % candidates.size()]];
    }
    return routers_[random_() % routers_.size()];
  }

  void Arrive(TimePoint now) {
    for (size_t domain = 0; domain < kDomains; ++domain) {
      if (random_() % 4 != 0) continue;  // one in 20 ms
      const bool is_stream = random_() % 4 != 0;
      const bool is_long = is_stream && random_() % 5 == 0;
      const Duration lasts = milliseconds(is_long ? 2500 + random_() % 3500
                                                  : 20 + random_() % 380);
      tries_.push_back(
          {now, lasts, domain + (is_long ? kDomains : 0), is_stream, 0});
    }
    std::deque<Try> later;
    for (const Try& attempt : tries_) {
      if (attempt.at > now) {
        later.push_back(attempt);
      } else if (!Send(attempt, now)) {
        if (attempt.retries == kMaxRetries) {
          ++losses_.unserved;
          continue;
        }
        later.push_back({now + kRetryPause, attempt.lasts, attempt.domain,
                         attempt.is_stream, attempt.retries + 1});
      }
    }
    tries_ = std::move(later);
  }

  // The upper half of the domains stands for the route with long streams.
  bool Send(const Try& attempt, TimePoint now) {
    Router& router = Choose(attempt.domain % kDomains);
    if (!router.IsUp(now) ||
        (router.stop && !order_.listens(*router.stop, now))) {
      ++losses_.no_connection;
      return false;
    }
    const bool is_accepted =
        router.stop ? order_.accepts(*router.stop, attempt.is_stream,
                                     attempt.domain >= kDomains ? kLongStream
                                                                : kShortStream,
                                     router.peers.IsAnyServing(now), now)
                    : router.IsReady(now);
    if (!is_accepted) {
      ++losses_.refused;
      return false;
    }
    router.running.push_back(
        {now + attempt.lasts, router.stop && !router.stop->IsInRotation(now)});
    return true;
  }

  void Advance(Router& router, TimePoint now) {
    const auto ended = std::erase_if(
        router.running, [now](const Run& run) { return run.end <= now; });
    losses_.served += static_cast<int>(ended);
    if (!router.stop || router.stop->IsInRotation(now)) return;
    const bool may_end =
        router.running.empty() &&
        order_.may_end(router.peers, router.stop->began(), now);
    if (!may_end && !router.stop->MustExit(now)) return;
    losses_.cut += static_cast<int>(router.running.size());
    losses_.cut_late +=
        static_cast<int>(std::ranges::count_if(router.running, &Run::is_late));
    router = Router();
    router.listens_from = now + kStartTime;
    router.ready_from = router.listens_from + kLoadTime;
    router.misses = kMissesUntilRemoval;
    router.in_rotation = false;
  }

  void TellPhases(TimePoint now) {
    for (size_t from = 0; from < routers_.size(); ++from) {
      const Router& router = routers_[from];
      if (!router.IsUp(now)) continue;
      const RouterPhase phase = router.stop           ? RouterPhase::kStopping
                                : router.IsReady(now) ? RouterPhase::kServing
                                                      : RouterPhase::kStarting;
      const Duration since =
          router.stop ? now - router.stop->began() : Duration{0};
      for (size_t to = 0; to < routers_.size(); ++to) {
        if (to != from) routers_[to].peers.OnPhase(from, phase, since, now);
      }
    }
  }

  Order order_;
  Duration gap_;
  std::mt19937 random_;
  std::vector<Router> routers_{kDomains};
  size_t stopped_ = 0;
  TimePoint next_probe_ = At(0);
  std::deque<Try> tries_;
  Losses losses_;
};

// The order that routers use.
Order PresentOrder() {
  return {
      .accepts =
          [](const ShutdownPlan& plan, bool is_stream, Duration longest,
             bool is_other_serving, TimePoint now) {
            return plan.Accepts(
                {.kind =
                     is_stream ? RouteKind::kStream : RouteKind::kNonIdempotent,
                 .time_limit = milliseconds(!is_stream               ? 600
                                            : longest > kShortStream ? 15000
                                                                     : 2800),
                 .is_other_serving = is_other_serving},
                now);
          },
      .listens = [](const ShutdownPlan& plan,
                    TimePoint now) { return plan.Listens(now); },
      .may_end = [](const PeerStops& peers, TimePoint began,
                    TimePoint now) { return peers.MayEnd(began, now); }};
}

// No stream out of rotation, the listening socket closed a second before the
// end, and no regard to other routers.
Order EarlierOrder() {
  return {.accepts =
              [](const ShutdownPlan& plan, bool is_stream, Duration /*longest*/,
                 bool /*is_other_serving*/, TimePoint now) {
                return plan.IsInRotation(now) ||
                       (!is_stream &&
                        now + milliseconds(600) <=
                            plan.began() + kGrace - milliseconds(600));
              },
          .listens =
              [](const ShutdownPlan& plan, TimePoint now) {
                return plan.IsInRotation(now) ||
                       now < plan.began() + kGrace - milliseconds(1600);
              },
          .may_end = [](const PeerStops& /*peers*/, TimePoint /*began*/,
                        TimePoint /*now*/) { return true; }};
}

Losses PlayAll(const Order& order) {
  Losses sum;
  for (const int64_t gap : {300, 500, 1000, 1500, 3000}) {
    for (uint32_t seed = 1; seed <= 6; ++seed) {
      const Losses losses = Model(order, milliseconds(gap), seed).Play();
      sum.no_connection += losses.no_connection;
      sum.cut += losses.cut;
      sum.cut_late += losses.cut_late;
      sum.refused += losses.refused;
      sum.unserved += losses.unserved;
      sum.served += losses.served;
    }
  }
  return sum;
}

std::string Text(const Losses& losses) {
  return "no connection " + std::to_string(losses.no_connection) + ", cut " +
         std::to_string(losses.cut) + ", refused " +
         std::to_string(losses.refused) + ", unserved " +
         std::to_string(losses.unserved) + ", served " +
         std::to_string(losses.served);
}

}  // namespace

// Guards against stops that lose callers' requests beyond those that no order
// of refusing, closing and ending could save.
TEST_CASE("a roll of all routers loses less than with the earlier order") {
  const Order present = PresentOrder();
  const Order earlier = EarlierOrder();
  Order without_streams = present;
  without_streams.accepts = earlier.accepts;
  Order closing_early = present;
  closing_early.listens = earlier.listens;
  Order without_waiting = present;
  without_waiting.may_end = earlier.may_end;
  const Losses now = PlayAll(present);
  const Losses before = PlayAll(earlier);
  WARN("earlier: " << Text(before));
  WARN("present: " << Text(now));
  WARN("present, as before in what is accepted: "
       << Text(PlayAll(without_streams)));
  WARN("present, as before in what listens: " << Text(PlayAll(closing_early)));
  WARN(
      "present, as before in when it ends: " << Text(PlayAll(without_waiting)));
  CHECK(now.no_connection < before.no_connection);
  CHECK(now.cut_late == 0);
  CHECK(now.no_connection + now.cut < before.no_connection + before.cut);
  CHECK(now.unserved < before.unserved);
}

}  // namespace dogwoodlatch::serving
