#include "dogwoodlatch/membership.h"

#include <algorithm>

namespace dogwoodlatch {

std::vector<const TargetEntry*> VmList::Listed(RequestKind kind,
                                               std::string_view name) const {
  std::vector<const TargetEntry*> listed;
  for (const TargetEntry& target : targets) {
    if (target.kind == kind && target.serves == name) listed.push_back(&target);
  }
  return listed;
}

std::vector<const TargetEntry*> VmList::Serving(RequestKind kind,
                                                std::string_view name) const {
  std::vector<const TargetEntry*> serving = Listed(kind, name);
  std::erase_if(serving,
                [](const TargetEntry* target) { return target->leaving; });
  return serving;
}

const TargetEntry* VmList::Find(const TargetId& id) const {
  const auto found = std::ranges::find(targets, id, &TargetEntry::id);
  return found == targets.end() ? nullptr : &*found;
}

Result<VmList> ParseVmList(const nlohmann::json& document) {
  // nlohmann::json reports wrong field types only by exception.
  try {
    VmList list;
    document.at("revision").get_to(list.revision);
    for (const auto& vm : document.at("vms")) {
      TargetEntry entry;
      vm.at("id").get_to(entry.id.value);
      entry.vm_id = vm.value("vm_id", entry.id.value);
      entry.kind = vm.at("kind").get<std::string>() == "engine"
                       ? RequestKind::kChat
                       : RequestKind::kService;
      vm.at("serves").get_to(entry.serves);
      vm.at("agent").get_to(entry.agent_address);
      entry.failure_domain = vm.value("failure_domain", "");
      entry.region = vm.value("region", "");
      entry.leaving = vm.value("state", "live") == "leaving";
      list.targets.push_back(std::move(entry));
    }
    return list;
  } catch (const nlohmann::json::exception& e) {
    return Error{ErrorCode::kWrongType, "vm list", e.what()};
  }
}

nlohmann::json ToJson(const VmList& list) {
  nlohmann::json vms = nlohmann::json::array();
  for (const TargetEntry& target : list.targets) {
    vms.push_back(
        {{"id", target.id.value},
         {"vm_id", target.vm_id},
         {"kind", target.kind == RequestKind::kChat ? "engine" : "service"},
         {"serves", target.serves},
         {"agent", target.agent_address},
         {"failure_domain", target.failure_domain},
         {"region", target.region},
         {"state", target.leaving ? "leaving" : "live"}});
  }
  return {{"revision", list.revision}, {"vms", vms}};
}

}  // namespace dogwoodlatch
