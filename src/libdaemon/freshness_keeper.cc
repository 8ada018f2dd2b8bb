#include "dogwoodlatch/daemon/freshness_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

#include "dogwoodlatch/daemon/boot_clock.h"
#include "dogwoodlatch/daemon/router_key.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;

// Number of routers that read proofs of freshness for all, and how often they
// are chosen anew.
constexpr size_t kHelpers = 2;
constexpr milliseconds kChoicePeriod{500};

// How long this router may know less than another one before it lists again. It
// exceeds the time for which changes are collected.
constexpr Duration kMaxLag = milliseconds(2500);

uint64_t HashEndpoint(const asio::ip::udp::endpoint& endpoint) {
  const uint64_t key =
      (uint64_t{endpoint.address().to_v4().to_uint()} << 16) | endpoint.port();
  return XXH64(&key, sizeof(key), 0);
}

}  // namespace

FreshnessKeeper::FreshnessKeeper(Duration revocation_bound, PlatformView& view,
                                 Actions actions)
    : view_(view),
      actions_(std::move(actions)),
      asker_(serving::FreshnessPlan::ForRevocationBound(revocation_bound),
             std::random_device{}()),
      targets_lag_(kMaxLag),
      weights_lag_(kMaxLag) {}

void FreshnessKeeper::Tick(const serving::RelayPlan& routers, TimePoint now) {
  if (!view_.configuration()) return;
  ChooseHelpers(routers, now);
  const TimePoint boot_now = BootNow();
  helper_.DropOld(boot_now);
  if (helper_.NeedsRead(boot_now)) {
    Read();
    return;
  }
  const bool has_helper = !is_helper_ && !helpers_.empty();
  switch (
      asker_.NextStep(view_.freshness().Age(boot_now), has_helper, boot_now)) {
    case serving::FreshnessAsker::Step::kNone:
      return;
    case serving::FreshnessAsker::Step::kRead:
      Read();
      return;
    case serving::FreshnessAsker::Step::kAsk:
      Ask(boot_now);
      return;
  }
}

// All routers choose nearly the same helpers, by a hash of their addresses.
void FreshnessKeeper::ChooseHelpers(const serving::RelayPlan& routers,
                                    TimePoint now) {
  if (now < next_choice_ || !self_) return;
  next_choice_ = now + kChoicePeriod;
  std::vector<std::pair<uint64_t, Endpoint>> ranked;
  ranked.emplace_back(HashEndpoint(*self_), *self_);
  for (const auto& [key, member] : routers.members()) {
    const Endpoint router = RouterEndpoint(key);
    ranked.emplace_back(HashEndpoint(router), router);
  }
  std::ranges::sort(ranked);
  ranked.resize(std::min(ranked.size(), kHelpers));
  helpers_.clear();
  is_helper_ = false;
  for (const auto& [hash, router] : ranked) {
    if (router == *self_) {
      is_helper_ = true;
    } else {
      helpers_.push_back(router);
    }
  }
}

// Routers divide themselves among the helpers, and try another one after a
// question without an answer.
void FreshnessKeeper::Ask(TimePoint boot_now) {
  const uint64_t index = HashEndpoint(*self_) + asker_.unanswered();
  actions_.send(helpers_[index % helpers_.size()],
                Encode(FreshnessQuestion{asker_.OnAsk(boot_now)}));
}

void FreshnessKeeper::Read() {
  const TimePoint boot_now = BootNow();
  if (!actions_.read_configuration()) return;
  asker_.OnReadStarted(boot_now);
  helper_.OnReadSent(boot_now);
}

void FreshnessKeeper::OnQuestion(const Endpoint& from,
                                 const FreshnessQuestion& question) {
  helper_.OnQuestion(from, question.nonce, BootNow());
}

// Answers only if the read counts as a proof for this router itself.
void FreshnessKeeper::OnConfigurationRead(TimePoint sent) {
  const auto confirmed_at = view_.freshness().confirmed_at();
  const bool is_proved = confirmed_at && *confirmed_at >= sent;
  if (!is_proved || !view_.configuration()) return;
  FreshnessAnswer answer;
  answer.configuration = view_.configuration()->version();
  answer.era = view_.era().current();
  answer.targets_revision = view_.newest_targets_revision();
  answer.newest_fence = view_.newest_fence();
  for (const auto& question : helper_.TakeAnswered(sent)) {
    answer.nonce = question.nonce;
    actions_.send(question.peer, Encode(answer));
  }
}

void FreshnessKeeper::OnAnswer(const FreshnessAnswer& answer) {
  const auto asked = asker_.OnAnswer(answer.nonce, BootNow());
  const uint64_t era = view_.era().current();
  if (!asked || answer.era < era) return;
  // The next answer of the store shows a new era to this router too. A newer
  // configuration was missed, as the watch for it may have died.
  const bool is_proof =
      answer.era == era &&
      view_.OnPeerProof(answer.configuration, *asked, SteadyNow());
  if (!is_proof) Read();
  if (answer.era == era) FollowPeerState(answer);
}

// A watch on a connection that has silently died misses changes. The newest
// state of another router shows it.
void FreshnessKeeper::FollowPeerState(const FreshnessAnswer& answer) {
  const TimePoint now = SteadyNow();
  if (targets_lag_.OnPeerRevision(view_.newest_targets_revision(),
                                  answer.targets_revision, now)) {
    actions_.list_targets();
  }
  if (weights_lag_.OnPeerRevision(view_.newest_fence(), answer.newest_fence,
                                  now)) {
    actions_.list_weights();
  }
}

}  // namespace dogwoodlatch::daemon
