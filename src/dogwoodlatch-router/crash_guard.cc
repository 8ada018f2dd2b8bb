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

constexpr std::string_view kQuarantinePrefix = "quarantine/";
constexpr milliseconds kPeerTimeout{300};

// Interval at which written quarantines are checked for deletion. A lift thus
// reaches every router within a few seconds, even one whose watch was
// interrupted while the object was written and deleted.
constexpr milliseconds kLiftCheckInterval{2000};

// State in a peer message after an operator has lifted a quarantine.
constexpr std::string_view kLiftedState = "lifted";

milliseconds ToMillis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

std::string QuarantinePath(uint64_t digest) {
  return std::string(kQuarantinePrefix) + FormatDigestHex(digest);
}

std::optional<uint64_t> ParseQuarantinePath(std::string_view path) {
  if (!path.starts_with(kQuarantinePrefix)) return std::nullopt;
  return ParseDigestHex(path.substr(kQuarantinePrefix.size()));
}

// Clocks of peers differ, so an entry is sent with its remaining time instead
// of its expiry time.
Json ToPeerMessage(const QuarantineEntry& entry, TimePoint now) {
  return {{"digest", FormatDigestHex(entry.digest)},
          {"state", ToString(entry.suspicion)},
          {"left_ms", ToMillis(entry.expires - now).count()}};
}

Suspicion ParseSuspicion(std::string_view state) {
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
             {{"digest", FormatDigestHex(entry.digest)}});
  }
}

}  // namespace

CrashGuard::CrashGuard(const RouterSettings& settings, PlatformSync& sync)
    : settings_(settings),
      platform_(settings.platform.platform),
      table_(settings.quarantine) {
  sync.Follow(std::string(kQuarantinePrefix),
              [this](const ObjectChange& change) {
                if (change.deleted) {
                  LiftByPath(change.object.path);
                } else {
                  AdoptObject(change.object);
                }
              });
}

void CrashGuard::Start() {
  peer_thread_ = std::thread([this] { NotifyPeers(); });
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
      peer_queue_.push_back(ToPeerMessage(entry, now).dump());
      if (entry.suspicion == Suspicion::kQuarantined) {
        platform_queue_.push_back(entry);
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
  peer_queue_.push_back(ToPeerMessage(cleared, cleared.expires).dump());
  changed_.notify_all();
}

bool CrashGuard::OnPeerMessage(const Json& body) {
  // nlohmann::json reports a wrong field type only by an exception.
  try {
    const std::optional<uint64_t> digest =
        ParseDigestHex(body.at("digest").get<std::string>());
    if (!digest) return false;
    const TimePoint now = SteadyNow();
    const QuarantineEntry entry{
        *digest, ParseSuspicion(body.at("state").get<std::string>()),
        now + milliseconds(body.at("left_ms"))};
    const std::lock_guard lock(mutex_);
    if (body.at("state") == kLiftedState) {
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

void CrashGuard::NotifyPeers() {
  while (true) {
    std::string body;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !peer_queue_.empty(); });
      if (peer_queue_.empty()) return;
      body = std::move(peer_queue_.front());
      peer_queue_.pop_front();
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
      const auto has_work = [this] {
        return stopping_ || !platform_queue_.empty();
      };
      if (written_quarantines_.empty()) {
        changed_.wait(lock, has_work);
      } else {
        changed_.wait_for(lock, kLiftCheckInterval, has_work);
      }
      if (stopping_) return;
      if (!platform_queue_.empty()) entry = platform_queue_.front();
    }
    if (entry.suspicion == Suspicion::kNone) {
      CheckWrittenQuarantines();
      continue;
    }
    if (!Write(entry)) {
      LogEvent(EventId::kQuarantineUnwritten,
               {{"digest", FormatDigestHex(entry.digest)}});
      WaitBeforeRetry();
      continue;
    }
    const std::lock_guard lock(mutex_);
    platform_queue_.pop_front();
    written_quarantines_.insert(entry.digest);
  }
}

// Only a deletion recorded in the object's history counts as a lift: after a
// restore of the platform the object may be missing without having been
// deleted.
void CrashGuard::CheckWrittenQuarantines() {
  std::set<uint64_t> digests;
  {
    const std::lock_guard lock(mutex_);
    std::erase_if(written_quarantines_, [this](uint64_t digest) {
      return table_.Find(digest, SteadyNow()) != Suspicion::kQuarantined;
    });
    digests = written_quarantines_;
  }
  for (const uint64_t digest : digests) {
    const Result<ObjectHistory> history =
        platform_.History(QuarantinePath(digest));
    const bool is_deleted =
        history && !history.value().empty() && history.value().back().deleted;
    if (is_deleted) Lift(digest);
  }
}

// Another router may have written the same quarantine; the later expiry is
// kept.
bool CrashGuard::Write(const QuarantineEntry& entry) {
  const TimePoint now = SteadyNow();
  if (entry.expires <= now) return true;
  const std::string path = QuarantinePath(entry.digest);
  const auto expires_at = WallNow() + (entry.expires - now);
  const int64_t expires_at_ms = ToMillis(expires_at.time_since_epoch()).count();
  const Json value = {{"expires_at_ms", expires_at_ms}, {"by", settings_.id}};
  const Result<PlatformObject> existing = platform_.Get(path);
  if (!existing && existing.error().code != ErrorCode::kNotFound) return false;
  if (existing && existing.value().value.value("expires_at_ms", int64_t{0}) >=
                      expires_at_ms) {
    return true;
  }
  const uint64_t version = existing ? existing.value().version : 0;
  return platform_.Put(path, value, version).has_value();
}

void CrashGuard::AdoptObject(const PlatformObject& object) {
  const std::optional<uint64_t> digest = ParseQuarantinePath(object.path);
  if (!digest || !object.value.is_object()) return;
  const auto expires_at = object.value.find("expires_at_ms");
  if (expires_at == object.value.end() || !expires_at->is_number()) return;
  const WallTime expires{milliseconds(expires_at->get<int64_t>())};
  const TimePoint now = SteadyNow();
  const std::lock_guard lock(mutex_);
  table_.Adopt({*digest, Suspicion::kQuarantined, now + (expires - WallNow())},
               now);
}

void CrashGuard::LiftByPath(const std::string& path) {
  const std::optional<uint64_t> digest = ParseQuarantinePath(path);
  if (!digest) return;
  Lift(*digest);
}

void CrashGuard::Lift(uint64_t digest) {
  LogEvent(EventId::kQuarantineLifted, {{"digest", FormatDigestHex(digest)}});
  {
    const std::lock_guard lock(mutex_);
    table_.Lift(digest);
    written_quarantines_.erase(digest);
    peer_queue_.push_back(Json{
        {"digest", FormatDigestHex(digest)},
        {"state", kLiftedState},
        {"left_ms", 0}}.dump());
  }
  changed_.notify_all();
}

void CrashGuard::WaitBeforeRetry() {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, settings_.platform.loop.longest_retry_pause,
                    [this] { return stopping_; });
}

}  // namespace dogwoodlatch::router
