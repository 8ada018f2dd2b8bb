#include "at_most_once_runner.h"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <utility>

namespace dogwoodlatch::agent {
namespace {

constexpr size_t kPlatformThreads = 4;
constexpr std::chrono::milliseconds kTickInterval{5};
constexpr std::string_view kHeadName = "head";

std::string ClaimLogPrefix(const ClaimLogName& name) {
  return "claims/" + name.service + "/" + std::to_string(name.log) + "/";
}

std::string HeadPath(const ClaimLogName& name) {
  return ClaimLogPrefix(name) + std::string(kHeadName);
}

std::string SegmentPath(const ClaimLogName& name, uint64_t number) {
  return ClaimLogPrefix(name) + std::to_string(number);
}

WriteOutcome ToWriteOutcome(const Result<uint64_t>& version) {
  if (version) return WriteOutcome::kWritten;
  switch (version.error().code) {
    case ErrorCode::kConflict:
      return WriteOutcome::kConflict;
    case ErrorCode::kUnavailable:
      return WriteOutcome::kNotWritten;
    default:
      return WriteOutcome::kUnknown;
  }
}

bool AddHead(const PlatformObject& object, ClaimsRead& read) {
  Result<ClaimHead> head = ParseClaimHead(object.value);
  if (!head) return false;
  read.head = std::move(head).value();
  read.head_version = object.version;
  return true;
}

bool IsListed(const ClaimHead& head, uint64_t number) {
  return std::ranges::find(head.segments, number, &SegmentRef::number) !=
         head.segments.end();
}

// Reads the entries of a segment. A segment that the head does not list is not
// part of the log; only its number is recorded.
bool AddSegment(const PlatformObject& object, uint64_t number,
                ClaimsRead& read) {
  read.segment_numbers.push_back(number);
  if (!IsListed(read.head, number)) return true;
  Result<std::vector<ClaimEntry>> entries = ParseSegment(object.value);
  if (!entries) return false;
  std::ranges::move(entries.value(), std::back_inserter(read.archived));
  return true;
}

// Parses the objects of a log. Returns none unless the head and all segments
// that it lists are present and valid.
std::optional<ClaimsRead> ParseClaims(const ObjectList& list,
                                      const ClaimLogName& name) {
  ClaimsRead read;
  const auto head =
      std::ranges::find(list.objects, HeadPath(name), &PlatformObject::path);
  if (head != list.objects.end() && !AddHead(*head, read)) return std::nullopt;
  for (const PlatformObject& object : list.objects) {
    const std::string name_in_log =
        object.path.substr(ClaimLogPrefix(name).size());
    if (name_in_log == kHeadName) continue;
    uint64_t number = 0;
    std::from_chars(name_in_log.data(), name_in_log.data() + name_in_log.size(),
                    number);
    if (!AddSegment(object, number, read)) return std::nullopt;
  }
  const bool is_complete =
      std::ranges::all_of(read.head.segments, [&](const SegmentRef& segment) {
        return std::ranges::find(read.segment_numbers, segment.number) !=
               read.segment_numbers.end();
      });
  if (!is_complete) return std::nullopt;
  return read;
}

AtMostOnceOptions MakeCoreOptions(const AtMostOnceRunnerOptions& options) {
  AtMostOnceOptions result;
  result.log.self = options.target;
  result.log.claimant = options.claimant;
  return result;
}

}  // namespace

AtMostOnceRunner::AtMostOnceRunner(const AtMostOnceRunnerOptions& options,
                                   AtMostOnceHooks hooks, std::mutex& mutex,
                                   AgentCore& admission)
    : platform_(options.platform),
      has_platform_(!options.platform.address.empty() &&
                    !options.target.empty()),
      hooks_(std::move(hooks)),
      mutex_(mutex),
      admission_(admission),
      core_(
          MakeCoreOptions(options),
          [this](const Submit& submit) {
            return admission_.Admit(submit, SteadyNow());
          },
          MakeSeededRandom()),
      pool_(kPlatformThreads),
      ticker_([this] { TickUntilStopped(); }) {}

AtMostOnceRunner::~AtMostOnceRunner() { Stop(); }

void AtMostOnceRunner::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_.notify_all();
  if (ticker_.joinable()) ticker_.join();
  pool_.join();
}

