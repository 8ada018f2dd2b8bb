#include "dogwoodlatch/dataplane/connection_pressure.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dogwoodlatch::dataplane {
namespace {

// Byte-milliseconds that a connection has kept from others.
double Cost(const ConnectionLoad& load) {
  const std::chrono::duration<double, std::milli> stalled = load.stalled;
  return static_cast<double>(load.held_bytes) * (1.0 + stalled.count());
}

}  // namespace

bool ConnectionPressure::GivesWayBefore(size_t a, size_t b) const {
  const ConnectionLoad& first = loads_[a];
  const ConnectionLoad& second = loads_[b];
  if (first.has_key != second.has_key) return !first.has_key;
  return Cost(first) > Cost(second);
}

std::vector<size_t> ConnectionPressure::MakeRoom(bool claimant_has_key,
                                                 size_t needed,
                                                 size_t wanted) const {
  std::vector<size_t> chosen(loads_.size());
  std::iota(chosen.begin(), chosen.end(), size_t{0});
  std::erase_if(chosen, [&](size_t index) {
    const ConnectionLoad& load = loads_[index];
    if (load.held_bytes == 0) return true;
    if (load.has_key != claimant_has_key) return load.has_key;
    return load.stalled < kMinStall;
  });
  std::ranges::sort(
      chosen, [this](size_t a, size_t b) { return GivesWayBefore(a, b); });
  size_t freed = 0;
  const auto end = std::ranges::find_if(chosen, [&](size_t index) {
    return std::exchange(freed, freed + loads_[index].held_bytes) >= wanted;
  });
  chosen.erase(end, chosen.end());
  return freed >= needed ? chosen : std::vector<size_t>();
}

std::vector<size_t> ConnectionPressure::Slowest(size_t bytes) const {
  std::vector<size_t> order(loads_.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::erase_if(order,
                [this](size_t index) { return loads_[index].held_bytes == 0; });
  std::ranges::sort(
      order, [this](size_t a, size_t b) { return GivesWayBefore(a, b); });
  size_t freed = 0;
  const auto end = std::ranges::find_if(order, [&](size_t index) {
    return std::exchange(freed, freed + loads_[index].held_bytes) >= bytes;
  });
  order.erase(end, order.end());
  return order;
}

std::optional<size_t> ConnectionPressure::LeastActive() const {
  std::optional<size_t> chosen;
  for (size_t index = 0; index < loads_.size(); ++index) {
    const ConnectionLoad& load = loads_[index];
    if (load.stalled < kMinStall) continue;
    const auto is_less_active = [&](const ConnectionLoad& other) {
      return load.has_key != other.has_key ? !load.has_key
                                           : load.stalled > other.stalled;
    };
    if (!chosen || is_less_active(loads_[*chosen])) chosen = index;
  }
  return chosen;
}

}  // namespace dogwoodlatch::dataplane
