#include "dogwoodlatch/membership.h"

#include <algorithm>
#include <utility>

#include "dogwoodlatch/json_reader.h"

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

namespace {

// Throws an exception of the JSON library if a field is missing or of another
// type.
TargetEntry ParseEntry(const nlohmann::json& vm) {
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
  return entry;
}

}  // namespace

Result<VmList> ParseVmList(const nlohmann::json& document) {
  VmList list;
  const bool has_list = document.is_object() &&
                        ReadNumber(document, "revision", list.revision) &&
                        document.contains("vms") && document["vms"].is_array();
  if (!has_list) return Error{ErrorCode::kWrongType, "vm list", ""};
  for (const auto& vm : document["vms"]) {
    // nlohmann::json reports wrong field types only by exception.
    try {
      list.targets.push_back(ParseEntry(vm));
    } catch (const nlohmann::json::exception& e) {
      list.faults.push_back({ErrorCode::kWrongType, "vm list entry", e.what()});
    }
  }
  return list;
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
