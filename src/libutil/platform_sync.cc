#include "dogwoodlatch/util/platform_sync.h"

#include <httplib.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPeerRetryInterval{200};
constexpr milliseconds kInterruptInterval{5};
constexpr int kHttpOk = 200;

milliseconds CeilToMilliseconds(Duration duration) {
  return std::chrono::ceil<milliseconds>(duration);
}

Json FaultsToJson(const std::vector<Error>& faults) {
  Json list = Json::array();
  for (const Error& fault : faults) {
    list.push_back({{"where", fault.where},
                    {"code", ToString(fault.code)},
                    {"detail", fault.detail}});
  }
  return list;
}

}  // namespace

PlatformSync::PlatformSync(PlatformSyncOptions options)
    : options_(std::move(options)), platform_(options_.platform) {}

PlatformSync::~PlatformSync() { Stop(); }

void PlatformSync::Follow(const std::string& prefix, ChangeListener listener) {
  prefixes_.push_back(prefix);
  listeners_[prefix] = std::move(listener);
}

void PlatformSync::Start() {
  sync_ = std::make_unique<SettingsSync>(options_.loop, prefixes_,
                                         !options_.peers.empty(),
                                         MakeSeededRandom(), SteadyNow());
  prefixes_.emplace_back(kSettingsPrefix);
  const auto run = [this](void (PlatformSync::*work)()) {
    ++running_;
    threads_.emplace_back([this, work] {
      (this->*work)();
      --running_;
    });
  };
  run(&PlatformSync::RunObjectWatch);
  run(&PlatformSync::RunVmListWatch);
  if (!options_.peers.empty()) run(&PlatformSync::RequestPeerSnapshots);
}

