/// Counts the control datagrams that a process sends, by kind of message and by
/// the failure domain of the receiver.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "dogwoodlatch/daemon/metrics.h"

namespace dogwoodlatch::daemon {

enum class ControlKind {
  kStatus,        ///< of a target
  kUpdate,        ///< of a router
  kForwarded,     ///< statuses and updates of others
  kSubscription,  ///< of a router to an agent or the coordinator
  kDirectory,     ///< of the coordinator
  kFreshness      ///< questions and answers
};
inline constexpr size_t kControlKinds = 6;

/// Where a receiver is, seen from the sender.
enum class DomainRelation { kOwn, kOther, kUnknown };
inline constexpr size_t kDomainRelations = 3;

class ControlTraffic {
 public:
  /// Payload bytes; each datagram has 28 more of IP and UDP headers.
  struct Sent {
    uint64_t datagrams = 0;
    uint64_t bytes = 0;
  };

  void Record(ControlKind kind, DomainRelation relation, size_t bytes);

  /// What was sent to receivers in this relation, of all kinds.
  Sent Total(DomainRelation relation) const;

  /// Adds what was sent since the last call to the process's metrics.
  void Export(Metrics& metrics);

 private:
  using Table = std::array<std::array<Sent, kDomainRelations>, kControlKinds>;

  Table sent_{};
  Table exported_{};
};

}  // namespace dogwoodlatch::daemon
