#include "crash_guard.h"

#include <httplib.h>

#include <optional>
#include <utility>

#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::router {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "quarantine/";
constexpr milliseconds kPeerTimeout{300};

// A lift reaches every router within a few seconds, also one whose watch paused
// while the object was written and deleted.
constexpr milliseconds kWrittenCheckPeriod{2000};

// Tells peers that an operator has lifted a quarantine.
constexpr std::string_view kLifted = "lifted";

milliseconds ToMillis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

std::string PathOf(uint64_t digest) {
  return std::string(kPrefix) + DigestHex(digest);
}

std::optional<uint64_t> DigestOfPath(std::string_view path) {
  if (!path.starts_with(kPrefix)) return std::nullopt;
  return ParseDigestHex(path.substr(kPrefix.size()));
}

// Peers' clocks differ: an entry travels with the time it has left.
Json ToPeerMessage(const QuarantineEntry& entry, TimePoint now) {
  return {{"digest", DigestHex(entry.digest)},
          {"state", ToString(entry.suspicion)},
          {"left_ms", ToMillis(entry.expires - now).count()}};
}

Suspicion SuspicionOf(std::string_view state) {
  if (state == ToString(Suspicion::kQuarantined)) {
    return Suspicion::kQuarantined;
  }
  return state == ToString(Suspicion::kSuspect) ? Suspicion::kSuspect
                                                : Suspicion::kNone;
}

void LogEntries(const std::vector<QuarantineEntry>& entries) {
  for (const QuarantineEntry& entry : entries) {
    LogEvent(entry.suspicion == Suspicion::kQuarantined
                 ? EventId::kQuarantined
                 : EventId::kCrashSuspects,
             {{"digest", DigestHex(entry.digest)}});
  }
}

}  // namespace

CrashGuard::CrashGuard(const RouterSettings& settings, PlatformSync& sync)
    : settings_(settings),
      platform_(settings.platform.platform),
      table_(settings.quarantine) {
  sync.Follow(std::string(kPrefix), [this](const ObjectChange& change) {
    if (change.deleted) {
      LiftPath(change.object.path);
    } else {
      AdoptObject(change.object);
    }
  });
}

void CrashGuard::Start() {
  peer_thread_ = std::thread([this] { TellPeers(); });
  write_thread_ = std::thread([this] { WriteToPlatform(); });
}

void CrashGuard::BeginStop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
}

void CrashGuard::Stop() {
  BeginStop();
  for (std::thread* thread : {&peer_thread_, &write_thread_}) {
    if (thread->joinable()) thread->join();
  }
}

Suspicion CrashGuard::Find(uint64_t digest) const {
  const std::lock_guard lock(mutex_);
  return table_.Find(digest, SteadyNow());
}

void CrashGuard::OnCrash(const std::vector<uint64_t>& in_flight,
                         bool ran_alone) {
  const TimePoint now = SteadyNow();
  std::vector<QuarantineEntry> changed;
  {
    const std::lock_guard lock(mutex_);
    changed = table_.OnCrash(in_flight, ran_alone, now);
    for (const QuarantineEntry& entry : changed) {
      for_peers_.push_back(ToPeerMessage(entry, now).dump());
      if (entry.suspicion == Suspicion::kQuarantined) {
        for_platform_.push_back(entry);
      }
    }
  }
  changed_.notify_all();
  LogEntries(changed);
}

void CrashGuard::OnCompletedAlone(uint64_t digest) {
  const std::lock_guard lock(mutex_);
  if (!table_.Clear(digest)) return;
  const QuarantineEntry cleared{digest, Suspicion::kNone, SteadyNow()};
  for_peers_.push_back(ToPeerMessage(cleared, cleared.expires).dump());
  changed_.notify_all();
}

bool CrashGuard::OnPeerMessage(const Json& body) {
  // The library reports wrong field types by exception only.
  try {
    const std::optional<uint64_t> digest =
        ParseDigestHex(body.at("digest").get<std::string>());
    if (!digest) return false;
    const TimePoint now = SteadyNow();
    const QuarantineEntry entry{
        *digest, SuspicionOf(body.at("state").get<std::string>()),
        now + milliseconds(body.at("left_ms"))};
    const std::lock_guard lock(mutex_);
    if (body.at("state") == kLifted) {
      table_.Lift(*digest);
    } else if (entry.suspicion == Suspicion::kNone) {
      table_.Clear(*digest);
    } else if (table_.Adopt(entry, now)) {
      LogEntries({entry});
    }
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

Json CrashGuard::Status() const {
  const TimePoint now = SteadyNow();
  const std::lock_guard lock(mutex_);
  Json entries = Json::array();
  for (const QuarantineEntry& entry : table_.Entries(now)) {
    entries.push_back(ToPeerMessage(entry, now));
  }
  return entries;
}

void CrashGuard::TellPeers() {
  while (true) {
    std::string body;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !for_peers_.empty(); });
      if (for_peers_.empty()) return;
      body = std::move(for_peers_.front());
      for_peers_.pop_front();
    }
    for (const std::string& peer : settings_.peers) {
      const Address address = ParseAddress(peer);
      httplib::Client client(address.host, address.port);
      client.set_connection_timeout(kPeerTimeout);
      client.set_read_timeout(kPeerTimeout);
      client.Post("/quarantine", body, "application/json");
    }
  }
}