void AtMostOnceRunner::OnSubmit(ConnectionId connection, const Submit& submit) {
  Decide([&] {
    return core_.OnSubmit(submit, connection, SteadyNow(), WallNow());
  });
  work_.notify_one();
}

void AtMostOnceRunner::OnRunEnded(const ClaimKey& key, RunOutcome outcome,
                                  const RunAnswer& answer) {
  Decide([&] { return core_.OnRunEnded(key, outcome, answer); });
  work_.notify_one();
}

std::vector<ClaimLogName> AtMostOnceRunner::OwnedLogs() const {
  return core_.OwnedLogs();
}

template <typename F>
void AtMostOnceRunner::Decide(F&& decide) {
  Commands commands;
  {
    const std::lock_guard lock(mutex_);
    commands = decide();
  }
  for (const AtMostOnceCommand& command : commands) {
    std::visit([this](const auto& c) { this->Execute(c); }, command);
  }
}

void AtMostOnceRunner::Execute(const SendBack& command) {
  hooks_.send(command.connection, command.message);
}

void AtMostOnceRunner::Execute(const StartRun& command) {
  hooks_.start(command);
}

void AtMostOnceRunner::Execute(const EndAdmission& command) {
  const std::lock_guard lock(mutex_);
  admission_.OnEnded(command.request_id, command.attempt);
}

// Without a platform the layout stays unknown, so nothing can be claimed or
// run.
void AtMostOnceRunner::Execute(const EnsureLayout& command) {
  asio::post(pool_, [this, command] {
    std::optional<uint32_t> logs;
    const std::string path = "claims/" + command.service + "/layout";
    const auto read = [&]() -> Result<PlatformObject> {
      if (has_platform_) return platform_.Get(path);
      return Error{ErrorCode::kUnavailable, path, "no platform is configured"};
    };
    Result<PlatformObject> layout = read();
    if (!layout && layout.error().code == ErrorCode::kNotFound) {
      // The first writer determines the number of logs; a second read returns
      // the number that was stored.
      std::ignore = platform_.Put(path, {{"logs", command.logs}}, 0);
      layout = read();
    }
    if (layout) logs = layout.value().value.value("logs", 0U);
    Decide([&] {
      return core_.OnLayout(command.service, logs, SteadyNow(), WallNow());
    });
  });
}

void AtMostOnceRunner::Execute(const AccessLog& command) {
  asio::post(pool_, [this, command] {
    std::visit([&](const auto& c) { Access(command.name, c); },
               command.command);
  });
}

void AtMostOnceRunner::Access(const ClaimLogName& name, const ReadClaims&) {
  const Result<ObjectList> list = platform_.List(ClaimLogPrefix(name));
  std::optional<ClaimsRead> read;
  if (list) read = ParseClaims(list.value(), name);
  Decide([&] { return core_.OnRead(name, read, SteadyNow(), WallNow()); });
}

void AtMostOnceRunner::Access(const ClaimLogName& name,
                              const WriteHead& command) {
  const Result<uint64_t> version = platform_.Put(
      HeadPath(name), ToJson(command.head), command.expected_version);
  const HeadWritten written{ToWriteOutcome(version),
                            version ? version.value() : 0};
  Decide([&] {
    return core_.OnHeadWritten(name, written, SteadyNow(), WallNow());
  });
}

void AtMostOnceRunner::Access(const ClaimLogName& name,
                              const WriteSegment& command) {
  const Result<uint64_t> version = platform_.Put(
      SegmentPath(name, command.number), SegmentToJson(command.entries), 0);
  Decide([&] {
    return core_.OnSegmentWritten(name, version.has_value(), SteadyNow(),
                                  WallNow());
  });
}

// A segment that cannot be deleted is dropped by the next owner.
void AtMostOnceRunner::Access(const ClaimLogName& name,
                              const DropSegment& command) {
  const std::string path = SegmentPath(name, command.number);
  const Result<PlatformObject> object = platform_.Get(path);
  if (object) std::ignore = platform_.Delete(path, object.value().version);
}

void AtMostOnceRunner::TickUntilStopped() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    work_.wait(lock, [this] { return stopping_ || !core_.is_idle(); });
    if (stopping_) return;
    lock.unlock();
    Decide([this] { return core_.Tick(SteadyNow(), WallNow()); });
    std::this_thread::sleep_for(kTickInterval);
    lock.lock();
  }
}

}  // namespace dogwoodlatch::agent
