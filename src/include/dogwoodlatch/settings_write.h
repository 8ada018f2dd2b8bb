/// One operator's conditional write of a team's settings: accepted, or a
/// conflict that shows both changes. A write whose answer is lost is read back.
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

/// One key that differs; null where the key is absent.
struct ValueChange {
  std::string path;  ///< steps joined with '.'
  nlohmann::json before;
  nlohmann::json after;
};

/// Every value that differs, objects compared key by key.
std::vector<ValueChange> FindChanges(const nlohmann::json& before,
                                     const nlohmann::json& after);

/// Two changes of one base that met.
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

/// How a write ended. An Error of kUnknownOutcome means that the platform could
/// not be read back.
using WriteResult = std::variant<WriteAccepted, WriteConflict, Error>;

/// The calls that a write makes.
struct PutCommand {
  uint64_t expected_version = 0;
};
struct ReadHistoryCommand {};
using WriteCommand = std::variant<PutCommand, ReadHistoryCommand>;

/// Drives one write: take the command, make the call, report it, until a result
/// is there.
class SettingsWrite {
 public:
  /// `base` is the object that the operator changed, with version 0 when there
  /// was none, as read at revision `base_revision`.
  SettingsWrite(PlatformObject base, uint64_t base_revision,
                nlohmann::json ours);

  WriteCommand command() const { return command_; }
  const std::optional<WriteResult>& result() const { return result_; }

  void OnPut(const Result<uint64_t>& answer);
  void OnHistory(const Result<ObjectHistory>& answer);

 private:
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