void CrashGuard::WriteToPlatform() {
  while (true) {
    QuarantineEntry entry;
    {
      std::unique_lock lock(mutex_);
      const auto is_awaited = [this] {
        return stopping_ || !for_platform_.empty();
      };
      if (written_.empty()) {
        changed_.wait(lock, is_awaited);
      } else {
        changed_.wait_for(lock, kWrittenCheckPeriod, is_awaited);
      }
      if (stopping_) return;
      if (!for_platform_.empty()) entry = for_platform_.front();
    }
    if (entry.suspicion == Suspicion::kNone) {
      CheckWritten();
      continue;
    }
    if (!Write(entry)) {
      LogEvent(EventId::kQuarantineUnwritten,
               {{"digest", DigestHex(entry.digest)}});
      Pause();
      continue;
    }
    const std::lock_guard lock(mutex_);
    for_platform_.pop_front();
    written_.insert(entry.digest);
  }
}

// Only a deletion with a version proves a lift: a platform that was restored
// may lack the object without that.
void CrashGuard::CheckWritten() {
  std::set<uint64_t> written;
  {
    const std::lock_guard lock(mutex_);
    std::erase_if(written_, [this](uint64_t digest) {
      return table_.Find(digest, SteadyNow()) != Suspicion::kQuarantined;
    });
    written = written_;
  }
  for (const uint64_t digest : written) {
    const Result<ObjectHistory> history = platform_.History(PathOf(digest));
    const bool is_deleted =
        history && !history.value().empty() && history.value().back().deleted;
    if (is_deleted) Lift(digest);
  }
}

// Another router may have written the same quarantine; the later expiry stays.
bool CrashGuard::Write(const QuarantineEntry& entry) {
  const TimePoint now = SteadyNow();
  if (entry.expires <= now) return true;
  const std::string path = PathOf(entry.digest);
  const auto expires_at = WallNow() + (entry.expires - now);
  const int64_t expires_at_ms = ToMillis(expires_at.time_since_epoch()).count();
  const Json value = {{"expires_at_ms", expires_at_ms}, {"by", settings_.id}};
  const Result<PlatformObject> present = platform_.Get(path);
  if (!present && present.error().code != ErrorCode::kNotFound) return false;
  if (present && present.value().value.value("expires_at_ms", int64_t{0}) >=
                     expires_at_ms) {
    return true;
  }
  const uint64_t version = present ? present.value().version : 0;
  return platform_.Put(path, value, version).has_value();
}

void CrashGuard::AdoptObject(const PlatformObject& object) {
  const std::optional<uint64_t> digest = DigestOfPath(object.path);
  if (!digest || !object.value.is_object()) return;
  const auto expires_at = object.value.find("expires_at_ms");
  if (expires_at == object.value.end() || !expires_at->is_number()) return;
  const WallTime expires{milliseconds(expires_at->get<int64_t>())};
  const TimePoint now = SteadyNow();
  const std::lock_guard lock(mutex_);
  table_.Adopt({*digest, Suspicion::kQuarantined, now + (expires - WallNow())},
               now);
}

void CrashGuard::LiftPath(const std::string& path) {
  const std::optional<uint64_t> digest = DigestOfPath(path);
  if (!digest) return;
  Lift(*digest);
}

void CrashGuard::Lift(uint64_t digest) {
  LogEvent(EventId::kQuarantineLifted, {{"digest", DigestHex(digest)}});
  {
    const std::lock_guard lock(mutex_);
    table_.Lift(digest);
    written_.erase(digest);
    for_peers_.push_back(Json{
        {"digest", DigestHex(digest)},
        {"state", kLifted},
        {"left_ms", 0}}.dump());
  }
  changed_.notify_all();
}

void CrashGuard::Pause() {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, settings_.platform.loop.longest_retry_pause,
                    [this] { return stopping_; });
}

}  // namespace dogwoodlatch::router
