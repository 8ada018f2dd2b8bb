#include "dogwoodlatch/util/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
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
    EventSpec{EventId::kHandlerFailed, Severity::kError, "handler_failed",
              "An unexpected exception ended the handling of one message, "
              "answer or tick; the process goes on."},
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
    EventSpec{EventId::kListIncomplete, Severity::kWarning, "list_incomplete",
              "A list of the platform's store cannot be continued after an "
              "object whose name cannot be sent back; what it holds so far is "
              "used, or the list fails."},
    EventSpec{EventId::kObjectsRefused, Severity::kWarning, "objects_refused",
              "Objects in an answer of the platform's store are not used: of "
              "another form, or too large, alone or together."},
    EventSpec{EventId::kChangesUnread, Severity::kWarning, "changes_unread",
              "An answer with changes of the platform's store cannot be read; "
              "the objects are listed instead."},
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
    EventSpec{EventId::kVmSilent, Severity::kWarning, "vm_silent",
              "The VM of a target answers no probes: it stands still or cannot "
              "be reached."},
    EventSpec{EventId::kVmAnswers, Severity::kInfo, "vm_answers",
              "A VM that was silent has sent something again."},
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
    EventSpec{EventId::kControlTraffic, Severity::kInfo, "control_traffic",
              "Control datagrams sent since the process started, by the "
              "receivers' failure domain."},
    EventSpec{EventId::kTargetAvoided, Severity::kWarning, "target_avoided",
              "A connection to the target could not be established, or several "
              "broke at once."},
    EventSpec{
        EventId::kWeightsOrdered, Severity::kInfo, "weights_ordered",
        "The agent, or the coordinator while the agent is silent, orders a "
        "target to load weights."},
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
    EventSpec{EventId::kOrderFenceTaken, Severity::kInfo, "order_fence_taken",
              "An agent has asked the platform's store for a fence for its "
              "orders, as its target does not compare fences."},
    EventSpec{EventId::kEngineProfileChanged, Severity::kInfo,
              "engine_profile_changed",
              "The estimate of the speed of a service's engines has changed."},
    EventSpec{EventId::kTargetSlow, Severity::kWarning, "target_slow",
              "A target takes at least twice as long as others of its "
              "service."},
    EventSpec{EventId::kTargetSpeedBack, Severity::kInfo, "target_speed_back",
              "A slow target is about as fast as its service again."},
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
        "A request is refused because its response would arrive too late, or "
        "because the room that is left is for others."},
    EventSpec{EventId::kAttemptWithdrawn, Severity::kInfo, "attempt_withdrawn",
              "A target had a request that has ended or goes on elsewhere; the "
              "attempt is cancelled."},
    EventSpec{EventId::kAttemptSilent, Severity::kInfo, "attempt_silent",
              "A target that has a request sends nothing; the request moves to "
              "another one or stays."},
    EventSpec{EventId::kAttemptKept, Severity::kInfo, "attempt_kept",
              "A silent target goes on, or no other one can take its request; "
              "the request stays there."},
    EventSpec{EventId::kRetryDenied, Severity::kInfo, "retry_denied",
              "A request was not sent once more, as the retries of the window "
              "are used up or kept for more urgent ones."},
    EventSpec{EventId::kCallerCutOff, Severity::kWarning, "caller_cut_off",
              "A caller's connection was closed while bytes of a request or "
              "response were left; a request may have got no answer."},
    EventSpec{EventId::kBrokenRunCounted, Severity::kWarning,
              "broken_run_counted",
              "A target broke off while it ran a request; the run counts "
              "against the request and its shared parts."},
    EventSpec{EventId::kRequestHeldBack, Severity::kWarning,
              "request_held_back",
              "Targets have crashed under a request or a part of its prompt; "
              "it is not sent to another one, or it is sent as a trial."},
    EventSpec{EventId::kSuspectChanged, Severity::kWarning, "suspect_changed",
              "A request or prompt part that crashes targets begins to hold "
              "requests back, or no longer does."},
    EventSpec{EventId::kQuotaLimitBegun, Severity::kInfo, "quota_limit_begun",
              "A workspace has used up its quota; this router refuses what "
              "exceeds it."},
    EventSpec{EventId::kQuotaLimitEnded, Severity::kInfo, "quota_limit_ended",
              "A workspace is within its quota again at this router."},
    EventSpec{EventId::kClientsRefused, Severity::kWarning, "clients_refused",
              "Clients were refused, or their connections closed, because of "
              "what they hold, send or do not read."},
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
class BufferedSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  void WriteBuffered(int output) {
    pollfd poll_entry{output, POLLOUT, 0};
    size_t written = 0;
    while (written < buffer_.size() && poll(&poll_entry, 1, 0) == 1 &&
           (poll_entry.revents & POLLOUT) != 0) {
      const ssize_t count =
          write(output, buffer_.data() + written, NextChunk(written));
      if (count <= 0) break;
      written += static_cast<size_t>(count);
    }
    buffer_.erase(0, written);
    report_end_ -= std::min(report_end_, written);
    if (report_end_ == 0) reported_ = 0;
  }

  bool is_empty() const { return buffer_.empty(); }

  // Counts the buffered lines as dropped; a buffered report passes its count
  // on.
  void DropBuffered() {
    dropped_ += static_cast<size_t>(std::ranges::count(buffer_, '\n'));
    if (reported_ > 0) dropped_ += reported_ - 1;
    reported_ = report_end_ = 0;
    buffer_.clear();
  }

  void CountDropped() { ++dropped_; }

  // Lets `log` log the number of dropped lines, unless there is none. Without
  // room for the line, or before the last such line is written, the count is
  // kept.
  void ReportDropped(const std::function<void(size_t)>& log) {
    if (dropped_ == 0 || reported_ > 0 || !has_room()) return;
    reported_ = std::exchange(dropped_, 0);
    log(reported_);
    report_end_ = buffer_.size();
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (!has_room()) {
      ++dropped_;
      return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    buffer_.append(line.data(), line.size());
  }

  // spdlog flushes on its own only when told to.
  void flush_() override {}

 private:
  bool has_room() const { return buffer_.size() <= kMaxBufferedBytes; }

  // Whole lines as far as they fit, so that the output never ends within one.
  size_t NextChunk(size_t start) const {
    const std::string_view lines = buffer_;
    const std::string_view chunk = lines.substr(start, kAtomicPipeBytes);
    const size_t line_end = chunk.rfind('\n');
    return line_end == std::string_view::npos ? chunk.size() : line_end + 1;
  }

  std::string buffer_;
  size_t dropped_ = 0;
  // A line in the buffer that reports dropped lines: their number, and where
  // the line ends.
  size_t reported_ = 0;
  size_t report_end_ = 0;
};

