/// The VM list joined with what agents say of themselves. An agent's word on
/// its own draining goes before the list, which lags.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/membership.h"
#include "dogwoodlatch/messages.h"

namespace dogwoodlatch {

/// Not thread-safe.
class TargetDirectory {
 public:
  /// Takes a VM list; false when its revision is not newer.
  bool OnVmList(VmList list);

  /// Takes what the agent of a target said when the target's VM was `vm_id`.
  void OnAgentReport(const TargetId& id, std::string_view vm_id,
                     const ProbeReply& reply);

  /// The targets that may get new work: listed, not leaving, and not draining
  /// by their agent's last word.
  std::vector<const TargetEntry*> Serving(RequestKind kind,
                                          std::string_view name) const;

  /// The incarnation last reported by the VM that is listed now; empty when it
  /// has not reported.
  Incarnation LastIncarnation(const TargetId& id) const;

  const VmList& vms() const { return vms_; }

 private:
  struct Report {
    std::string vm_id;
    Incarnation incarnation;
    bool draining = false;
  };

  const Report* FindReport(const TargetId& id) const;

  VmList vms_;
  std::map<TargetId, Report> reports_;
};

}  // namespace dogwoodlatch
