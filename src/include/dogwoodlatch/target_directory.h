/// The VM list combined with the agents' own reports. An agent's report that it
/// is draining takes precedence over the list, which lags.
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
  /// Adopts a VM list; returns false if its revision is not newer.
  bool OnVmList(VmList list);

  /// Records the probe reply of a target's agent on VM `vm_id`; ignored if the
  /// target is no longer listed with that VM.
  void OnAgentReport(const TargetId& id, std::string_view vm_id,
                     const ProbeReply& reply);

  /// The targets that may get new requests: listed, not leaving, and not
  /// draining according to their agent's last report.
  std::vector<const TargetEntry*> Serving(RequestKind kind,
                                          std::string_view name) const;

  /// The incarnation last reported by the currently listed VM; empty if it has
  /// not reported.
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
