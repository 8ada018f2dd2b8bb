// The routing policies that the benchmark compares.
#pragma once

#include <memory>
#include <span>
#include <string_view>

#include "policy_simulation.h"

namespace dogwoodlatch::bench {

struct NamedPolicy {
  std::string_view name;
  bool is_baseline = false;
  PolicyFactory make;
};

std::span<const NamedPolicy> Policies();

}  // namespace dogwoodlatch::bench
