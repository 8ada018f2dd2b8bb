#include "dogwoodlatch/usage.h"

#include <array>

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

struct Field {
  const char* name;
  uint64_t UsageCounts::*member;
};

constexpr std::array kFields = {
    Field{"requests", &UsageCounts::requests},
    Field{"complete", &UsageCounts::complete},
    Field{"prompt_tokens", &UsageCounts::prompt_tokens},
    Field{"cached_tokens", &UsageCounts::cached_tokens},
    Field{"output_tokens", &UsageCounts::output_tokens},
};

}  // namespace

UsageCounts& UsageCounts::operator+=(const UsageCounts& other) {
  for (const Field& field : kFields) this->*field.member += other.*field.member;
  return *this;
}

UsageCounts CountUsage(const Outcome& outcome) {
  if (outcome.kind != OutcomeKind::kComplete) return {1, 0, 0, 0, 0};
  return {1, 1, outcome.answer.prompt_tokens, outcome.answer.cached_tokens,
          outcome.answer.output_tokens};
}

void AddUsage(UsageReport& sum, const UsageReport& other) {
  for (const auto& [key, counts] : other) sum[key] += counts;
}

Json ToJson(const UsageReport& report) {
  Json list = Json::array();
  for (const auto& [key, counts] : report) {
    Json item = {{"workspace", key.first.value}, {"serves", key.second}};
    for (const Field& field : kFields) item[field.name] = counts.*field.member;
    list.push_back(std::move(item));
  }
  return list;
}

Result<UsageReport> ParseUsageReport(const Json& document) {
  // nlohmann::json reports wrong types only by exception.
  try {
    UsageReport report;
    for (const Json& item : document) {
      UsageCounts& counts = report[{{item.at("workspace")}, item.at("serves")}];
      for (const Field& field : kFields) {
        counts.*field.member += item.at(field.name).get<uint64_t>();
      }
    }
    return report;
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kWrongType, "usage report", e.what()};
  }
}

}  // namespace dogwoodlatch
