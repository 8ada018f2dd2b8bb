// Measures how time, bytes and memory grow with pieces, targets and workspaces.
// docs/CAPACITY.md multiplies these slopes by the size that the system is
// designed for.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "bench.h"
#include "dogwoodlatch/cache_index.h"
#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/prefix_key.h"
#include "dogwoodlatch/routing.h"
#include "dogwoodlatch/settings.h"
#include "linear_fit.h"

namespace dogwoodlatch::bench {
namespace {

using std::chrono::nanoseconds;

constexpr int kFastCallRounds = 2000;
constexpr int kSlowCallRounds = 20;
constexpr size_t kPieceBytes = 8192;
constexpr size_t kPieceTokens = 2048;

// Returns the shortest mean time per call over several repetitions.
double NanosecondsPerCall(int rounds, const std::function<void()>& call) {
  constexpr int kRepetitions = 3;
  double best = 0;
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) call();
    const nanoseconds elapsed = std::chrono::steady_clock::now() - start;
    const double mean = static_cast<double>(elapsed.count()) / rounds;
    best = repetition == 0 ? mean : std::min(best, mean);
  }
  return best;
}

// Returns the heap memory that a value returned by `make` occupies while it
// exists.
template <typename Make>
double MeasureHeapBytes(const Make& make) {
  const size_t before = mallinfo2().uordblks;
  const auto value = std::make_unique<decltype(make())>(make());
  return static_cast<double>(mallinfo2().uordblks - before);
}

std::vector<PieceKey> MakeKeys(size_t pieces) {
  std::vector<PieceKey> keys(pieces);
  std::iota(keys.begin(), keys.end(), PieceKey{1} << 60U);
  return keys;
}

VmList MakeVms(size_t targets) {
  VmList list;
  for (size_t i = 0; i < targets; ++i) {
    TargetEntry target;
    target.id.value = "target-" + std::to_string(i);
    target.vm_id = "vm-of-target-" + std::to_string(i);
    target.serves = "assistant";
    target.agent_address = "10.0.0.1:" + std::to_string(i);
    target.failure_domain = "domain-" + std::to_string(i % 9);
    target.region = "region-" + std::to_string(i % 3);
    list.targets.push_back(std::move(target));
  }
  return list;
}

nlohmann::json MakeTeam(size_t workspaces) {
  nlohmann::json team = {{"workspaces", nlohmann::json::object()}};
  for (size_t i = 0; i < workspaces; ++i) {
    const std::string name = "workspace-" + std::to_string(i);
    team["workspaces"][name] = {{"key_sha256", Sha256Hex(name)}, {"share", 2}};
  }
  return team;
}

SettingsSnapshot MakeSnapshot(size_t workspaces) {
  constexpr size_t kWorkspacesPerTeam = 100;
  SettingsSnapshot snapshot;
  for (size_t done = 0; done < workspaces; done += kWorkspacesPerTeam) {
    const std::string name = "team-" + std::to_string(done);
    snapshot.teams[name] = ParseTeam(name, 1, MakeTeam(kWorkspacesPerTeam));
  }
  return snapshot;
}

void PrintMessageSlopes() {
  LinearFit bytes;
  LinearFit time;
  for (const size_t pieces : {size_t{0}, size_t{16}, size_t{64}, size_t{256}}) {
    const Message probe = Probe{1, MakeKeys(pieces)};
    bytes.Add(pieces, static_cast<double>(Encode(probe).size()));
    time.Add(pieces, NanosecondsPerCall(kFastCallRounds,
                                        [&] { (void)Decode(Encode(probe)); }));
  }
  PrintSlope("probe_bytes", "piece", "B", bytes);
  PrintSlope("probe_codec_time", "piece", "ns", time);

  ProbeReply reply;
  reply.incarnation.value = std::string(65, 'f');
  reply.weights_version = "v1";
  PrintFigure("probe_reply_bytes", "B",
              static_cast<double>(Encode(reply).size()));
  PrintFigure("probe_reply_codec_time", "ns",
              NanosecondsPerCall(kFastCallRounds,
                                 [&] { (void)Decode(Encode(reply)); }));
  const Message chunk = Chunk{{std::string(32, 'a')}, 1, 1000, "some words"};
  PrintFigure("chunk_bytes", "B", static_cast<double>(Encode(chunk).size()));
  PrintFigure("chunk_codec_time", "ns",
              NanosecondsPerCall(kFastCallRounds,
                                 [&] { (void)Decode(Encode(chunk)); }));
}

