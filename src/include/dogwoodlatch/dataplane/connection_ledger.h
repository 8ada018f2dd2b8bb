/// Memory that the connections of all listening ports of a process hold.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <string_view>

#include "dogwoodlatch/dataplane/byte_budget.h"
#include "dogwoodlatch/dataplane/connection_pressure.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::dataplane {

/// Why a client was refused or its connection closed.
enum class RefusalReason {
  kMemory,       ///< requests that are not complete hold too much
  kHeaderLines,  ///< a head has too many lines or bytes
  kDenied,       ///< the head showed that the body was not worth reading
  kDescriptors,  ///< too many connections
  kSlowReader    ///< answers that clients have not read hold too much
};

/// Names by value.
inline constexpr std::array<std::string_view, 5> kRefusalReasons = {
    "memory", "header_lines", "denied", "descriptors", "slow_reader"};

inline std::string_view ToString(RefusalReason reason) {
  return kRefusalReasons.at(static_cast<size_t>(reason));
}

struct ConnectionLimits {
  size_t input_bytes = 64UL * 1024 * 1024;   ///< requests of all connections
  size_t output_bytes = 32UL * 1024 * 1024;  ///< unsent, of all connections
  size_t unsent_bytes = 128UL * 1024;  ///< of one caller, before it must read
  /// A head of 16,384 bytes has at most 4,095 lines.
  size_t header_lines = 4096;
};

/// One connection as the ledger sees it.
class LedgerConnection {
 public:
  virtual ~LedgerConnection() = default;

  /// The request that is being read; holds nothing if there is none.
  virtual ConnectionLoad InputLoad(TimePoint now) const = 0;
  /// Answers that are not sent.
  virtual ConnectionLoad OutputLoad(TimePoint now) const = 0;
  /// Refuses the request that is being read, and releases what it holds.
  virtual void RefuseRequest() = 0;
  virtual void CloseSlowReader() = 0;
};

class ConnectionLedger {
 public:
  using Position = std::list<LedgerConnection*>::iterator;

  ConnectionLedger() { SetLimits({}); }

  void SetLimits(const ConnectionLimits& limits);
  const ConnectionLimits& limits() const { return limits_; }

  ByteBudget& input() { return input_; }
  ByteBudget& output() { return output_; }

  Position Add(LedgerConnection* connection) {
    return connections_.insert(connections_.end(), connection);
  }
  void Remove(Position position) { connections_.erase(position); }

  /// Refuses requests of other connections until that of `claimant` can grow by
  /// `bytes`. Returns false, and refuses none, if that is not possible.
  bool MakeRoom(const LedgerConnection& claimant, size_t bytes, TimePoint now);

  /// Closes the slowest readers while unsent answers exceed their limit.
  void RelieveOutput(TimePoint now);
  bool ExceedsOutput() const { return output_.used() > limits_.output_bytes; }

  /// True from three quarters of the limit on, when nothing is read ahead.
  bool IsInputScarce() const {
    return input_.used() > limits_.input_bytes / 4 * 3;
  }

  /// True from half of the limit on, when targets are read only for callers
  /// that read.
  bool IsOutputScarce() const {
    return output_.used() > limits_.output_bytes / 2;
  }

  void Report(RefusalReason reason) const {
    if (on_refusal) on_refusal(reason);
  }

  /// Called for each client that is refused; may be empty.
  std::function<void(RefusalReason)> on_refusal;

 private:
  ConnectionLimits limits_;
  ByteBudget input_{0, kSmallMessageBytes};
  ByteBudget output_{0, kSmallMessageBytes};
  std::list<LedgerConnection*> connections_;
};

}  // namespace dogwoodlatch::dataplane
