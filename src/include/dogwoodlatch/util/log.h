/// Logs as numbered events. docs/events.md lists the same events for operators.
#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace dogwoodlatch {

enum class Severity { kDebug, kInfo, kWarning, kError };

/// The number of an event never changes and is never given to another.
enum class EventId {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kSettingsFileRefused = 110,
  kListenFailed = 111,
  kPlatformUnavailable = 200,
  kPlatformBack = 201,
  kSettingsAdopted = 210,
  kSettingsRefused = 211,
  kVmListAdopted = 220,
  kPeerSnapshotTaken = 230,
  kTargetUp = 300,
  kTargetDown = 301,
  kAgentUnreachable = 310,
  kBadMessage = 311,
  kRequestEnded = 400,
  kTargetCrashed = 500,
  kCrashSuspects = 501,
  kQuarantined = 502,
  kQuarantineLifted = 503,
  kQuarantineUnwritten = 504,
  kRunHandedOver = 510,
};

struct EventSpec {
  EventId id;
  Severity severity;
  std::string_view name;
  std::string_view meaning;
};

/// Every event, by rising number.
std::span<const EventSpec> EventCatalogue();

using EventFields =
    std::initializer_list<std::pair<std::string_view, std::string>>;

/// Writes "E<number> <name> key=value ..." at the event's severity.
void LogEvent(EventId id, EventFields fields);

/// Sends events to standard error; events below `threshold` are dropped.
/// `process` names the writer.
void InitLogging(std::string_view process, Severity threshold);

}  // namespace dogwoodlatch
