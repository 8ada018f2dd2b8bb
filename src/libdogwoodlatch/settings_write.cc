#include "dogwoodlatch/settings_write.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

Json MemberOrNull(const Json& object, const std::string& name) {
  return object.is_object() && object.contains(name) ? object[name] : Json();
}

std::set<std::string> CollectMemberNames(const Json& a, const Json& b) {
  std::set<std::string> names;
  for (const Json* json : {&a, &b}) {
    if (!json->is_object()) continue;
    for (const auto& [name, value] : json->items()) names.insert(name);
  }
  return names;
}

void CollectChanges(const Json& before, const Json& after,
                    const std::string& path,
                    std::vector<ValueChange>& changes) {
  if (before == after) return;
  const std::set<std::string> names = CollectMemberNames(before, after);
  if (names.empty() || (!before.is_object() && !before.is_null()) ||
      (!after.is_object() && !after.is_null())) {
    changes.push_back({path, before, after});
    return;
  }
  for (const std::string& name : names) {
    std::string here = path;
    if (!here.empty()) here += '.';
    here += name;
    CollectChanges(MemberOrNull(before, name), MemberOrNull(after, name), here,
                   changes);
  }
}

}  // namespace

std::vector<ValueChange> FindChanges(const Json& before, const Json& after) {
  std::vector<ValueChange> changes;
  CollectChanges(before, after, "", changes);
  return changes;
}

SettingsWrite::SettingsWrite(PlatformObject base, uint64_t base_revision,
                             Json ours)
    : base_(std::move(base)),
      base_revision_(base_revision),
      ours_(std::move(ours)),
      command_(PutCommand{base_.version}) {}

void SettingsWrite::OnPut(const Result<uint64_t>& answer) {
  if (answer) {
    result_ = WriteAccepted{answer.value()};
    return;
  }
  switch (answer.error().code) {
    case ErrorCode::kConflict:
      return RetryWith(ReadHistoryCommand{}, answer.error());
    case ErrorCode::kUnknownOutcome:
      may_have_written_ = true;
      return RetryWith(ReadHistoryCommand{}, answer.error());
    default:
      // This call had no effect, but an earlier one may have had one.
      if (may_have_written_) {
        return RetryWith(ReadHistoryCommand{}, answer.error());
      }
      result_ = answer.error();
  }
}

// The first version after `base_revision_` shows which write won: this one, if
// its answer was lost, or another operator's.
void SettingsWrite::OnHistory(const Result<ObjectHistory>& answer) {
  if (!answer) return RetryWith(ReadHistoryCommand{}, answer.error());
  const ObjectHistory& history = answer.value();
  const auto next = std::ranges::find_if(history, [&](const auto& change) {
    return change.object.version > base_revision_;
  });
  if (next == history.end()) {
    return RetryWith(
        PutCommand{base_.version},
        {ErrorCode::kUnknownOutcome, base_.path,
         "the write has no known outcome after repeated attempts"});
  }
  if (may_have_written_ && !next->deleted && next->object.value == ours_) {
    result_ = WriteAccepted{next->object.version};
    return;
  }
  const ObjectChange& newest = history.back();
  result_ = WriteConflict{base_.version, newest.object.version, base_.value,
                          newest.deleted ? Json() : newest.object.value, ours_};
}

void SettingsWrite::RetryWith(WriteCommand command, const Error& error) {
  command_ = command;
  if (++calls_ < kMaxCalls) return;
  result_ = Error{may_have_written_ ? ErrorCode::kUnknownOutcome : error.code,
                  error.where, error.detail};
}

}  // namespace dogwoodlatch