// Writes severities in capital letters.
class SeverityFlag final : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm& /*time*/,
              spdlog::memory_buf_t& line) override {
    static constexpr std::array<std::string_view, spdlog::level::n_levels>
        kNames = {"TRACE", "DEBUG", "INFO", "WARN", "ERROR", "FATAL", "OFF"};
    const std::string_view name = kNames.at(message.level);
    line.append(name.data(), name.data() + name.size());
  }

  std::unique_ptr<custom_flag_formatter> clone() const override {
    return std::make_unique<SeverityFlag>();
  }
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

// Neither starts a thread. Both live as long as the process.
std::shared_ptr<spdlog::logger> logger;
std::shared_ptr<BufferedSink> buffered_sink;
EventRateLimiter event_rate_limiter;

spdlog::level::level_enum ToLevel(Severity severity) {
  static constexpr std::array kLevels = {
      spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
      spdlog::level::err};
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
  const spdlog::level::level_enum level = ToLevel(spec->severity);
  if (logger == nullptr || !logger->should_log(level)) return;
  if (buffered_sink != nullptr && !event_rate_limiter.Admit(id)) {
    buffered_sink->CountDropped();
    return;
  }
  std::ostringstream line;
  line << 'E' << static_cast<int>(id) << ' ' << spec->name;
  for (const auto& [key, value] : fields) line << ' ' << key << '=' << value;
  logger->log(level, line.str());
}

namespace {

void InstallSink(const spdlog::sink_ptr& sink, std::string_view process,
                 Severity threshold) {
  auto formatter = std::make_unique<spdlog::pattern_formatter>();
  formatter->add_flag<SeverityFlag>('*').set_pattern(
      "%Y-%m-%dT%H:%M:%S.%e %n %* %v");
  sink->set_formatter(std::move(formatter));
  logger = std::make_shared<spdlog::logger>(std::string(process), sink);
  logger->set_level(ToLevel(threshold));
}

void LogDropped() {
  buffered_sink->ReportDropped([](size_t lines) {
    LogEvent(EventId::kLogDropped, {{"lines", std::to_string(lines)}});
  });
}

}  // namespace

void InitLogging(std::string_view process, Severity threshold) {
  buffered_sink = nullptr;
  InstallSink(std::make_shared<spdlog::sinks::stderr_sink_mt>(), process,
              threshold);
}

void InitBufferedLogging(std::string_view process, Severity threshold) {
  buffered_sink = std::make_shared<BufferedSink>();
  InstallSink(buffered_sink, process, threshold);
}

void FlushLog() {
  if (buffered_sink == nullptr) return;
  LogDropped();
  buffered_sink->WriteBuffered(STDOUT_FILENO);
}

void EndLog() {
  if (buffered_sink == nullptr) return;
  FlushLog();
  if (buffered_sink->is_empty()) return;
  buffered_sink->DropBuffered();
  LogDropped();
  buffered_sink->WriteBuffered(STDERR_FILENO);
}

}  // namespace dogwoodlatch