void PlatformSync::Stop() {
  {
    const std::lock_guard lock(stop_mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  // A thread may start another call just after an interrupt, so the interrupt
  // is repeated until all threads have ended.
  while (running_ > 0) {
    platform_.Interrupt();
    std::this_thread::sleep_for(kInterruptInterval);
  }
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

Json PlatformSync::Status() const {
  const std::lock_guard lock(mutex_);
  Json teams = Json::object();
  Json faults = Json::object();
  if (sync_) {
    for (const auto& [team, status] : sync_->settings().Status()) {
      teams[team] = status.in_force;
      if (status.faults.empty()) continue;
      faults[team] = {{"in_force", status.in_force},
                      {"refused", status.newest},
                      {"faults", FaultsToJson(status.faults)}};
    }
  }
  return {{"ready", is_ready()},
          {"settings", teams},
          {"refused_settings", faults},
          {"vm_list", vms()->revision},
          {"platform", platform_down_ ? "unavailable" : "available"}};
}

Json PlatformSync::Snapshot() const {
  const std::lock_guard lock(mutex_);
  Json snapshot = sync_ ? sync_->ExportSnapshot() : Json::object();
  if (have_vms_) snapshot["vm_list"] = vm_list_json_;
  return snapshot;
}

void PlatformSync::RunObjectWatch() {
  for (;;) {
    std::optional<WatchCall> call;
    TimePoint next_call_at;
    {
      const std::lock_guard lock(mutex_);
      call = sync_->TakeCall(SteadyNow());
      next_call_at = sync_->next_call_at();
    }
    if (call) {
      ExecuteObjectCall(*call);
    } else if (!WaitUntil(next_call_at)) {
      return;
    }
  }
}

void PlatformSync::ExecuteObjectCall(const WatchCall& call) {
  const auto publish_result = [this](const auto& result, auto&& on_success) {
    const std::lock_guard lock(mutex_);
    if (result) {
      Publish(on_success(result.value()));
    } else {
      Publish(sync_->OnFailure(result.error().code, SteadyNow()));
    }
    ReportAvailability(sync_->failures());
  };
  switch (call.kind) {
    case WatchCall::Kind::kList:
      return publish_result(platform_.List(prefixes_),
                            [this](const ObjectList& list) {
                              return sync_->OnList(list, SteadyNow());
                            });
    case WatchCall::Kind::kWatch:
      return publish_result(platform_.Watch(prefixes_, call.revision,
                                            CeilToMilliseconds(call.wait)),
                            [this](const ChangeList& list) {
                              return sync_->OnWatch(list, SteadyNow());
                            });
    case WatchCall::Kind::kHistory:
      return publish_result(
          platform_.History(call.path), [&](const ObjectHistory& history) {
            return sync_->OnHistory(call.path, history, SteadyNow());
          });
  }
}

void PlatformSync::RunVmListWatch() {
  WatchLoopOptions options = options_.loop;
  options.confirm_lists = false;
  WatchLoop loop(options, MakeSeededRandom(), SteadyNow());
  do {
    const std::optional<WatchCall> call = loop.TakeCall(SteadyNow());
    if (call) ExecuteVmListCall(*call, loop);
  } while (WaitUntil(loop.next_call_at()));
}

// The loop continues from the revision that the platform returned, even if it
// is older: after a restore of the platform the call then waits for a change,
// instead of returning immediately over and over because the revisions differ.
void PlatformSync::ExecuteVmListCall(const WatchCall& call, WatchLoop& loop) {
  const bool is_list = call.kind == WatchCall::Kind::kList;
  Result<VmList> list =
      platform_.GetVmList(call.revision, CeilToMilliseconds(call.wait));
  if (!list) return loop.OnFailure(list.error().code, SteadyNow());
  const uint64_t revision = list.value().revision;
  const std::lock_guard lock(mutex_);
  AdoptVms(std::move(list).value());
  if (is_list || revision < call.revision) {
    loop.OnList(revision, SteadyNow());
  } else {
    loop.OnWatch(revision, SteadyNow());
  }
}

void PlatformSync::RequestPeerSnapshots() {
  do {
    for (const std::string& peer : options_.peers) RequestPeerSnapshot(peer);
    const std::lock_guard lock(mutex_);
    Publish(sync_->OnPeersAsked(SteadyNow()));
  } while (!is_ready() && WaitUntil(SteadyNow() + kPeerRetryInterval));
}

void PlatformSync::RequestPeerSnapshot(const std::string& peer) {
  const Address address = ParseAddress(peer);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(options_.peer_timeout);
  client.set_read_timeout(options_.peer_timeout);
  const auto result = client.Get("/snapshot");
  if (!result || result->status != kHttpOk) return;
  const Json snapshot = ParseJson(result->body);
  if (!snapshot.is_object()) return;
  const std::lock_guard lock(mutex_);
  if (sync_->is_ready() && have_vms_) return;
  Publish(sync_->OnPeerSnapshot(snapshot, SteadyNow()));
  LogEvent(EventId::kPeerSnapshotTaken, {{"peer", peer}});
  if (!snapshot.contains("vm_list")) return;
  Result<VmList> list = ParseVmList(snapshot["vm_list"]);
  if (list) AdoptVms(std::move(list).value());
}

void PlatformSync::AdoptVms(VmList list) {
  if (list.revision <= vms_.Read()->revision) return;
  for (const Error& fault : list.faults) {
    LogEvent(EventId::kBadObject,
             {{"object", "vm list"}, {"fault", ToString(fault)}});
  }
  LogEvent(EventId::kVmListAdopted,
           {{"revision", std::to_string(list.revision)}});
  vm_list_json_ = ToJson(list);
  vms_.Publish(std::move(list));
  have_vms_ = true;
}

void PlatformSync::Publish(const SyncChanges& changes) {
  if (!changes.teams.empty()) settings_.Publish(sync_->settings().Snapshot());
  if (sync_->is_ready()) have_settings_ = true;
  const auto status = sync_->settings().Status();
  for (const std::string& team : changes.teams) {
    LogEvent(EventId::kSettingsAdopted,
             {{"team", team},
              {"version", std::to_string(status.at(team).in_force)}});
  }
  for (const ObjectChange& change : changes.objects) {
    for (const auto& [prefix, listener] : listeners_) {
      if (change.object.path.starts_with(prefix)) listener(change);
    }
  }
}

void PlatformSync::ReportAvailability(int failures) {
  const bool is_down = failures > 0;
  if (is_down == platform_down_) return;
  platform_down_ = is_down;
  LogEvent(is_down ? EventId::kPlatformUnavailable : EventId::kPlatformBack,
           {{"address", options_.platform.address}});
}

bool PlatformSync::WaitUntil(TimePoint time) {
  std::unique_lock lock(stop_mutex_);
  return !stopped_.wait_until(lock, time, [this] { return stopping_; });
}

}  // namespace dogwoodlatch
