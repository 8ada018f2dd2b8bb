/// Detects requests, and parts that prompts share, which crash the targets that
/// run them.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dogwoodlatch/serving/fleet.h"
#include "dogwoodlatch/serving/prompt.h"
#include "dogwoodlatch/time.h"

namespace dogwoodlatch::serving {

enum class SuspectKind : uint8_t {
  kRequest,  ///< one request, with all repetitions by its caller
  kPart,     ///< a part that prompts share
};

/// What may crash a target.
struct Suspect {
  SuspectKind kind = SuspectKind::kRequest;
  uint64_t hash = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Suspect&) const = default;
};

/// The kind and the hash, for logs.
std::string ToString(const Suspect& suspect);

/// The suspects in a request: the request itself and the shared parts of its
/// prompt, that is, all but the last one.
std::vector<Suspect> SuspectsOf(std::string_view path,
                                std::string_view workspace,
                                std::string_view body, const Prompt& prompt);

/// Identifies one incarnation of a target. A restart gives a new key, even
/// under the same id.
uint64_t IncarnationKey(const TargetRecord& target);

/// A run that ended with a broken connection.
struct BrokenRun {
  uint64_t target = 0;  ///< the target's IncarnationKey
  /// The answer had begun well before the break, so the run's start is not what
  /// crashed the target.
  bool was_answering = false;
};

/// What a router knows of a suspect, as it is sent to other routers.
struct SuspectReport {
  struct Crash {
    uint64_t target = 0;
    Duration age{0};
    bool was_answering = false;

    bool operator==(const Crash&) const = default;
  };
  Suspect suspect;
  std::vector<Crash> crashes{};
  std::optional<Duration> answered_ago{};  ///< last whole answer
  Duration wanted_ago{0};  ///< last crash, or last request held back

  bool operator==(const SuspectReport&) const = default;
};

/// Whether a request may be sent to a target.
struct PoisonVerdict {
  bool is_held_back = false;
  /// The request is sent to learn whether it still crashes targets.
  bool is_trial = false;
  Suspect suspect{};       ///< that holds the request back, or is tried
  size_t crashes = 0;      ///< targets that crashed under the suspect
  Duration next_trial{0};  ///< time until the suspect may be tried again
};

/// A suspect that has begun to hold requests back, or has ceased to.
struct SuspectChange {
  Suspect suspect;
  bool holds_back = false;
  size_t crashes = 0;  ///< targets that crashed under it
};

/// Counts, by suspect, the targets that broke off while they ran a request with
/// it, at this router or at others. One whole answer acquits all suspects in a
/// request. See docs/design/0010-crashing-parts.md.
class PoisonGuard {
 public:
  /// Records a broken run of a request with these suspects. A target counts
  /// once for each of them.
  void OnBroken(std::span<const Suspect> suspects, const BrokenRun& run,
                TimePoint now);

  /// Records a whole answer to a request with these suspects.
  void OnAnswered(std::span<const Suspect> suspects, TimePoint now);

  /// Decides about a new request. A trial that it grants counts as sent.
  PoisonVerdict Admit(std::span<const Suspect> suspects, TimePoint now);

  /// Decides about a request that would be sent once more.
  PoisonVerdict Check(std::span<const Suspect> suspects, TimePoint now) const;

  /// Number of targets that crashed under the suspect.
  size_t Crashes(const Suspect& suspect) const;

  /// Returns and clears what has changed, for logs.
  std::vector<SuspectChange> TakeChanges() {
    return std::exchange(changes_, {});
  }

  /// Names the routers that take turns with trials, this one first.
  void SetRouters(std::vector<uint64_t> routers);

  /// True while something has changed that other routers may not know.
  bool HasFreshReports(TimePoint now) const;
  bool has_suspects() const { return !records_.empty(); }

  /// Number of suspects that hold requests back.
  size_t holding_back() const;

  /// Drops what has expired and returns the reports to send next: those of
  /// suspects that hold requests back, changes that have not been reported,
  /// fresh ones, and others in turn.
  std::vector<SuspectReport> TakeReports(TimePoint now);

  /// Merges the reports of another router.
  void OnReports(std::span<const SuspectReport> reports, TimePoint now);

 private:
  struct Crash {
    uint64_t target = 0;
    TimePoint at{};
    bool was_answering = false;
  };
  struct Record {
    std::vector<Crash> crashes;
    std::optional<TimePoint> answered_at;
    TimePoint wanted_at{};
    TimePoint changed_at{};
    std::optional<TimePoint> tried_at;  ///< by this router
    bool holds_back = false;
    bool is_reported = false;  ///< since the last change
  };
  using Records = std::map<Suspect, Record>;

  /// To be called after the crashes of a record have changed.
  void NoteChange(const Suspect& suspect, Record& record, TimePoint now);
  void DropExpired(TimePoint now);
  Record* FindOrAdd(const Suspect& suspect, TimePoint now);
  void MakeRoom(TimePoint now);
  bool MergeReport(const SuspectReport& report, Record& record, TimePoint now);
  bool IsExplainedByOthers(const Record& record,
                           std::span<const Suspect> suspects) const;
  bool IsTurnToTry(const Suspect& suspect, const Record& record,
                   Duration overdue, TimePoint now) const;
  std::optional<TimePoint> AnsweredAt(const Suspect& suspect) const;
  SuspectReport MakeReport(const Records::value_type& entry,
                           TimePoint now) const;

  Records records_;
  /// Last whole answers, by part, of this router's requests.
  std::unordered_map<uint64_t, TimePoint> answered_parts_;
  std::vector<uint64_t> routers_;
  std::optional<Suspect> last_reported_;
  std::vector<SuspectChange> changes_;
};

}  // namespace dogwoodlatch::serving
