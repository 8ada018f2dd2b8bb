/// An operator's conditional write of a team's settings: accepted, or a
/// conflict that shows both changes. A write whose answer was lost is read
/// back.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dogwoodlatch/error.h"
#include "dogwoodlatch/platform_objects.h"

namespace dogwoodlatch {

/// One key whose value differs; null where the key is absent.
struct ValueChange {
  std::string path;  ///< steps joined with '.'
  nlohmann::json before;
  nlohmann::json after;
};

/// All values that differ; objects are compared key by key.
std::vector<ValueChange> FindChanges(const nlohmann::json& before,
                                     const nlohmann::json& after);

/// Two conflicting changes of the same base.
struct WriteConflict {
  uint64_t base_version = 0;
  uint64_t their_version = 0;
  nlohmann::json base;
  nlohmann::json theirs;
  nlohmann::json ours;

  std::vector<ValueChange> TheirChanges() const {
    return FindChanges(base, theirs);
  }
  std::vector<ValueChange> OurChanges() const {
    return FindChanges(base, ours);
  }
};

struct WriteAccepted {
  uint64_t version = 0;
};

/// Result of a write. An Error of kUnknownOutcome means that reading the object
/// back did not show whether the write took effect.
using WriteResult = std::variant<WriteAccepted, WriteConflict, Error>;

/// The calls that a write makes to the platform.
struct PutCommand {
  uint64_t expected_version = 0;
};
struct ReadHistoryCommand {};
using WriteCommand = std::variant<PutCommand, ReadHistoryCommand>;

/// State machine of one write. Until result() is set, make the call that
/// command() names and report its answer.
class SettingsWrite {
 public:
  /// `base` is the object that the operator changed (version 0 if there was
  /// none), as read at revision `base_revision`.
  SettingsWrite(PlatformObject base, uint64_t base_revision,
                nlohmann::json ours);

  WriteCommand command() const { return command_; }
  const std::optional<WriteResult>& result() const { return result_; }

  void OnPut(const Result<uint64_t>& answer);
  void OnHistory(const Result<ObjectHistory>& answer);

 private:
  // Calls without a result after which the write ends with an error.
  static constexpr int kMaxCalls = 8;

  void RetryWith(WriteCommand command, const Error& error);

  PlatformObject base_;
  uint64_t base_revision_;
  nlohmann::json ours_;
  WriteCommand command_;
  std::optional<WriteResult> result_;
  bool may_have_written_ = false;
  int calls_ = 0;
};

}  // namespace dogwoodlatch
