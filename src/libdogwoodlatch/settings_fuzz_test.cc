// Drives the real decision code with daemons, operators and a fake platform on
// one virtual clock, by scripts of faults and writes. Each property is also
// shown to fail on a deliberately broken variant.

#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "dogwoodlatch/settings_rules.h"
#include "dogwoodlatch/settings_sync.h"
#include "dogwoodlatch/settings_write.h"
#include "settings_fuzz_platform.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::FakePlatform;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kTimeout = seconds(1);
constexpr Duration kInForceWithin = seconds(7);
constexpr std::array<const char*, 3> kTeams = {"a", "b", "c"};

// Deliberate faults in the code under test.
enum class Mutation {
  kNone,
  kAdoptAnyVersion,   // a daemon discards its state before each list
  kNoPeers,           // a starting daemon does not ask its peers
  kNoBackOffBound,    // retry pauses grow without bound
  kNoOlderVersions,   // a conflict is decided without older versions
  kUnconditionalPut,  // an operator's write overwrites any version
};

std::string SettingsPath(const char* team) {
  return std::string("settings/") + team;
}

// The version of one team that is in force.
struct InForce {
  uint64_t version = 0;
  bool deleted = false;

  // Having nothing in force (version 0) is not below a deletion: a daemon that
  // never saw the object reports version 0.
  bool IsBelow(const InForce& other) const {
    return version < other.version && !(version == 0 && other.deleted);
  }
};
using InForceMap = std::map<std::string, InForce>;

void MergeInForce(const SettingsReplica& replica, InForceMap& in_force) {
  for (const ObjectChange& change : replica.ExportInForce()) {
    InForce& entry = in_force[TeamFromPath(change.object.path)];
    if (change.object.version < entry.version) continue;
    entry = {change.object.version, change.deleted};
  }
}

struct Daemon {
  std::unique_ptr<SettingsSync> sync;
  std::optional<WatchCall> call;
  TimePoint call_sent_at;
  bool paused = false;
  TimePoint undisturbed_since;
  InForceMap in_force;
  InForceMap floor;  // versions in force must not go below these
};

struct Operator {
  std::string team;
  std::optional<SettingsWrite> write;
  std::string key;
};

struct Accepted {
  std::string team;
  uint64_t version = 0;
  std::string key;
  TimePoint at;
};

// The faults that a run applies besides operators' writes.
struct Faults {
  bool outages = false;
  bool restores = false;
  bool restarts = false;
  bool foreign_writes = false;  // objects written without the client's checks
};

class Simulation {
 public:
  Simulation(Mutation mutation, Faults faults)
      : mutation_(mutation), faults_(faults) {
    for (Daemon& daemon : daemons_) Start(daemon, true);
    operators_ = {{{"a", {}, ""}, {"a", {}, ""}, {"b", {}, ""}}};
  }

  void Run(const std::vector<int>& script) {
    for (const int code : script) {
      Step(code % 16, code / 16 % 8, code / 128);
      Advance(milliseconds(50 * (code / 1024 % 40)));
    }
    platform_.down = false;
    platform_.stale_reads = 0;
    for (Daemon& daemon : daemons_) daemon.paused = false;
    MarkDisturbed();
    Advance(seconds(10));
    CheckEndState();
  }

  bool decreased = false;    // a version in force decreased
  bool late = false;         // an accepted change was not in force in time
  bool lost_change = false;  // an accepted change was lost
  bool diverged = false;     // daemons ended with different versions in force
  uint64_t accepted_count() const { return accepted_.size(); }

 private:
  void Step(int kind, int which, int detail) {
    Daemon& daemon = daemons_[which % daemons_.size()];
    const std::string path = SettingsPath(kTeams[which % kTeams.size()]);
    if (kind < 7) return Operate(operators_[which % operators_.size()], detail);
    if (kind == 7) platform_.lose_answers = 1;
    if (kind == 8) {
      platform_.stale_reads = 1;
      platform_.stale_revision = platform_.revision() / 2;
    }
    if (kind == 9) platform_.Compact();
    if (kind == 10 && faults_.outages) SetDown(!platform_.down);
    if (kind == 11 && faults_.restarts) Start(daemon, false);
    if (kind == 12 && faults_.restores && !platform_.down) {
      platform_.Restore(platform_.revision() - platform_.revision() / 3);
    }
    if (kind == 13 && faults_.foreign_writes) WriteUnchecked(path, detail);
    if (kind == 14 && faults_.restarts) {
      daemon.paused = !daemon.paused;
      daemon.undisturbed_since = now_;
    }
    if (kind == 15 && faults_.foreign_writes && detail % 4 == 0) {
      Delete(kTeams[which % kTeams.size()]);
    }
  }

