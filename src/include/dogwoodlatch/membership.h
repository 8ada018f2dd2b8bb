/// The VM list as used for routing: which targets exist, where they run, and
/// which of them are leaving.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"

namespace dogwoodlatch {

/// One target VM as the platform lists it.
struct TargetEntry {
  TargetId id;
  std::string vm_id;  ///< identity of the VM; a replacement at the same address
                      ///< has a different one
  RequestKind kind = RequestKind::kChat;
  std::string serves;         ///< model or service name
  std::string agent_address;  ///< "ip:port" of the target's agent
  std::string failure_domain;
  std::string region;
  bool leaving = false;

  bool operator==(const TargetEntry&) const = default;
};

/// One version of the VM list.
struct VmList {
  uint64_t revision = 0;
  std::vector<TargetEntry> targets;
  std::vector<Error> faults{};  ///< of entries that were left out

  /// All targets that serve `name`.
  std::vector<const TargetEntry*> Listed(RequestKind kind,
                                         std::string_view name) const;
  /// The targets that serve `name` and are not leaving.
  std::vector<const TargetEntry*> Serving(RequestKind kind,
                                          std::string_view name) const;
  const TargetEntry* Find(const TargetId& id) const;
};

/// Parses the platform's JSON. Malformed entries are left out; fails with
/// kWrongType if there is no list.
Result<VmList> ParseVmList(const nlohmann::json& document);

/// Serializes to the JSON form that ParseVmList reads.
nlohmann::json ToJson(const VmList& list);

}  // namespace dogwoodlatch
