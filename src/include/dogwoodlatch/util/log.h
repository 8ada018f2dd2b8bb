/// Logs as numbered events. docs/events.md lists the same events for operators.
#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

enum class Severity { kDebug, kInfo, kWarning, kError };

/// The number of an event never changes and is never given to another.
enum class EventId {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kReloaded = 103,
  kSettingsFileRefused = 110,
  kListenFailed = 111,
  kLogDropped = 120,
  kPlatformUnavailable = 200,
  kPlatformBack = 201,
  kSettingsAdopted = 210,
  kSettingsRefused = 211,
  kConfigurationAdopted = 212,
  kBadObject = 213,
  kWeightsNamed = 214,
  kVmListAdopted = 220,
  kTargetListed = 221,
  kTargetUnlisted = 222,
  kPeerSnapshotTaken = 230,
  kTargetUp = 300,
  kTargetDown = 301,
  kAgentUnreachable = 310,
  kBadMessage = 311,
  kTargetAvoided = 320,
  kWeightsOrdered = 330,
  kWeightsOrderAnswered = 331,
  kWeightsLoaded = 332,
  kRequestEnded = 400,
  kAttemptSent = 401,
  kAttemptRefused = 402,
  kAttemptLost = 403,
  kAnswerSkipped = 404,
  kRequestTooLate = 405,
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

/// A span in whole milliseconds, as log fields give it.
std::string FormatMilliseconds(Duration span);

/// Writes "E<number> <name> key=value ..." at the event's severity.
void LogEvent(EventId id, EventFields fields);

/// Sends events to standard output through a bounded buffer that FlushLog
/// empties. Lines that do not fit, or that come faster than
/// `kMaxEventsPerSecond` a second of one event, are dropped and counted. For
/// programs of one thread.
void InitBufferedLogging(std::string_view process, Severity threshold);

/// Writes buffered lines as far as that does not block, and reports dropped
/// ones. Does nothing unless InitBufferedLogging was called.
void FlushLog();

/// Sends events to standard error; events below `threshold` are dropped.
/// `process` names the writer.
void InitLogging(std::string_view process, Severity threshold);

}  // namespace dogwoodlatch
