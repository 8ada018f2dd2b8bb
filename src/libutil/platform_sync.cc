#include "dogwoodlatch/util/platform_sync.h"

#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch {

PlatformSync::PlatformSync(PlatformSyncOptions options)
    : options_(std::move(options)), platform_(options_.platform) {}

PlatformSync::~PlatformSync() { Stop(); }

void PlatformSync::Start() {
  settings_thread_ = std::thread([this] { FollowSettings(); });
  vms_thread_ = std::thread([this] { FollowVms(); });
}

void PlatformSync::Stop() {
  stopping_ = true;
  if (settings_thread_.joinable()) settings_thread_.join();
  if (vms_thread_.joinable()) vms_thread_.join();
}

void PlatformSync::FollowSettings() {
  while (!stopping_) {
    Result<uint64_t> revision = LoadSettings();
    while (revision && !stopping_) {
      const Result<ChangeList> changes = platform_.Watch(
          kSettingsPrefix, revision.value(), options_.watch_wait);
      if (!changes) {
        LogEvent(EventId::kPlatformUnavailable,
                 {{"detail", ToString(changes.error())}});
        break;
      }
      for (const ObjectChange& change : changes.value().changes) {
        if (!change.deleted) Adopt(change.object);
      }
      revision = changes.value().revision;
    }
    if (!stopping_) Pause();
  }
}

void PlatformSync::FollowVms() {
  while (!stopping_) {
    Result<VmList> list =
        platform_.Vms(vms_.Read()->revision, options_.watch_wait);
    if (!list) {
      Pause();
      continue;
    }
    if (list.value().revision <= vms_.Read()->revision) continue;
    LogEvent(EventId::kVmListAdopted,
             {{"revision", std::to_string(list.value().revision)}});
    vms_.Publish(std::move(list).value());
    have_vms_ = true;
  }
}

Result<uint64_t> PlatformSync::LoadSettings() {
  const Result<ObjectList> list = platform_.List(kSettingsPrefix);
  if (!list) return list.error();
  for (const PlatformObject& object : list.value().objects) Adopt(object);
  have_settings_ = true;
  return list.value().revision;
}

void PlatformSync::Adopt(const PlatformObject& object) {
  SettingsSnapshot next = *settings_.Read();
  const std::string team = object.path.substr(kSettingsPrefix.size());
  const auto current = next.teams.find(team);
  if (current != next.teams.end() &&
      current->second.version >= object.version) {
    return;
  }
  const std::vector<Error> faults = FindTeamFaults(object.value, object.path);
  if (!faults.empty()) {
    LogEvent(EventId::kSettingsRefused, {{"fault", ToString(faults.front())}});
    return;
  }
  next.teams[team] = ParseTeam(team, object.version, object.value);
  settings_.Publish(std::move(next));
  LogEvent(EventId::kSettingsAdopted,
           {{"team", team}, {"version", std::to_string(object.version)}});
}

void PlatformSync::Pause() {
  std::this_thread::sleep_for(options_.retry_pause);
}

}  // namespace dogwoodlatch