  // A deletion puts the team's earlier changes out of force.
  void Delete(const char* team) {
    if (platform_.VersionOf(SettingsPath(team)) == 0) return;
    platform_.Append(SettingsPath(team), {}, true);
    std::erase_if(accepted_, [team](const Accepted& change) {
      return change.team == team;
    });
  }

  void SetDown(bool down) {
    platform_.down = down;
    MarkDisturbed();
  }

  void MarkDisturbed() {
    for (Daemon& daemon : daemons_) daemon.undisturbed_since = now_;
  }

  // Starts a daemon: it asks its peers, then lists.
  void Start(Daemon& daemon, bool first) {
    WatchLoopOptions options;
    if (mutation_ == Mutation::kNoBackOffBound) {
      options.longest_retry_pause = seconds(1000);
    }
    InForceMap reachable;
    if (!platform_.down) MergeInForce(platform_.ReferenceReplica(), reachable);
    const bool asks = !first && mutation_ != Mutation::kNoPeers;
    daemon.sync =
        std::make_unique<SettingsSync>(options, std::vector<std::string>{},
                                       asks, std::mt19937_64(++seed_), now_);
    daemon.call.reset();
    daemon.paused = false;
    daemon.undisturbed_since = now_;
    for (const Daemon& peer : daemons_) {
      if (&peer == &daemon || !peer.sync || !peer.sync->is_ready()) continue;
      MergeInForce(peer.sync->settings(), reachable);
      if (asks) daemon.sync->OnPeerSnapshot(peer.sync->ExportSnapshot(), now_);
    }
    if (asks) daemon.sync->OnPeersAsked(now_);
    for (auto& [team, floor] : daemon.floor) {
      if (reachable[team].version < floor.version) floor = reachable[team];
    }
  }

  // Makes one call of an operator's write, or starts the next write.
  void Operate(Operator& op, int detail) {
    if (!op.write) return StartWrite(op, detail);
    const std::string path = SettingsPath(op.team.c_str());
    if (const auto* put = std::get_if<PutCommand>(&PendingCommand(op))) {
      const bool blind = mutation_ == Mutation::kUnconditionalPut;
      const uint64_t expected =
          blind ? platform_.VersionOf(path) : put->expected_version;
      op.write->OnPut(platform_.Put(path, ours_[op.key], expected));
    } else if (platform_.down) {
      op.write->OnHistory(Error{ErrorCode::kUnavailable, path, ""});
    } else {
      op.write->OnHistory(platform_.History(path));
    }
    if (op.write->result()) RecordResult(op);
  }

  WriteCommand& PendingCommand(Operator& op) {
    command_ = op.write->command();
    return command_;
  }

  void StartWrite(Operator& op, int detail) {
    if (platform_.down) return;
    const std::string path = SettingsPath(op.team.c_str());
    PlatformObject base{path, platform_.VersionOf(path), Json::object()};
    if (base.version != 0) base.value = platform_.ValueOf(path);
    Json ours = base.value;
    op.key = "key" + std::to_string(++keys_);
    ours["models"][op.key] = Json::object();
    // Sometimes two teams define the same name.
    if (detail % 8 == 0) ours["services"]["shared"] = Json::object();
    if (detail % 8 == 1) ours.erase("services");
    const SettingsSnapshot in_force = platform_.ReferenceReplica().Snapshot();
    if (!FindSettingsFaults(op.team, ours, in_force).empty()) return;
    ours_[op.key] = ours;
    op.write.emplace(base, platform_.revision(), ours);
  }

