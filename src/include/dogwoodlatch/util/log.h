/// Logging of numbered events; docs/events.md documents them for operators.
#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch {

enum class Severity { kDebug, kInfo, kWarning, kError };

/// Event numbers are permanent: they are neither changed nor reused.
enum class EventId {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kReloaded = 103,
  kSettingsFileRefused = 110,
  kListenFailed = 111,
  kLogDropped = 120,
  kHandlerFailed = 130,
  kPlatformUnavailable = 200,
  kPlatformBack = 201,
  kStoreRestored = 202,
  kSettingsAdopted = 210,
  kSettingsRefused = 211,
  kConfigurationAdopted = 212,
  kBadObject = 213,
  kWeightsNamed = 214,
  kListIncomplete = 215,
  kObjectsRefused = 216,
  kChangesUnread = 217,
  kVmListAdopted = 220,
  kTargetListed = 221,
  kTargetUnlisted = 222,
  kTargetLeaving = 223,
  kTargetPushback = 224,
  kVmSilent = 225,
  kVmAnswers = 226,
  kPeerSnapshotTaken = 230,
  kTargetUp = 300,
  kTargetDown = 301,
  kAgentUnreachable = 310,
  kBadMessage = 311,
  kInputTooLong = 312,
  kControlTraffic = 315,
  kTargetAvoided = 320,
  kWeightsOrdered = 330,
  kWeightsOrderAnswered = 331,
  kWeightsLoaded = 332,
  kCoordinatorChanged = 333,
  kOrderFenceTaken = 334,
  kEngineProfileChanged = 340,
  kTargetSlow = 341,
  kTargetSpeedBack = 342,
  kRequestEnded = 400,
  kAttemptSent = 401,
  kAttemptRefused = 402,
  kAttemptLost = 403,
  kAnswerSkipped = 404,
  kRequestTooLate = 405,
  kAttemptWithdrawn = 406,
  kAttemptSilent = 407,
  kAttemptKept = 408,
  kRetryDenied = 409,
  kCallerCutOff = 410,
  kBrokenRunCounted = 411,
  kRequestHeldBack = 412,
  kSuspectChanged = 413,
  kQuotaLimitBegun = 414,
  kQuotaLimitEnded = 415,
  kClientsRefused = 420,
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

/// All events in ascending order of number.
std::span<const EventSpec> EventCatalogue();

using EventFields =
    std::initializer_list<std::pair<std::string_view, std::string>>;

/// Formats a duration in whole milliseconds for a log field.
std::string FormatMilliseconds(Duration duration);

/// Writes "E<number> <name> key=value ..." at the event's severity.
void LogEvent(EventId id, EventFields fields);

/// Sends events to standard output through a bounded buffer that FlushLog
/// empties. Lines that do not fit, and lines of one event beyond a limit per
/// second, are dropped and counted. For single-threaded programs only.
void InitBufferedLogging(std::string_view process, Severity threshold);

/// Writes as many buffered lines as possible without blocking, and logs the
/// number of dropped lines. Does nothing unless InitBufferedLogging was called.
void FlushLog();

/// Flushes the log for the last time. Lines that the output does not take are
/// counted as dropped; the count goes to standard error.
void EndLog();

/// Sends events to standard error; events below `threshold` are dropped.
/// `process` is the process name that each line carries.
void InitLogging(std::string_view process, Severity threshold);

}  // namespace dogwoodlatch
