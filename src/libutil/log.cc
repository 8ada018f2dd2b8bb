#include "dogwoodlatch/util/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace dogwoodlatch {
namespace {

constexpr std::array kCatalogue = {
    EventSpec{EventId::kStarted, Severity::kInfo, "started",
              "The process serves."},
    EventSpec{EventId::kStopping, Severity::kInfo, "stopping",
              "A stop was asked for; requests in flight finish."},
    EventSpec{EventId::kStopped, Severity::kInfo, "stopped",
              "The process ends; nothing is in flight."},
    EventSpec{EventId::kSettingsFileRefused, Severity::kError,
              "settings_file_refused",
              "The process's settings file has faults; nothing starts."},
    EventSpec{EventId::kListenFailed, Severity::kError, "listen_failed",
              "An address cannot be bound."},
    EventSpec{EventId::kPlatformUnavailable, Severity::kWarning,
              "platform_unavailable",
              "The platform does not answer; what is known stays in force."},
    EventSpec{EventId::kPlatformBack, Severity::kInfo, "platform_back",
              "The platform answers again."},
    EventSpec{EventId::kSettingsAdopted, Severity::kInfo, "settings_adopted",
              "A team's object is in force."},
    EventSpec{
        EventId::kSettingsRefused, Severity::kWarning, "settings_refused",
        "A team's object has faults; its last valid version stays in force."},
    EventSpec{EventId::kVmListAdopted, Severity::kInfo, "vm_list_adopted",
              "A VM list is in force."},
    EventSpec{EventId::kPeerSnapshotTaken, Severity::kInfo,
              "peer_snapshot_taken",
              "A peer's settings and VM list were taken while starting."},
    EventSpec{EventId::kTargetUp, Severity::kInfo, "target_up",
              "The target answers, as a new incarnation."},
    EventSpec{EventId::kTargetDown, Severity::kWarning, "target_down",
              "The target does not answer."},
    EventSpec{EventId::kAgentUnreachable, Severity::kWarning,
              "agent_unreachable",
              "The connection to an agent was lost or refused."},
    EventSpec{EventId::kBadMessage, Severity::kWarning, "bad_message",
              "A message did not decode and was dropped."},
    EventSpec{EventId::kRequestEnded, Severity::kDebug, "request_ended",
              "A request has its final outcome."},
    EventSpec{EventId::kTargetCrashed, Severity::kWarning, "target_crashed",
              "A run broke and the target's life has ended."},
    EventSpec{EventId::kCrashSuspects, Severity::kWarning, "crash_suspects",
              "Requests in flight at a crash run alone from now on."},
    EventSpec{EventId::kQuarantined, Severity::kError, "quarantined",
              "A request crashed a target while it ran alone; it is refused "
              "for a time."},
    EventSpec{EventId::kQuarantineLifted, Severity::kInfo, "quarantine_lifted",
              "An operator lifted a quarantine."},
    EventSpec{EventId::kQuarantineUnwritten, Severity::kWarning,
              "quarantine_unwritten",
              "A quarantine is in force but not yet in the platform."},
    EventSpec{EventId::kRunHandedOver, Severity::kInfo, "run_handed_over",
              "A run of a draining agent continues at another target."},
};

log4cplus::LogLevel LevelOf(Severity severity) {
  static constexpr std::array kLevels = {
      log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
      log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
  return kLevels.at(static_cast<size_t>(severity));
}

}  // namespace

std::span<const EventSpec> EventCatalogue() { return kCatalogue; }

void LogEvent(EventId id, EventFields fields) {
  const auto spec = std::ranges::find(kCatalogue, id, &EventSpec::id);
  log4cplus::Logger logger = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel level = LevelOf(spec->severity);
  if (!logger.isEnabledFor(level)) return;
  std::ostringstream line;
  line << 'E' << static_cast<int>(id) << ' ' << spec->name;
  for (const auto& [key, value] : fields) line << ' ' << key << '=' << value;
  logger.log(level, line.str());
}

void InitLogging(std::string_view process, Severity threshold) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  const std::string pattern =
      "%D{%Y-%m-%dT%H:%M:%S.%q} " + std::string(process) + " %p %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(LevelOf(threshold));
}

}  // namespace dogwoodlatch
