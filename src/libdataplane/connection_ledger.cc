#include "dogwoodlatch/dataplane/connection_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace dogwoodlatch::dataplane {
namespace {

// More is freed than is needed, by this share of the limit, so that the
// connections are not searched for each read of a crowd.
constexpr size_t kReliefDivisor = 16;

}  // namespace

void ConnectionLedger::SetLimits(const ConnectionLimits& limits) {
  limits_ = limits;
  input_.SetCapacity(limits.input_bytes);
  output_.SetCapacity(limits.output_bytes);
}

// The claimant is parsing its request, which must not end meanwhile.
bool ConnectionLedger::MakeRoom(const LedgerConnection& claimant, size_t bytes,
                                TimePoint now) {
  std::vector<ConnectionLoad> loads;
  std::ranges::transform(connections_, std::back_inserter(loads),
                         [&](const LedgerConnection* connection) {
                           return connection == &claimant
                                      ? ConnectionLoad{}
                                      : connection->InputLoad(now);
                         });
  const size_t used = input_.used() + bytes;
  const size_t needed = used - std::min(used, limits_.input_bytes);
  const std::vector<size_t> chosen =
      ConnectionPressure(std::move(loads))
          .MakeRoom(claimant.InputLoad(now).has_key, needed,
                    std::max(needed, limits_.input_bytes / kReliefDivisor));
  const std::vector<LedgerConnection*> connections(connections_.begin(),
                                                   connections_.end());
  for (const size_t index : chosen) {
    connections[index]->RefuseRequest();
    Report(RefusalReason::kMemory);
  }
  return !chosen.empty();
}

void ConnectionLedger::RelieveOutput(TimePoint now) {
  if (!ExceedsOutput()) return;
  std::vector<ConnectionLoad> loads;
  std::ranges::transform(connections_, std::back_inserter(loads),
                         [&](const LedgerConnection* connection) {
                           return connection->OutputLoad(now);
                         });
  const std::vector<LedgerConnection*> connections(connections_.begin(),
                                                   connections_.end());
  const size_t excess = output_.used() - limits_.output_bytes;
  for (const size_t index :
       ConnectionPressure(std::move(loads))
           .Slowest(excess + limits_.output_bytes / kReliefDivisor)) {
    connections[index]->CloseSlowReader();
    Report(RefusalReason::kSlowReader);
  }
}

}  // namespace dogwoodlatch::dataplane
