#include "dogwoodlatch/serving/order_ownership.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLease = seconds(3);
constexpr Duration kTick = milliseconds(50);
constexpr size_t kRouters = 2;  // the first one is the coordinator

// One agent and two routers. Both holders order whenever they may.
struct Simulation {
  struct Link {
    bool to_router = true;
    bool to_agent = true;
    TimePoint subscribed{};
    VmAttendance attendance{kLease};
  };

  void Advance(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kTick) {
      for (Link& link : links_) AdvanceRouter(link);
      if (is_up_ && now_ >= frozen_until_) AdvanceAgent();
      if (links_[0].attendance.IsUnattended("a", now_)) Order(false);
    }
  }

  void AdvanceRouter(Link& link) {
    link.attendance.OnListed({"a"}, now_);
    if (now_.time_since_epoch() % seconds(1) != Duration{0}) return;
    if (is_up_ && link.to_agent) {
      waiting_.push_back({&link, link.attendance.HeardAgo("a", now_)});
    }
  }

  // Subscriptions that arrived during a suspension are read at its end.
  void AdvanceAgent() {
    for (const auto& [link, age] : std::exchange(waiting_, {})) {
      link->subscribed = now_;
      if (age) agent_.OnConfirmed(*age, now_);
    }
    agent_.OnRunning(now_);
    if (now_.time_since_epoch() % milliseconds(300) == Duration{0}) {
      for (Link& link : links_) {
        const bool is_known = now_ - link.subscribed < seconds(4);
        if (is_known && link.to_router) link.attendance.OnHeard("a", now_);
      }
    }
    if (knows_target_ && agent_.MayOrder(now_)) Order(true);
  }

  void Order(bool is_agent) {
    if (has_ordered_ && is_agent != was_agent_) {
      shortest_turn_ = std::min(shortest_turn_, now_ - ordered_);
    }
    has_ordered_ = true;
    was_agent_ = is_agent;
    ordered_ = now_;
  }

  void RestartAgent() {
    agent_ = AgentOwnership(kLease);
    waiting_.clear();
    is_up_ = true;
  }

  void SetLinks(bool to_router, bool to_agent) {
    for (Link& link : links_) {
      link.to_router = to_router;
      link.to_agent = to_agent;
    }
  }

  bool IsLastOrderOfAgent() const { return has_ordered_ && was_agent_; }

  TimePoint now_ = At(100000);
  std::array<Link, kRouters> links_;
  AgentOwnership agent_{kLease};
  std::vector<std::pair<Link*, std::optional<Duration>>> waiting_;
  bool is_up_ = true;
  bool knows_target_ = true;
  TimePoint frozen_until_{};
  bool has_ordered_ = false;
  bool was_agent_ = false;
  TimePoint ordered_{};
  Duration shortest_turn_ = seconds(1000);
};

}  // namespace

TEST_CASE("an agent that learns its target's new id late keeps the target") {
  Simulation simulation;
  simulation.Advance(seconds(10));
  simulation.knows_target_ = false;
  simulation.Advance(seconds(15));
  CHECK(simulation.IsLastOrderOfAgent());
  simulation.knows_target_ = true;
  simulation.Advance(seconds(1));
  CHECK(simulation.now_ - simulation.ordered_ <= kTick);
  CHECK(simulation.shortest_turn_ == seconds(1000));
}

// Without the limits on either side, a holder orders at the moment at which the
// other has just stopped.
TEST_CASE("holders order one lease apart, whatever is cut, ends or stops") {
  const bool to_router = GENERATE(true, false);
  const bool to_agent = GENERATE(true, false);
  const bool is_killed = GENERATE(true, false);
  const bool is_frozen = GENERATE(true, false);
  const Duration duration = milliseconds(GENERATE(2000, 6950, 7000, 20000));
  Simulation simulation;
  simulation.Advance(seconds(12));
  simulation.SetLinks(to_router, to_agent);
  simulation.is_up_ = !is_killed;
  if (is_frozen) simulation.frozen_until_ = simulation.now_ + duration;
  simulation.Advance(duration);
  if (is_killed) simulation.RestartAgent();
  simulation.SetLinks(true, true);
  simulation.Advance(seconds(12));
  CHECK(simulation.shortest_turn_ >= kLease);
  CHECK(simulation.IsLastOrderOfAgent());
}

TEST_CASE("an agent that starts orders a little more than one lease later") {
  Simulation simulation;
  simulation.is_up_ = false;
  simulation.Advance(seconds(8));
  CHECK(simulation.has_ordered_);
  simulation.RestartAgent();
  simulation.Advance(kLease + seconds(3));
  CHECK(simulation.IsLastOrderOfAgent());
  CHECK(simulation.shortest_turn_ >= kLease);
}

TEST_CASE("faults of links, the agent and a router never mix holders") {
  rc::prop("random faults", [] {
    Simulation simulation;
    const auto faults =
        *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 7));
    for (const int fault : faults) {
      if (fault < 4) simulation.SetLinks(fault % 2 == 0, fault / 2 == 0);
      if (fault == 4) simulation.RestartAgent();
      if (fault == 5) {
        simulation.frozen_until_ = simulation.now_ + seconds(5);
      }
      if (fault == 6) simulation.links_[0].attendance = VmAttendance(kLease);
      simulation.Advance(kTick * *rc::gen::inRange(1, 240));
    }
    RC_ASSERT(simulation.shortest_turn_ >= kLease);
  });
}

// Others may have given orders between two terms.
TEST_CASE("an agent that was out of touch begins another term") {
  AgentOwnership agent(kLease);
  CHECK(agent.term() == 0);
  TimePoint now{seconds(100)};
  const auto stay_in_touch = [&](Duration time) {
    for (const TimePoint end = now + time; now < end; now += kTick) {
      agent.OnConfirmed(Duration{0}, now);
    }
  };
  stay_in_touch(seconds(5));
  CHECK(agent.MayOrder(now));
  CHECK(agent.term() == 1);
  const bool is_suspended = GENERATE(true, false);
  for (const TimePoint end = now + seconds(4); now < end; now += kTick) {
    if (!is_suspended) agent.OnRunning(now);
  }
  stay_in_touch(seconds(5));
  CHECK(agent.MayOrder(now));
  CHECK(agent.term() == 2);
}

}  // namespace dogwoodlatch::serving
