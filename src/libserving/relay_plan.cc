#include "dogwoodlatch/serving/relay_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace dogwoodlatch::serving {
namespace {

// Bytes that a message takes in a batch besides its own: its sender and length.
constexpr size_t kMessageOverhead = 13;

// Bounds the memory when datagrams list routers that do not exist.
constexpr size_t kMaxMembers = 2048;

}  // namespace

DomainKey MakeDomainKey(std::string_view failure_domain) {
  if (failure_domain.empty()) return 0;
  const uint32_t hash = XXH32(failure_domain.data(), failure_domain.size(), 0);
  return std::max<DomainKey>(hash, 1);
}

void RelayPlan::OnListed(uint64_t member, DomainKey domain, TimePoint now) {
  if (members_.size() >= kMaxMembers && !members_.contains(member)) return;
  const auto [entry, is_new] = members_.try_emplace(member);
  entry->second.listed = now;
  if (is_new) entry->second.since = now;
  if (is_new || (domain != 0 && domain != entry->second.domain)) {
    entry->second.domain = domain;
    is_grouped_ = false;
  }
}

void RelayPlan::OnHeard(uint64_t member, TimePoint now) {
  const auto found = members_.find(member);
  if (found != members_.end()) found->second.heard = now;
}

void RelayPlan::DropOld(Duration lifetime, TimePoint now) {
  const size_t dropped = std::erase_if(members_, [&](const auto& entry) {
    return now - std::max(entry.second.listed, entry.second.heard) > lifetime;
  });
  if (dropped > 0) is_grouped_ = false;
}

RelayPlan::Recipients RelayPlan::Next(TimePoint now) {
  if (!is_grouped_) GroupByDomain();
  Recipients recipients;
  for (auto& [key, domain] : domains_) {
    if (key == own_domain_ || key == 0) {
      std::ranges::copy(domain.members, std::back_inserter(recipients.direct));
    } else {
      recipients.forwarders.push_back(NextForwarder(domain, now));
    }
  }
  return recipients;
}

// Until the first message of a member has arrived, nothing tells it from one
// that is silent, so a domain of which nothing was heard is tried in turn.
uint64_t RelayPlan::NextForwarder(Domain& domain, TimePoint now) const {
  const size_t count = domain.members.size();
  const size_t first = domain.next % count;
  for (size_t step = 0; step < count; ++step) {
    const size_t index = (first + step) % count;
    const Member& member = members_.at(domain.members[index]);
    if (now - member.heard > silence_limit_) continue;
    domain.next = index + 1;
    return domain.members[index];
  }
  domain.next = first + 1;
  return domain.members[first];
}

// Keeps whose turn it is, so that a change of the members does not start the
// rotation anew at a member that may be dead.
void RelayPlan::GroupByDomain() {
  for (auto& [key, domain] : domains_) domain.members.clear();
  for (const auto& [member, state] : members_) {
    domains_[state.domain].members.push_back(member);
  }
  std::erase_if(domains_,
                [](const auto& entry) { return entry.second.members.empty(); });
  is_grouped_ = true;
}

std::vector<uint64_t> RelayPlan::OwnDomain() const {
  std::vector<uint64_t> own;
  for (const auto& [member, state] : members_) {
    if (own_domain_ != 0 && state.domain == own_domain_) own.push_back(member);
  }
  return own;
}

std::vector<uint64_t> RelayPlan::All() const {
  std::vector<uint64_t> all;
  all.reserve(members_.size());
  std::ranges::transform(members_, std::back_inserter(all),
                         [](const auto& entry) { return entry.first; });
  return all;
}

bool RelayQueue::Add(uint64_t origin, std::span<const uint8_t> bytes) {
  if (queued_bytes_ + bytes.size() > kMaxQueuedBytes) return false;
  queued_bytes_ += bytes.size() + kMessageOverhead;
  messages_.push_back({origin, {bytes.begin(), bytes.end()}});
  return true;
}

std::vector<RelayQueue::Batch> RelayQueue::Take() {
  std::vector<Batch> batches;
  size_t batch_bytes = 0;
  for (Message& message : std::exchange(messages_, {})) {
    const size_t bytes = message.bytes.size() + kMessageOverhead;
    const bool fits = !batches.empty() &&
                      batch_bytes + bytes <= kMaxBatchBytes &&
                      batches.back().size() < kMaxBatchMessages;
    if (!fits) {
      batches.emplace_back();
      batch_bytes = 0;
    }
    batches.back().push_back(std::move(message));
    batch_bytes += bytes;
  }
  queued_bytes_ = 0;
  return batches;
}

}  // namespace dogwoodlatch::serving
