/// Platform objects as the decision code sees them.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace dogwoodlatch {

/// One object with its version; versions of one path only increase.
struct PlatformObject {
  std::string path;
  uint64_t version = 0;
  nlohmann::json value;
};

/// A list of objects at one revision of the store.
struct ObjectList {
  uint64_t revision = 0;
  std::vector<PlatformObject> objects;
};

/// One change, as a watch reports it. The version of a deletion is the revision
/// that deleted the object.
struct ObjectChange {
  PlatformObject object;
  bool deleted = false;
};

struct ChangeList {
  uint64_t revision = 0;
  std::vector<ObjectChange> changes;
};

/// The versions of one object that the platform still holds, oldest first.
using ObjectHistory = std::vector<ObjectChange>;

}  // namespace dogwoodlatch