  // Records a change as accepted if it was written and is in force by the rules
  // between teams.
  void RecordResult(Operator& op) {
    const auto* accepted = std::get_if<WriteAccepted>(&*op.write->result());
    if (accepted != nullptr) {
      const auto status = platform_.ReferenceReplica().Status();
      const auto team = status.find(op.team);
      const bool in_force =
          team != status.end() && team->second.in_force >= accepted->version;
      // A change that was deleted before its answer was read back is not in
      // force.
      if (in_force && platform_.VersionOf(SettingsPath(op.team.c_str())) != 0) {
        accepted_.push_back({op.team, accepted->version, op.key, now_});
      }
    }
    op.write.reset();
  }

  // Writes the current object with an added fault, an added name that another
  // team may own, or the fault removed.
  void WriteUnchecked(const std::string& path, int detail) {
    if (platform_.down) return;
    const bool exists = platform_.VersionOf(path) != 0;
    Json value = exists ? platform_.ValueOf(path) : Json::object();
    if (detail % 3 == 0) value["no_such_key"] = 1;
    if (detail % 3 == 1) value["services"]["shared"] = Json::object();
    if (detail % 3 == 2) value.erase("no_such_key");
    platform_.Append(path, value, false);
  }

  void Advance(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      now_ += kTick;
      for (Daemon& daemon : daemons_) {
        if (!daemon.paused) DriveDaemon(daemon);
      }
      std::ranges::for_each(daemons_,
                            [this](Daemon& d) { CheckAcceptedInForce(d); });
    }
  }

  void DriveDaemon(Daemon& daemon) {
    if (daemon.call) AnswerCall(daemon);
    if (daemon.call) return;
    CheckNoDecrease(daemon);
    daemon.call = daemon.sync->TakeCall(now_);
    daemon.call_sent_at = now_;
  }

  void AnswerCall(Daemon& daemon) {
    const WatchCall call = *daemon.call;
    SettingsSync& sync = *daemon.sync;
    const Duration waited = now_ - daemon.call_sent_at;
    if (platform_.down) {
      if (waited < kTimeout) return;
      daemon.call.reset();
      sync.OnFailure(ErrorCode::kUnavailable, now_);
      return;
    }
    if (call.kind == WatchCall::Kind::kWatch) {
      const Result<ChangeList> changes = platform_.Watch(call.revision);
      if (changes && changes.value().changes.empty() && waited < call.wait) {
        return;
      }
      daemon.call.reset();
      if (changes) {
        sync.OnWatch(changes.value(), now_);
      } else {
        sync.OnFailure(changes.error().code, now_);
      }
      return;
    }
    daemon.call.reset();
    if (call.kind == WatchCall::Kind::kHistory) {
      ObjectHistory history = platform_.History(call.path);
      if (mutation_ == Mutation::kNoOlderVersions && !history.empty()) {
        history.erase(history.begin(), history.end() - 1);
      }
      sync.OnHistory(call.path, history, now_);
      return;
    }
    if (mutation_ == Mutation::kAdoptAnyVersion) {
      daemon.sync = std::make_unique<SettingsSync>(
          WatchLoopOptions{}, std::vector<std::string>{}, false,
          std::mt19937_64(++seed_), now_);
      (void)daemon.sync->TakeCall(now_ + seconds(1));
      daemon.sync->OnList(platform_.List(), now_);
      return;
    }
    sync.OnList(platform_.List(), now_);
  }

  void CheckNoDecrease(Daemon& daemon) {
    if (!daemon.sync->is_ready()) return;
    daemon.in_force.clear();
    MergeInForce(daemon.sync->settings(), daemon.in_force);
    InForceMap platform;
    MergeInForce(platform_.ReferenceReplica(), platform);
    for (auto& [team, floor] : daemon.floor) {
      // A daemon that starts after a deletion sees no object.
      const InForce& there = platform[team];
      floor.deleted |= there.deleted && there.version > floor.version;
      decreased |= daemon.in_force[team].IsBelow(floor);
    }
    daemon.floor = daemon.in_force;
  }

  void CheckAcceptedInForce(Daemon& daemon) {
    if (platform_.down || daemon.paused) return;
    for (const Accepted& change : accepted_) {
      const TimePoint due =
          std::max(change.at, daemon.undisturbed_since) + kInForceWithin;
      if (now_ < due) continue;
      late |= !daemon.sync->is_ready() ||
              daemon.in_force[change.team].version < change.version;
    }
  }

  void CheckEndState() {
    for (const Accepted& change : accepted_) {
      const Json value = platform_.ValueOf(SettingsPath(change.team.c_str()));
      lost_change |= !value.is_object() || !value.contains("models") ||
                     !value["models"].contains(change.key);
    }
    for (const Daemon& daemon : daemons_) {
      late |= !daemon.sync->is_ready();
      const SettingsSnapshot mine = daemon.sync->settings().Snapshot();
      const SettingsSnapshot all = platform_.ReferenceReplica().Snapshot();
      diverged |= !std::ranges::equal(
          mine.teams, all.teams, {},
          [](const auto& entry) { return entry.second.version; },
          [](const auto& entry) { return entry.second.version; });
    }
  }

  Mutation mutation_;
  Faults faults_;
  FakePlatform platform_;
  TimePoint now_{seconds(1)};
  uint64_t seed_ = 0;
  int keys_ = 0;
  std::array<Daemon, 3> daemons_;
  std::array<Operator, 3> operators_;
  std::map<std::string, Json> ours_;
  WriteCommand command_;
  std::vector<Accepted> accepted_;
};

