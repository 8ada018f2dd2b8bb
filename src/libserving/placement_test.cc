#include "dogwoodlatch/serving/placement.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dogwoodlatch/testing/virtual_time.h"

namespace dogwoodlatch::serving {
namespace {

using std::chrono::milliseconds;

Fleet::TargetPtr MakeTarget(int number, uint64_t weights = 1,
                            std::string domain = "a") {
  auto target = std::make_shared<Target>();
  target->record.id = "t" + std::to_string(number);
  target->record.address = "10.0.0." + std::to_string(number) + ":80";
  target->record.failure_domain = std::move(domain);
  target->record.slots = 6;
  if (weights > 0) target->record.weights["m"] = weights;
  return target;
}

std::vector<Fleet::TargetPtr> MakeTargets(int count, uint64_t weights = 1) {
  std::vector<Fleet::TargetPtr> targets;
  for (int i = 1; i <= count; ++i) targets.push_back(MakeTarget(i, weights));
  return targets;
}

// A prompt with a part that all requests share, one that the requests on a
// subject share, and one of its own.
Prompt MakePrompt(uint64_t subject, uint64_t request) {
  return {.model = "m",
          .input_tokens = 12000,
          .max_output_tokens = 80,
          .parts = {{1, 500}, {subject, 4900}, {request, 6600}}};
}

}  // namespace

TEST_CASE("all routers send a subject to the same home target") {
  const auto targets = MakeTargets(9);
  const PlacementPolicy here("a");
  const PlacementPolicy there("a");
  std::set<std::string> homes;
  for (uint64_t subject = 100; subject < 200; ++subject) {
    const Prompt first = MakePrompt(subject, 1);
    const Prompt second = MakePrompt(subject, 2);
    const auto home = here.Choose(targets, {.prompt = &first}, At(0));
    const auto again = there.Choose(targets, {.prompt = &second}, At(0));
    CHECK(home->target == again->target);
    homes.insert(home->target->record.id);
  }
  CHECK(homes.size() == 9);
}

// One subject gets a large share of the traffic.
TEST_CASE("a hot subject spreads and other targets fetch its cached parts") {
  const auto targets = MakeTargets(4);
  const PlacementPolicy policy("a");
  std::map<std::string, int> sent;
  for (uint64_t request = 1; request <= 40; ++request) {
    const Prompt prompt = MakePrompt(7, 1000 + request);
    const auto placement = policy.Choose(targets, {.prompt = &prompt}, At(0));
    REQUIRE(placement);
    CHECK(placement->fetch_from != placement->target->record.address);
    CHECK_FALSE(placement->fetch_from.empty());
    if (request > 1) CHECK(placement->missing_tokens == 6600);
    ++sent[placement->target->record.id];
    placement->target->signals.OnSent(At(0), placement->prefill);
    for (const uint64_t part : SharedPartKeys(prompt, placement->cache_group)) {
      placement->target->signals.OnPartUsed(part, At(0));
    }
  }
  CHECK(sent.size() == 4);
  for (const auto& [id, count] : sent) CHECK(count <= 13);
}

// Weights change during traffic.
TEST_CASE("targets on new weights are preferred once the change is overdue") {
  auto targets = MakeTargets(3, 1);
  targets.push_back(MakeTarget(4, 2));
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const PlacementRequest overdue{
      .prompt = &prompt, .newest_weights = 2, .weights_overdue = true};
  const auto preferred = policy.Choose(targets, overdue, At(0));
  CHECK(preferred->weights == 2);
  CHECK(preferred->cache_group == CacheGroupName(2, ""));
  CHECK(preferred->fetch_from.empty());

  targets[3]->signals.OnSent(At(0), milliseconds(900));
  CHECK(policy.Choose(targets, overdue, At(0))->weights == 1);

  const PlacementRequest expired{
      .prompt = &prompt, .newest_weights = 2, .oldest_weights = 2};
  CHECK(policy.Choose(targets, expired, At(0))->weights == 2);
  targets.pop_back();
  CHECK_FALSE(policy.Choose(targets, expired, At(0)).has_value());
}

TEST_CASE("weights versions and cache scopes share no cache group") {
  CHECK(CacheGroupName(1, "") != CacheGroupName(2, ""));
  CHECK(CacheGroupName(1, "") != CacheGroupName(1, "/north"));
  CHECK(CacheGroupName(1, "/north") != CacheGroupName(1, "/south"));
  const PromptPart part{9, 100};
  CHECK(PartKey(part, "w1") != PartKey(part, "w2"));
}

TEST_CASE("parts that peers may have evicted are fetched from the store") {
  const auto targets = MakeTargets(2);
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const auto keys = SharedPartKeys(prompt, CacheGroupName(1, ""));
  SavedParts saved;
  saved.SetCapacity(1000000);
  const PlacementRequest request{
      .prompt = &prompt, .cache_store = "10.9.9.9:1", .saved_parts = &saved};
  const Fleet::TargetPtr home = policy.Choose(targets, request, At(0))->target;
  const Fleet::TargetPtr other = home == targets[0] ? targets[1] : targets[0];
  saved.OnSaved({keys.back(), 6000}, At(0));
  other->signals.OnPartUsed(keys.back(), At(0));
  CHECK(policy.Choose(targets, request, At(1000))->fetch_from ==
        other->record.address);
  CHECK(policy.Choose(targets, request, At(5000))->fetch_from == "10.9.9.9:1");
  CHECK(policy.Choose(targets, request, At(5000))->missing_tokens == 6600);
}

// A quarter of the targets is down and the memory of the others is full. Guards
// against placement by prefill time alone: requests then waited for memory at
// targets with short prefill, and cached parts were evicted within half a
// second.
TEST_CASE("a prompt is sent to a target with free memory") {
  const auto targets = MakeTargets(2);
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const PlacementRequest request{.prompt = &prompt};
  const auto home = policy.Choose(targets, request, At(0));
  const LoadReport full{.memory_used = 173000, .memory_total = 173918};
  const LoadReport half{.memory_used = 87000, .memory_total = 173918};
  home->target->signals.OnReport(full, At(0));
  const auto other = policy.Choose(targets, request, At(0));
  CHECK(other->target != home->target);
  CHECK(other->backlog == Duration{0});
  other->target->signals.OnReport(half, At(0));
  CHECK(policy.Choose(targets, request, At(0))->target == other->target);
  other->target->signals.OnReport(full, At(0));
  const auto late = policy.Choose(targets, request, At(0));
  CHECK(late->target == home->target);
  CHECK(late->backlog > milliseconds(80));
}

TEST_CASE("prompts waiting for prefill count as used memory") {
  const auto targets = MakeTargets(1);
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const LoadReport full{.memory_used = 173000, .memory_total = 173918};
  targets[0]->signals.OnReport(full, At(0));
  CHECK(policy.Choose(targets, {.prompt = &prompt}, At(0))->backlog <
        milliseconds(100));
  targets[0]->signals.OnSent(At(0), milliseconds(100));
  CHECK(policy.Choose(targets, {.prompt = &prompt}, At(0))->backlog >
        milliseconds(200));
}

// Guards against requests that are sent to a VM that stands still, as the runs
// that it had have ended and the target looks idle.
TEST_CASE("no request is sent to a VM that does not answer") {
  const auto targets = MakeTargets(2);
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const auto home = policy.Choose(targets, {.prompt = &prompt}, At(0))->target;
  home->signals.vm().OnProbeAnswered(At(0));
  home->signals.vm().OnProbeSent(At(100));
  CHECK(policy.Choose(targets, {.prompt = &prompt}, At(299))->target == home);
  CHECK(policy.Choose(targets, {.prompt = &prompt}, At(300))->target != home);
  CHECK_FALSE(policy.Choose({&home, 1}, {.prompt = &prompt}, At(300)));
  home->signals.vm().OnHeard(At(301));
  CHECK(policy.Choose(targets, {.prompt = &prompt}, At(302))->target == home);
}

// The same cause elsewhere: a target that fetches parts from a VM that stands
// still waits for it.
TEST_CASE("no parts are fetched from a VM that does not answer") {
  const auto targets = MakeTargets(3);
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const auto keys = SharedPartKeys(prompt, CacheGroupName(1, ""));
  targets[0]->signals.OnPartUsed(keys.back(), At(0));
  targets[1]->signals.OnPartUsed(keys.back(), At(50));
  targets[1]->signals.vm().OnProbeAnswered(At(50));
  targets[1]->signals.vm().OnProbeSent(At(100));
  const PlacementRequest request{.prompt = &prompt};
  const auto source = [&](TimePoint now) {
    const auto placement = policy.Choose(targets, request, now);
    return placement->target == targets[1] ? placement->target->record.address
                                           : placement->fetch_from;
  };
  CHECK(source(At(200)) == targets[1]->record.address);
  CHECK(source(At(300)) != targets[1]->record.address);
}

TEST_CASE("no parts are fetched from a target with full memory") {
  const auto targets = MakeTargets(2);
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const auto keys = SharedPartKeys(prompt, CacheGroupName(1, ""));
  SavedParts saved;
  saved.SetCapacity(1000000);
  saved.OnSaved({keys.back(), 6000}, At(0));
  const PlacementRequest request{
      .prompt = &prompt, .cache_store = "10.9.9.9:1", .saved_parts = &saved};
  const Fleet::TargetPtr home = policy.Choose(targets, request, At(0))->target;
  const Fleet::TargetPtr other = home == targets[0] ? targets[1] : targets[0];
  other->signals.OnPartUsed(keys.back(), At(500));
  for (const int64_t used : {40000, 160000}) {
    other->signals.OnReport({.memory_used = used, .memory_total = 173918},
                            At(1000));
    const bool is_kept = used == 40000;
    CHECK(policy.Choose(targets, request, At(1000))->fetch_from ==
          (is_kept ? other->record.address : "10.9.9.9:1"));
  }
}

// New weights are named under load. Guards against sending every request to the
// first target that has them: its wait became too long and 169 requests were
// rejected, while targets on older weights could have answered in time.
TEST_CASE(
    "a target that is in time is preferred to a late one on newer weights") {
  const std::vector<Fleet::TargetPtr> targets = {MakeTarget(1, 2),
                                                 MakeTarget(2, 3)};
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const PlacementRequest request{.prompt = &prompt,
                                 .newest_weights = 3,
                                 .weights_overdue = true,
                                 .max_queue_wait = milliseconds(300)};
  targets[0]->signals.OnSent(At(0), milliseconds(220));
  targets[1]->signals.OnSent(At(0), milliseconds(290));
  CHECK(policy.Choose(targets, request, At(0))->target == targets[1]);
  targets[1]->signals.OnSent(At(0), milliseconds(30));
  CHECK(policy.Choose(targets, request, At(0))->target == targets[0]);
  targets[0]->signals.OnReport({.is_draining = true}, At(0));
  CHECK(policy.Choose(targets, request, At(0))->target == targets[1]);
}

TEST_CASE("loading and avoided targets are a last resort") {
  const auto targets = MakeTargets(2, 0);
  const PlacementPolicy policy("a");
  targets[0]->signals.OnReport({.is_loading = true}, At(0));
  CHECK(policy.Choose(targets, {}, At(0))->target == targets[1]);
  targets[1]->signals.OnUnreachable(At(0));
  CHECK(policy.Choose(targets, {}, At(0)).has_value());
  const std::vector<std::string> tried = {"t1", "t2"};
  CHECK_FALSE(policy.Choose(targets, {.tried = tried}, At(0)).has_value());
}

TEST_CASE("plain requests stay in their failure domain until it is busy") {
  const std::vector<Fleet::TargetPtr> targets = {MakeTarget(1, 0, "a"),
                                                 MakeTarget(2, 0, "b")};
  const PlacementPolicy policy("b");
  CHECK(policy.Choose(targets, {}, At(0))->target == targets[1]);
  for (int i = 0; i < 6; ++i) {
    targets[1]->signals.OnSent(At(0), milliseconds(0));
  }
  CHECK(policy.Choose(targets, {}, At(0))->target == targets[0]);
}

TEST_CASE("a target that fails more than its peers gets fewer requests") {
  const auto targets = MakeTargets(2, 0);
  const PlacementPolicy policy("a");
  const Fleet::TargetPtr first = policy.Choose(targets, {}, At(0))->target;
  for (int i = 0; i < 20; ++i) first->signals.OnOutcome(true);
  CHECK(policy.Choose(targets, {}, At(0))->target != first);
}

TEST_CASE("a target that pushes back gets nothing, even as the last one") {
  const auto targets = MakeTargets(2, 0);
  const PlacementPolicy policy("a");
  targets[0]->signals.OnPushback(milliseconds(1000), At(0));
  for (int i = 0; i < 20; ++i) {
    CHECK(policy.Choose(targets, {}, At(500))->target == targets[1]);
  }
  targets[1]->signals.OnPushback(milliseconds(1000), At(0));
  CHECK_FALSE(policy.Choose(targets, {}, At(500)));
  CHECK(policy.Choose(targets, {}, At(1000)));
}

// Guards against the retries of a crash that all go to one target: a request
// counted as load only once its connection had been made.
TEST_CASE("requests that wait for a connection count as load") {
  for (const uint64_t weights : {0, 1}) {
    const auto targets = MakeTargets(4, weights);
    const PlacementPolicy policy("a");
    const Prompt prompt = MakePrompt(7, 1);
    const PlacementRequest request{.prompt = weights > 0 ? &prompt : nullptr};
    std::map<std::string, int> placed;
    std::vector<Placement> placements;
    for (int i = 0; i < 24; ++i) {
      placements.push_back(*policy.Choose(targets, request, At(0)));
      ++placed[placements.back().target->record.id];
      placements.back().target->signals.OnPlaced(placements.back().prefill);
    }
    CHECK(placed.size() == 4);
    for (const auto& [id, count] : placed) CHECK(count <= 9);
    for (const Placement& placement : placements) {
      placement.target->signals.OnPlacementEnded(placement.prefill);
    }
    for (const auto& target : targets) {
      CHECK(target->signals.load() == 0);
      CHECK(target->signals.TotalBacklog(At(0)) == Duration{0});
    }
  }
}

// Guards against resumed streams that are taken for shorter than they are: the
// answer so far has to be prefilled too.
TEST_CASE("the answer so far counts as missing when a stream is resumed") {
  const auto targets = MakeTargets(2);
  const PlacementPolicy policy("a");
  const Prompt prompt = MakePrompt(7, 1);
  const auto fresh = policy.Choose(targets, {.prompt = &prompt}, At(0));
  const auto resumed = policy.Choose(
      targets, {.prompt = &prompt, .answered_tokens = 700}, At(0));
  CHECK(resumed->missing_tokens == fresh->missing_tokens + 700);
  CHECK(resumed->prefill > fresh->prefill);
  CHECK(resumed->estimate > fresh->estimate);
}

}  // namespace dogwoodlatch::serving
