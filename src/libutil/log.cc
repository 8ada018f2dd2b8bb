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
              "The process serves."},
    EventSpec{EventId::kStopping, Severity::kInfo, "stopping",
              "A stop was asked for; requests in flight finish."},
    EventSpec{EventId::kStopped, Severity::kInfo, "stopped",
              "The process ends; nothing is in flight."},
    EventSpec{EventId::kReloaded, Severity::kInfo, "reloaded",
              "The settings file was read again."},
    EventSpec{EventId::kSettingsFileRefused, Severity::kError,
              "settings_file_refused",
              "The process's settings file has faults; nothing starts."},
    EventSpec{EventId::kListenFailed, Severity::kError, "listen_failed",
              "An address cannot be bound."},
    EventSpec{EventId::kLogDropped, Severity::kWarning, "log_dropped",
              "Lines were dropped: they came too fast or nobody read them."},
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
    EventSpec{EventId::kConfigurationAdopted, Severity::kInfo,
              "configuration_adopted",
              "Another version of the configuration is in force."},
    EventSpec{EventId::kBadObject, Severity::kWarning, "bad_object",
              "An object of the platform cannot be read and is left out."},
    EventSpec{EventId::kWeightsNamed, Severity::kInfo, "weights_named",
              "A newer version of a model's weights is named."},
    EventSpec{EventId::kVmListAdopted, Severity::kInfo, "vm_list_adopted",
              "A VM list is in force."},
    EventSpec{EventId::kTargetListed, Severity::kInfo, "target_listed",
              "A target's entry has appeared or changed."},
    EventSpec{EventId::kTargetUnlisted, Severity::kInfo, "target_unlisted",
              "A target's entry is gone."},
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
    EventSpec{EventId::kTargetAvoided, Severity::kWarning, "target_avoided",
              "No connection to the target could be made."},
    EventSpec{EventId::kWeightsOrdered, Severity::kInfo, "weights_ordered",
              "The agent orders its target to load weights."},
    EventSpec{EventId::kWeightsOrderAnswered, Severity::kInfo,
              "weights_order_answered", "The target has answered an order."},
    EventSpec{EventId::kWeightsLoaded, Severity::kInfo, "weights_loaded",
              "The target has other weights than before."},
    EventSpec{EventId::kRequestEnded, Severity::kInfo, "request_ended",
              "A request has its final outcome."},
    EventSpec{EventId::kAttemptSent, Severity::kInfo, "attempt_sent",
              "A request is sent to a target."},
    EventSpec{EventId::kAttemptRefused, Severity::kInfo, "attempt_refused",
              "The target has not run the request and says so."},
    EventSpec{EventId::kAttemptLost, Severity::kWarning, "attempt_lost",
              "The answer is lost or unusable; the request may have run."},
    EventSpec{EventId::kAnswerSkipped, Severity::kWarning, "answer_skipped",
              "An answer to another request came and was left out."},
    EventSpec{EventId::kRequestTooLate, Severity::kInfo, "request_too_late",
              "A request is refused because its answer would come too late."},
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

// Bytes that wait for a reader of standard output; some seconds of lines.
constexpr size_t kMaxBufferedBytes = 256UL * 1024;

// A pipe takes this many bytes at once without blocking when it is writable.
constexpr size_t kAtomicPipeBytes = 4096;

// Lines of one event in a second; a router serves some hundred requests.
constexpr int kMaxEventsPerSecond = 400;

// Keeps lines until FlushLog writes them.
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

// Counts the lines of each event in the present second.
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

std::string FormatMilliseconds(Duration span) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
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

// Constructed once, before the first appender.
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