using Script = std::vector<int>;

rc::Gen<Script> AnyScript() {
  return rc::gen::container<Script>(40, rc::gen::inRange(0, 1 << 20));
}

Simulation RunScript(const Script& script, Mutation mutation, Faults faults) {
  Simulation simulation(mutation, faults);
  simulation.Run(script);
  return simulation;
}

// Whether the property fails under the mutation for some script.
template <typename Violated>
bool DetectsMutation(Mutation mutation, Faults faults, Violated violated) {
  constexpr uint64_t kScripts = 60;
  for (uint64_t seed = 1; seed <= kScripts; ++seed) {
    const Script script = AnyScript()(rc::Random(seed), 100).value();
    if (violated(RunScript(script, mutation, faults))) return true;
  }
  return false;
}

constexpr Faults kEverything{true, true, true, true};
constexpr Faults kNoRestore{true, false, true, true};
constexpr Faults kOnlyOutages{true, false, true, false};

}  // namespace

TEST_CASE("no version in force decreases while a reachable process knows it") {
  rc::prop("under outages, restores, stale replicas, restarts and pauses", [] {
    const Script script = *AnyScript();
    RC_ASSERT(!RunScript(script, Mutation::kNone, kEverything).decreased);
  });
  const auto violated = [](const Simulation& simulation) {
    return simulation.decreased;
  };
  CHECK(DetectsMutation(Mutation::kAdoptAnyVersion, kEverything, violated));
  CHECK(DetectsMutation(Mutation::kNoPeers, kEverything, violated));
}

TEST_CASE("an accepted change is in force everywhere within 7 s") {
  rc::prop("outside and after outages", [] {
    const Script script = *AnyScript();
    const Simulation simulation =
        RunScript(script, Mutation::kNone, kNoRestore);
    RC_CLASSIFY(simulation.accepted_count() > 0, "some change accepted");
    RC_ASSERT(!simulation.late);
  });
  const auto violated = [](const Simulation& simulation) {
    return simulation.late;
  };
  CHECK(DetectsMutation(Mutation::kNoBackOffBound, kNoRestore, violated));
}

TEST_CASE("all daemons end with the same versions in force") {
  rc::prop("whichever changes each saw and whenever it started", [] {
    const Script script = *AnyScript();
    RC_ASSERT(!RunScript(script, Mutation::kNone, kNoRestore).diverged);
  });
  const auto violated = [](const Simulation& simulation) {
    return simulation.diverged;
  };
  CHECK(DetectsMutation(Mutation::kNoOlderVersions, kNoRestore, violated));
}

TEST_CASE("concurrent operators lose no accepted change") {
  rc::prop("also if answers are lost", [] {
    const Script script = *AnyScript();
    RC_ASSERT(!RunScript(script, Mutation::kNone, kOnlyOutages).lost_change);
  });
  const auto violated = [](const Simulation& simulation) {
    return simulation.lost_change;
  };
  CHECK(DetectsMutation(Mutation::kUnconditionalPut, kOnlyOutages, violated));
}

}  // namespace dogwoodlatch
