/// Identifiers that must not be mixed up: each kind is a type of its own around
/// a string.
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

/// One life of an agent together with one life of its target. A restart of
/// either gives a new value, so anything addressed to an earlier life is
/// recognised and refused.
using Incarnation = Id<struct IncarnationTag>;

/// A random identifier of 32 hexadecimal digits.
std::string MakeRandomHex(std::mt19937_64& random);

/// Seeds a generator from the operating system, for daemons.
std::mt19937_64 MakeSeededRandom();

}  // namespace dogwoodlatch

template <typename Tag>
struct std::hash<dogwoodlatch::Id<Tag>> {
  size_t operator()(const dogwoodlatch::Id<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};
