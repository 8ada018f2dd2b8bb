// Simulates contenders for one lease and for a set of permits on one virtual
// clock, with pauses, lost answers and outages.

#include "dogwoodlatch/lease.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <utility>

namespace dogwoodlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(100);

// Deliberate faults in the code under test.
enum class Mutation {
  kNone,
  kSameNumber,         // every lease record has the same fencing number
  kNoGate,             // actions under any fencing number are admitted
  kUnconditionalWrite  // a write overwrites any version
};

class FakeStore {
 public:
  bool down = false;
  bool lose_answer = false;

  Result<PlatformObject> Read(const std::string& path) const {
    if (down) return Error{ErrorCode::kUnavailable, path, ""};
    const auto found = objects_.find(path);
    if (found == objects_.end()) return Error{ErrorCode::kNotFound, path, ""};
    return found->second;
  }

  Result<uint64_t> Write(const std::string& path, const LeaseWrite& write,
                         Mutation mutation) {
    if (down) return Error{ErrorCode::kUnavailable, path, ""};
    PlatformObject& object = objects_[path];
    if (object.version != write.expected_version &&
        mutation != Mutation::kUnconditionalWrite) {
      return Error{ErrorCode::kConflict, path, ""};
    }
    LeaseRecord record = write.record;
    if (mutation == Mutation::kSameNumber) record.fencing_number = 1;
    object = {path, ++revision_, ToJson(record)};
    const bool lost = std::exchange(lose_answer, false);
    if (lost) return Error{ErrorCode::kUnknownOutcome, path, ""};
    return revision_;
  }

 private:
  std::map<std::string, PlatformObject> objects_;
  uint64_t revision_ = 0;
};

struct Contender {
  PermitKeeper keeper;
  std::string name;
  bool paused = false;
  std::optional<uint64_t> deferred_number;  // read before a pause, used later
};

class Simulation {
 public:
  Simulation(Mutation mutation, size_t permits) : mutation_(mutation) {
    for (size_t i = 0; i < 4; ++i) {
      PermitOptions options{"permits/load/", permits, {}};
      options.lease.holder = "h" + std::to_string(i);
      options.lease.duration = seconds(3);
      contenders_.push_back({PermitKeeper(options, i), options.lease.holder,
                             false, std::nullopt});
    }
  }

  void Run(const std::vector<int>& script, size_t permits) {
    for (const int code : script) {
      Step(code % 8, contenders_[code / 8 % contenders_.size()]);
      for (int tick = 0; tick < code / 64 % 32; ++tick) {
        now_ += kTick;
        for (Contender& contender : contenders_) Drive(contender);
        too_many |= CountHolders() > permits;
      }
    }
  }

  bool shared_number = false;  // two holders used one number
  bool reversed = false;       // a lower number was admitted after a higher one
  bool too_many = false;       // more holders at a time than permits
  int acts = 0;

 private:
  void Step(int kind, Contender& contender) {
    if (kind == 0) contender.paused = true;
    if (kind == 1) contender.paused = false;
    if (kind == 2) store_.lose_answer = true;
    if (kind == 3) store_.down = !store_.down;
    if (kind == 4) contender.keeper.SetWanted(false);
    if (kind == 5) contender.keeper.SetWanted(true);
    if (kind >= 6) Act(contender);
  }

  // A holder that read its number before a pause acts under it however late.
  void Act(Contender& contender) {
    if (contender.deferred_number) {
      Send(*contender.deferred_number, contender);
      contender.deferred_number.reset();
      return;
    }
    if (!contender.paused) {
      contender.deferred_number = contender.keeper.FencingNumber(now_);
    }
  }

  void Send(uint64_t number, const Contender& contender) {
    const bool admitted =
        mutation_ == Mutation::kNoGate || gate_.Admit(number, contender.name);
    const auto [holder, is_new] = holders_.try_emplace(number, contender.name);
    shared_number |= !is_new && holder->second != contender.name;
    if (!admitted) return;
    ++acts;
    reversed |= number < last_number_;
    last_number_ = std::max(last_number_, number);
  }

  void Drive(Contender& contender) {
    if (contender.paused) return;
    const auto command = contender.keeper.TakeCommand(now_);
    if (!command) return;
    if (const auto* write = std::get_if<LeaseWrite>(&command->command)) {
      contender.keeper.OnWrite(store_.Write(command->path, *write, mutation_),
                               now_);
    } else {
      contender.keeper.OnRead(store_.Read(command->path), now_);
    }
  }

  size_t CountHolders() const {
    return std::ranges::count_if(contenders_, [this](const Contender& c) {
      return c.keeper.IsHeld(now_);
    });
  }

  Mutation mutation_;
  TimePoint now_{seconds(1)};
  FakeStore store_;
  FencingGate gate_;
  std::vector<Contender> contenders_;
  std::map<uint64_t, std::string> holders_;
  uint64_t last_number_ = 0;
};

using Script = std::vector<int>;

rc::Gen<Script> AnyScript() {
  return rc::gen::container<Script>(100, rc::gen::inRange(0, 1 << 16));
}

Simulation RunScript(const Script& script, Mutation mutation, size_t permits) {
  Simulation simulation(mutation, permits);
  simulation.Run(script, permits);
  return simulation;
}

template <typename Violated>
bool DetectsMutation(Mutation mutation, size_t permits, Violated violated) {
  constexpr uint64_t kScripts = 100;
  for (uint64_t seed = 1; seed <= kScripts; ++seed) {
    const Script script = AnyScript()(rc::Random(seed), 100).value();
    if (violated(RunScript(script, mutation, permits))) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("no two holders act under the same fencing number") {
  rc::prop("under pauses, lost answers and outages", [] {
    const Script script = *AnyScript();
    const Simulation simulation = RunScript(script, Mutation::kNone, 1);
    RC_CLASSIFY(simulation.acts > 0, "some holder acted");
    RC_ASSERT(!simulation.shared_number);
    RC_ASSERT(!simulation.reversed);
  });
  CHECK(DetectsMutation(
      Mutation::kSameNumber, 1,
      [](const Simulation& simulation) { return simulation.shared_number; }));
  CHECK(DetectsMutation(Mutation::kNoGate, 1, [](const Simulation& simulation) {
    return simulation.reversed;
  }));
}

TEST_CASE("at most two weight-load permits are held at a time") {
  rc::prop("under pauses, lost answers and outages", [] {
    const Script script = *AnyScript();
    RC_ASSERT(!RunScript(script, Mutation::kNone, 2).too_many);
  });
  CHECK(DetectsMutation(
      Mutation::kUnconditionalWrite, 2,
      [](const Simulation& simulation) { return simulation.too_many; }));
}

TEST_CASE(
    "an acquisition whose answer was lost is confirmed by reading it back") {
  const TimePoint now{seconds(1)};
  FakeStore store;
  store.lose_answer = true;
  LeaseKeeper keeper({"lease", "h"});
  REQUIRE(std::holds_alternative<LeaseRead>(*keeper.TakeCommand(now)));
  keeper.OnRead(store.Read("lease"), now);
  const auto write = std::get<LeaseWrite>(*keeper.TakeCommand(now));
  keeper.OnWrite(store.Write("lease", write, Mutation::kNone), now);
  CHECK_FALSE(keeper.FencingNumber(now).has_value());
  REQUIRE(std::holds_alternative<LeaseRead>(*keeper.TakeCommand(now)));
  keeper.OnRead(store.Read("lease"), now);
  CHECK(keeper.FencingNumber(now) == 1);
}

}  // namespace dogwoodlatch
