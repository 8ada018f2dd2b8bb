/// Who receives a control message, so that few bytes cross failure domains: the
/// members of the sender's own domain directly, and one member of each other
/// domain, which forwards the message to the others there. Addresses the cost
/// of traffic between domains where many routers and agents exchange updates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// Number of a failure domain in messages; 0 if it is unknown.
using DomainKey = uint32_t;

/// The same in all processes. An empty name is unknown.
DomainKey MakeDomainKey(std::string_view failure_domain);

/// The routers that a process knows, with their domains. Members are identified
/// by keys that the caller chooses.
class RelayPlan {
 public:
  struct Member {
    DomainKey domain = 0;
    TimePoint since{};   ///< when it was first listed
    TimePoint listed{};  ///< when it was last listed
    TimePoint heard{};
  };
  struct Recipients {
    std::vector<uint64_t> direct;
    /// One in each other domain, which is to forward the message.
    std::vector<uint64_t> forwarders;
  };

  /// A member that was not heard for `silence_limit` forwards nothing while its
  /// domain has one that was.
  RelayPlan(DomainKey own_domain, Duration silence_limit)
      : own_domain_(own_domain), silence_limit_(silence_limit) {}

  /// The member exists. An unknown `domain` leaves a known one as it is.
  void OnListed(uint64_t member, DomainKey domain, TimePoint now);

  /// A message of the member has arrived, forwarded or not.
  void OnHeard(uint64_t member, TimePoint now);

  /// Forgets members that were neither listed nor heard for `lifetime`.
  void DropOld(Duration lifetime, TimePoint now);

  /// The recipients of the next message: forwarders take turns.
  Recipients Next(TimePoint now);

  /// The members of the own domain, to which a forwarder forwards.
  std::vector<uint64_t> OwnDomain() const;

  /// All members, for messages that must not depend on a forwarder.
  std::vector<uint64_t> All() const;

  const std::map<uint64_t, Member>& members() const { return members_; }
  DomainKey own_domain() const { return own_domain_; }

 private:
  struct Domain {
    std::vector<uint64_t> members;
    size_t next = 0;  ///< whose turn it is to forward
  };

  uint64_t NextForwarder(Domain& domain, TimePoint now) const;
  void GroupByDomain();

  DomainKey own_domain_;
  Duration silence_limit_;
  std::map<uint64_t, Member> members_;
  std::map<DomainKey, Domain> domains_;
  bool is_grouped_ = true;  ///< `domains_` matches `members_`
};

/// The messages of others that a forwarder holds until its next tick. Messages
/// beyond the bound are dropped, as each is repeated or cumulative.
class RelayQueue {
 public:
  struct Message {
    uint64_t origin = 0;  ///< member that sent it first
    std::vector<uint8_t> bytes;

    bool operator==(const Message&) const = default;
  };
  using Batch = std::vector<Message>;

  /// Limits of a batch, so that it fits into one packet and is decoded in
  /// bounded time. A longer message makes up a batch of its own.
  static constexpr size_t kMaxBatchBytes = 1200;
  static constexpr size_t kMaxBatchMessages = 64;
  static constexpr size_t kMaxQueuedBytes = 64UL * 1024;

  /// Returns false if the message is dropped.
  bool Add(uint64_t origin, std::span<const uint8_t> bytes);

  /// Returns and removes what is to be forwarded.
  std::vector<Batch> Take();

 private:
  std::vector<Message> messages_;
  size_t queued_bytes_ = 0;
};

}  // namespace dogwoodlatch::serving
