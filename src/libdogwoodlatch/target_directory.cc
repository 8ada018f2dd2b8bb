#include "dogwoodlatch/target_directory.h"

#include <utility>

namespace dogwoodlatch {

bool TargetDirectory::OnVmList(VmList list) {
  if (list.revision <= vms_.revision) return false;
  vms_ = std::move(list);
  // A report from another VM under the same target id does not apply to this
  // one.
  std::erase_if(reports_, [this](const auto& entry) {
    const TargetEntry* target = vms_.Find(entry.first);
    return target == nullptr || target->vm_id != entry.second.vm_id;
  });
  return true;
}

void TargetDirectory::OnAgentReport(const TargetId& id, std::string_view vm_id,
                                    const ProbeReply& reply) {
  const TargetEntry* target = vms_.Find(id);
  if (target == nullptr || target->vm_id != vm_id) return;
  Report& report = reports_[id];
  // Draining is final within one incarnation, even if replies arrive out of
  // order.
  const bool was_draining =
      report.draining && report.incarnation == reply.incarnation;
  report = {std::string(vm_id), reply.incarnation,
            reply.draining || was_draining};
}

std::vector<const TargetEntry*> TargetDirectory::Serving(
    RequestKind kind, std::string_view name) const {
  std::vector<const TargetEntry*> serving = vms_.Serving(kind, name);
  std::erase_if(serving, [this](const TargetEntry* target) {
    const Report* report = FindReport(target->id);
    return report != nullptr && report->draining;
  });
  return serving;
}

Incarnation TargetDirectory::LastIncarnation(const TargetId& id) const {
  const Report* report = FindReport(id);
  return report == nullptr ? Incarnation{} : report->incarnation;
}

const TargetDirectory::Report* TargetDirectory::FindReport(
    const TargetId& id) const {
  const auto found = reports_.find(id);
  return found == reports_.end() ? nullptr : &found->second;
}

}  // namespace dogwoodlatch