void PrintRoutingSlopes() {
  LinearFit pick;
  LinearFit memory;
  const PromptShape prompt{MakeKeys(50), 100000, kPieceTokens};
  for (const size_t targets :
       {size_t{10}, size_t{45}, size_t{190}, size_t{760}}) {
    const VmList vms = MakeVms(targets);
    const std::vector<const TargetEntry*> serving =
        vms.Serving(RequestKind::kChat, "assistant");
    pick.Add(targets, NanosecondsPerCall(kFastCallRounds / 10, [&] {
               (void)PickCandidates(serving, prompt, {});
             }));
    memory.Add(targets,
               MeasureHeapBytes([targets] { return MakeVms(targets); }));
  }
  PrintSlope("pick_candidates_time", "target", "ns", pick);
  PrintSlope("vm_list_memory", "target", "B", memory);
}

void PrintSettingsSlopes() {
  LinearFit memory;
  LinearFit copy;
  LinearFit lookup;
  LinearFit parse;
  LinearFit object_bytes;
  for (const size_t workspaces :
       {size_t{100}, size_t{1000}, size_t{5000}, size_t{11000}}) {
    const SettingsSnapshot snapshot = MakeSnapshot(workspaces);
    memory.Add(workspaces, MeasureHeapBytes([workspaces] {
                 return MakeSnapshot(workspaces);
               }));
    copy.Add(workspaces, NanosecondsPerCall(kSlowCallRounds, [&] {
               const auto next = std::make_unique<SettingsSnapshot>(snapshot);
             }));
    const std::string digest = Sha256Hex("nobody");
    lookup.Add(workspaces, NanosecondsPerCall(kSlowCallRounds, [&] {
                 (void)snapshot.FindWorkspaceByKey(digest);
               }));
  }
  for (const size_t workspaces : {size_t{10}, size_t{100}, size_t{400}}) {
    const nlohmann::json team = MakeTeam(workspaces);
    object_bytes.Add(workspaces, static_cast<double>(team.dump().size()));
    parse.Add(workspaces, NanosecondsPerCall(kSlowCallRounds, [&] {
                (void)FindTeamFaults(team, "team");
                (void)ParseTeam("team", 1, team);
              }));
  }
  PrintSlope("settings_memory", "workspace", "B", memory);
  PrintSlope("settings_copy_time", "workspace", "ns", copy);
  PrintSlope("workspace_lookup_time", "workspace", "ns", lookup);
  PrintSlope("team_check_and_parse_time", "workspace", "ns", parse);
  PrintSlope("team_object_bytes", "workspace", "B", object_bytes);
}

void PrintKeyingSlope() {
  LinearFit time;
  for (const size_t pieces : {size_t{4}, size_t{16}, size_t{49}}) {
    const std::string prompt(pieces * kPieceBytes, 'x');
    time.Add(pieces, NanosecondsPerCall(kFastCallRounds, [&] {
               (void)ChainPieceKeys({"w"}, "m", prompt, kPieceBytes);
             }));
  }
  PrintSlope("keying_time", "piece", "ns", time);
}

CacheNotice MakeNotice(uint64_t sequence, size_t pieces) {
  CacheNotice notice{sequence, CacheChange::kStored, {}, ""};
  notice.run_id = std::to_string(sequence);
  for (size_t i = 0; i < pieces; ++i) {
    notice.blocks.push_back((sequence << 20U) + i);
  }
  return notice;
}

// Builds an index from `notices` prompts of kPiecesPerPrompt pieces each.
CacheIndex MakeIndex(size_t notices) {
  constexpr size_t kPiecesPerPrompt = 50;
  const CacheEpoch epoch{"boot", "v1"};
  CacheIndex index;
  index.Apply(epoch, {});
  for (uint64_t sequence = 1; sequence <= notices; ++sequence) {
    const CacheNotice notice = MakeNotice(sequence, kPiecesPerPrompt);
    index.OnQueued(notice.run_id, notice.blocks);
    index.OnSubmitted(notice.run_id);
    index.Apply(epoch, std::span(&notice, 1));
    index.OnEnded(notice.run_id);
  }
  return index;
}

void PrintCacheIndexSlopes() {
  LinearFit memory;
  size_t blocks = 0;
  for (const size_t notices : {size_t{1100}, size_t{1500}, size_t{2000}}) {
    blocks = MakeIndex(notices).size();
    memory.Add(blocks,
               MeasureHeapBytes([notices] { return MakeIndex(notices); }));
  }
  PrintSlope("cache_index_memory", "block", "B", memory);
  constexpr size_t kTimedNotices = 2000;
  PrintFigure("cache_event_time", "ns", NanosecondsPerCall(1, [] {
                                          (void)MakeIndex(kTimedNotices);
                                        }) / static_cast<double>(blocks));
}

}  // namespace

int RunSlopesBench(std::span<const std::string>) {
  PrintKeyingSlope();
  PrintMessageSlopes();
  PrintRoutingSlopes();
  PrintCacheIndexSlopes();
  PrintSettingsSlopes();
  return 0;
}

}  // namespace dogwoodlatch::bench
