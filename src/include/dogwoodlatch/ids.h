/// Strongly typed string identifiers, so that different kinds cannot be mixed
/// up.
#pragma once

#include <compare>
#include <functional>
#include <random>
#include <string>

namespace dogwoodlatch {

template <typename Tag>
struct Id {
  std::string value;

  auto operator<=>(const Id&) const = default;  // NOLINT(modernize-use-nullptr)
  bool empty() const { return value.empty(); }
};

using RequestId = Id<struct RequestTag>;
using TargetId = Id<struct TargetTag>;
using WorkspaceId = Id<struct WorkspaceTag>;

/// Identifies one run of an agent process together with one run of its target.
/// A restart of either yields a new value, so messages addressed to an earlier
/// incarnation are detected and refused. A claim holds only the agent's part.
using Incarnation = Id<struct IncarnationTag>;

/// A random identifier of 32 hexadecimal digits.
std::string MakeRandomHex(std::mt19937_64& random);

/// Returns a generator seeded by the operating system, for use in daemons.
std::mt19937_64 MakeSeededRandom();

}  // namespace dogwoodlatch

template <typename Tag>
struct std::hash<dogwoodlatch::Id<Tag>> {
  size_t operator()(const dogwoodlatch::Id<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};
