#include "dogwoodlatch/util/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <sstream>
#include <utility>

namespace dogwoodlatch {
namespace {

constexpr std::array kCatalogue = {
    EventSpec{EventId::kStarted, Severity::kInfo, "started",
              "The process has started."},
    EventSpec{
        EventId::kStopping, Severity::kInfo, "stopping",
        "Shutdown was requested; requests in flight are being completed."},
    EventSpec{EventId::kStopped, Severity::kInfo, "stopped",
              "The process exits; requests still in flight are aborted."},
    EventSpec{EventId::kReloaded, Severity::kInfo, "reloaded",
              "The settings file was read again."},
    EventSpec{
        EventId::kSettingsFileRefused, Severity::kError,
        "settings_file_refused",
        "The settings file is invalid; the process does not start or, on a "
        "reload, keeps its settings."},
    EventSpec{EventId::kListenFailed, Severity::kError, "listen_failed",
              "An address cannot be bound."},
    EventSpec{EventId::kLogDropped, Severity::kWarning, "log_dropped",
              "Log lines were dropped: the rate limit was exceeded or the "
              "output was not read in time."},
    EventSpec{
        EventId::kPlatformUnavailable, Severity::kWarning,
        "platform_unavailable",
        "The platform does not respond; the last known state stays in force."},
    EventSpec{EventId::kPlatformBack, Severity::kInfo, "platform_back",
              "The platform responds again."},
    EventSpec{EventId::kStoreRestored, Severity::kWarning, "store_restored",
              "The platform's store came back from an older copy; lists are "
              "fetched again and lost writes are awaited."},
    EventSpec{EventId::kSettingsAdopted, Severity::kInfo, "settings_adopted",
              "A new version of a team's settings object is in force."},
    EventSpec{EventId::kSettingsRefused, Severity::kWarning, "settings_refused",
              "A team's settings object is invalid; its last valid version "
              "stays in force."},
    EventSpec{EventId::kConfigurationAdopted, Severity::kInfo,
              "configuration_adopted",
              "A different version of the configuration is now in force."},
    EventSpec{EventId::kBadObject, Severity::kWarning, "bad_object",
              "An object from the platform, or a part of it, cannot be decoded "
              "and is ignored."},
    EventSpec{EventId::kWeightsNamed, Severity::kInfo, "weights_named",
              "The platform names a newer version of a model's weights."},
    EventSpec{EventId::kVmListAdopted, Severity::kInfo, "vm_list_adopted",
              "A new VM list is in force."},
    EventSpec{EventId::kTargetListed, Severity::kInfo, "target_listed",
              "A target's entry was added or changed."},
    EventSpec{EventId::kTargetUnlisted, Severity::kInfo, "target_unlisted",
              "A target's entry was removed."},
    EventSpec{EventId::kTargetLeaving, Severity::kInfo, "target_leaving",
              "A target says that it is about to exit; it gets no new "
              "requests."},
    EventSpec{
        EventId::kTargetPushback, Severity::kInfo, "target_pushback",
        "A target refused a request and named a time within which it gets "
        "no more from this VM."},
    EventSpec{EventId::kPeerSnapshotTaken, Severity::kInfo,
              "peer_snapshot_taken",
              "Settings and VM list were received from a peer during startup."},
    EventSpec{EventId::kTargetUp, Severity::kInfo, "target_up",
              "The target responds for the first time or again."},
    EventSpec{EventId::kTargetDown, Severity::kWarning, "target_down",
              "The target does not respond."},
    EventSpec{EventId::kAgentUnreachable, Severity::kWarning,
              "agent_unreachable",
              "The connection to an agent was lost or refused."},
    EventSpec{EventId::kBadMessage, Severity::kWarning, "bad_message",
              "A message could not be decoded and was dropped."},
    EventSpec{EventId::kInputTooLong, Severity::kWarning, "input_too_long",
              "A peer sent more bytes than such a message may have; its "
              "connection was closed."},
    EventSpec{EventId::kTargetAvoided, Severity::kWarning, "target_avoided",
              "A connection to the target could not be established."},
    EventSpec{EventId::kWeightsOrdered, Severity::kInfo, "weights_ordered",
              "The agent orders its target to load weights."},
    EventSpec{
        EventId::kWeightsOrderAnswered, Severity::kInfo,
        "weights_order_answered",
        "A weights order has ended with the target's response or an error."},
    EventSpec{EventId::kWeightsLoaded, Severity::kInfo, "weights_loaded",
              "The target reports a different weights version than before."},
    EventSpec{EventId::kCoordinatorChanged, Severity::kInfo,
              "coordinator_changed",
              "This router now orders weights for targets without an agent, or "
              "no longer does."},
    EventSpec{EventId::kRequestEnded, Severity::kInfo, "request_ended",
              "A request has reached its final outcome."},
    EventSpec{EventId::kAttemptSent, Severity::kInfo, "attempt_sent",
              "A request is sent to a target."},
    EventSpec{EventId::kAttemptRefused, Severity::kInfo, "attempt_refused",
              "The target reports that it has not run the request."},
    EventSpec{
        EventId::kAttemptLost, Severity::kWarning, "attempt_lost",
        "The response was lost or is unusable; the request may have run."},
    EventSpec{EventId::kAnswerSkipped, Severity::kWarning, "answer_skipped",
              "A response to a different request was received and ignored."},
    EventSpec{
        EventId::kRequestTooLate, Severity::kInfo, "request_too_late",
        "A request is refused because its response would arrive too late."},
    EventSpec{
        EventId::kAttemptWithdrawn, Severity::kInfo, "attempt_withdrawn",
        "A request ended while a target had it; the attempt is cancelled."},
    EventSpec{EventId::kTargetCrashed, Severity::kWarning, "target_crashed",
              "A run failed and the target's incarnation has ended."},
    EventSpec{EventId::kCrashSuspects, Severity::kWarning, "crash_suspects",
              "Requests in flight during a crash run alone from now on."},
    EventSpec{
        EventId::kQuarantined, Severity::kError, "quarantined",
        "A request crashed a target while it ran alone and is refused for a "
        "limited time."},
    EventSpec{EventId::kQuarantineLifted, Severity::kInfo, "quarantine_lifted",
              "An operator lifted a quarantine."},
    EventSpec{EventId::kQuarantineUnwritten, Severity::kWarning,
              "quarantine_unwritten",
              "A quarantine is in force but not yet stored in the platform."},
    EventSpec{EventId::kRunHandedOver, Severity::kInfo, "run_handed_over",
              "A draining agent hands over a run, which continues at another "
              "target."},
};

// Limit on output waiting for the reader of standard output; holds a few
// seconds of lines.
constexpr size_t kMaxBufferedBytes = 256UL * 1024;

// A pipe that polls as writable accepts this many bytes without blocking.
constexpr size_t kAtomicPipeBytes = 4096;

// Limit on the lines of each event per second; a router serves several hundred
// requests per second.
constexpr int kMaxEventsPerSecond = 400;

// Buffers lines until FlushLog writes them.
class BufferedAppender final : public log4cplus::Appender {
 public:
  ~BufferedAppender() override { destructorImpl(); }
  void close() override { closed = true; }

