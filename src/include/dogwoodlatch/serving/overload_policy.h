/// Decides under overload which requests are sent: the more urgent first, and
/// within a priority each workspace up to its fair share.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

/// A sum of amounts in which each one counts less the older it is.
class DecayingSum {
 public:
  void Add(double amount, TimePoint now);
  double Value(TimePoint now) const;

  /// Time after which an amount counts by a factor of e less.
  static constexpr std::chrono::milliseconds kMemory{2000};

 private:
  double value_ = 0;
  TimePoint at_{};
};

/// A request for which placement has found the best target.
struct OverloadRequest {
  std::string_view service;
  std::string_view workspace;  ///< empty on public routes
  double weight = 1.0;         ///< of the workspace's fair share
  int priority = 5;            ///< 0 is the most urgent
  Duration objective{0};       ///< until the first event; 0 if there is none
  Duration timeout{0};         ///< that the route allows
  Duration time_left{0};       ///< until the caller's deadline or the timeout
  Duration wait{0};            ///< expected before the request starts
  Duration prefill{0};         ///< expected of its own prompt
  std::optional<Duration> max_backlog{};  ///< see Placement
  bool is_stream = true;  ///< callers abandon streams without events
  /// A target has refused the request, so it has been decided on before.
  bool is_repeat = false;
  double draw = 0.5;  ///< random number in [0, 1) that spreads the returns
};

/// Why a request is refused.
enum class OverloadReason {
  kNone,       ///< it is sent
  kDeadline,   ///< its caller would leave before the answer
  kObjective,  ///< the wait is too long for its objective
  kPriority,   ///< the room that is left is for more urgent requests
  kFairShare,  ///< its workspace has had its share
};

std::string_view ToString(OverloadReason reason);

struct OverloadDecision {
  OverloadReason reason = OverloadReason::kNone;
  /// Longest wait with which the request would be sent; none if unlimited.
  std::optional<Duration> max_wait{};
  Duration retry_after{0};  ///< set if it is refused
  /// Work of the workspace as a multiple of its fair share; 0 if that is not
  /// limited.
  double share_used = 0;

  bool sends() const { return reason == OverloadReason::kNone; }
};

/// One router's decisions. Waits are shared by all requests of a service, so a
/// request with a long objective fills the targets until those with a short
/// one are late. The wait that a request accepts is therefore limited by what
/// the more urgent requests of its service need. While no request has to be
/// refused, or only one kind of request of one workspace arrives, and after a
/// start, the decision is that of RetryAfterIfTooLate. Not thread-safe.
class OverloadPolicy {
 public:
  OverloadDecision Decide(const OverloadRequest& request, TimePoint now);

  /// Share of the smallest wait limit of a service up to which no request is
  /// refused for its priority or its workspace.
  static constexpr double kFreeWaitShare = 0.5;

  /// Share of the work of a service that each kind gets if it asks for as much.
  static constexpr double kMinKindShare = 0.05;

  /// Workspaces of one service and priority whose work is remembered.
  static constexpr size_t kMaxWorkspaces = 4096;

 private:
  // Requests of one priority and objective.
  struct Kind {
    int priority = 0;
    Duration objective{0};
    TimePoint last_seen{};
    DecayingSum requests{};  ///< count of those that were offered
    DecayingSum offered{};   ///< work in ms
    DecayingSum admitted{};  ///< work in ms

    double MeanWorkMs(TimePoint now) const;
  };

  struct Usage {
    double weight = 1.0;
    DecayingSum offered{};   ///< work in ms
    DecayingSum admitted{};  ///< work in ms
  };

  struct StringHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  // The workspaces that share what is left for one priority.
  struct PriorityClass {
    std::unordered_map<std::string, Usage, StringHash, std::equal_to<>> usages;
    std::optional<double> fair_work_ms;  ///< of a weight of 1; none: unlimited
    TimePoint next_update{};

    Usage& UsageOf(std::string_view workspace, TimePoint now);
    void UpdateFairWork(TimePoint now);
  };

  struct Service {
    std::vector<Kind> kinds;
    std::map<int, PriorityClass> classes;
    DecayingSum requests;
    DecayingSum offered{};   ///< work in ms
    DecayingSum admitted{};  ///< work in ms

    Duration MeanWork(TimePoint now) const;
    // The kind is refused while it has less than kMinKindShare of the work.
    bool IsBelowMinimum(const Kind& kind, TimePoint now) const;
    // The wait up to which nothing is refused for the sake of others.
    Duration FreeWait(TimePoint now) const;
    Kind& KindOf(const OverloadRequest& request, TimePoint now);
  };

  static Duration LimitForKind(const Service& service, const Kind& kind,
                               Duration own_limit, Duration prefill,
                               TimePoint now);
  static Duration RetryAfter(const Service& service,
                             const OverloadRequest& request, Duration max_wait,
                             TimePoint now);

  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace dogwoodlatch::serving