  void Flush() {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    size_t written = 0;
    while (written < buffer_.size() && poll(&output, 1, 0) == 1 &&
           (output.revents & POLLOUT) != 0) {
      const ssize_t count =
          write(STDOUT_FILENO, buffer_.data() + written,
                std::min(kAtomicPipeBytes, buffer_.size() - written));
      if (count <= 0) break;
      written += static_cast<size_t>(count);
    }
    buffer_.erase(0, written);
  }

  size_t TakeDropped() { return std::exchange(dropped_, 0); }
  void CountDropped() { ++dropped_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    if (buffer_.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    line_.str("");
    layout->formatAndAppend(line_, event);
    buffer_.append(line_.view());
  }

 private:
  std::string buffer_;
  std::ostringstream line_;
  size_t dropped_ = 0;
};

// Limits the lines of each event within the current second.
class EventRateLimiter {
 public:
  bool Admit(EventId id) {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    if (second != current_second_) lines_per_event_.clear();
    current_second_ = second;
    return ++lines_per_event_[id] <= kMaxEventsPerSecond;
  }

 private:
  std::chrono::seconds current_second_{0};
  std::map<EventId, int> lines_per_event_;
};

BufferedAppender* buffered_appender = nullptr;
EventRateLimiter event_rate_limiter;

log4cplus::LogLevel ToLogLevel(Severity severity) {
  static constexpr std::array kLevels = {
      log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
      log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
  return kLevels.at(static_cast<size_t>(severity));
}

}  // namespace

std::span<const EventSpec> EventCatalogue() { return kCatalogue; }

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void LogEvent(EventId id, EventFields fields) {
  const auto spec = std::ranges::find(kCatalogue, id, &EventSpec::id);
  log4cplus::Logger logger = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel level = ToLogLevel(spec->severity);
  if (!logger.isEnabledFor(level)) return;
  if (buffered_appender != nullptr && !event_rate_limiter.Admit(id)) {
    buffered_appender->CountDropped();
    return;
  }
  std::ostringstream line;
  line << 'E' << static_cast<int>(id) << ' ' << spec->name;
  for (const auto& [key, value] : fields) line << ' ' << key << '=' << value;
  logger.log(level, line.str());
}

namespace {

void InstallAppender(const log4cplus::SharedAppenderPtr& appender,
                     std::string_view process, Severity threshold) {
  const std::string pattern =
      "%D{%Y-%m-%dT%H:%M:%S.%q} " + std::string(process) + " %p %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLogLevel(threshold));
}

// log4cplus must be initialized once, before the first appender is created.
void InitializeLog4cplus() { static const log4cplus::Initializer initializer; }

}  // namespace

void InitLogging(std::string_view process, Severity threshold) {
  InitializeLog4cplus();
  buffered_appender = nullptr;
  InstallAppender(
      log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)),
      process, threshold);
}

void InitBufferedLogging(std::string_view process, Severity threshold) {
  InitializeLog4cplus();
  buffered_appender = new BufferedAppender();
  InstallAppender(log4cplus::SharedAppenderPtr(buffered_appender), process,
                  threshold);
}

void FlushLog() {
  if (buffered_appender == nullptr) return;
  if (const size_t dropped = buffered_appender->TakeDropped()) {
    LogEvent(EventId::kLogDropped, {{"lines", std::to_string(dropped)}});
  }
  buffered_appender->Flush();
}

}  // namespace dogwoodlatch
