// JSON serialization of burn reports, as contained in the daemons' status.

#include <algorithm>

#include "dogwoodlatch/burn.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;

Json CountsJson(const SloCounts& counts) {
  return Json::array({counts.good, counts.total});
}

SloCounts ParseCounts(const Json& json) {
  return {json.at(0).get<uint64_t>(), json.at(1).get<uint64_t>()};
}

Json ObjectiveJson(const Objective& objective) {
  return {{"team", objective.team},
          {"name", objective.name},
          {"serves", objective.serves},
          {"share", objective.share},
          {"first_token_ms", objective.first_token.count()}};
}

Objective ParseObjective(const Json& json) {
  return {json.at("team"), json.at("name"), json.at("serves"),
          json.at("share").get<double>(),
          std::chrono::milliseconds(json.at("first_token_ms").get<int64_t>())};
}

// Index and count of each non-empty bin; index -1 is the underflow bin.
Json HistogramJson(const FirstTokenHistogram& histogram) {
  Json bins = Json::array();
  for (int bin = -1; bin <= histogram.axis().size(); ++bin) {
    const uint64_t count = histogram.at(bin);
    if (count > 0) bins.push_back(Json::array({bin, count}));
  }
  return bins;
}

FirstTokenHistogram ParseHistogram(const Json& json) {
  FirstTokenHistogram histogram = MakeFirstTokenHistogram();
  for (const Json& bin : json) {
    const int number = bin.at(0).get<int>();
    if (number < -1 || number > histogram.axis().size()) continue;
    histogram.at(number) += bin.at(1).get<uint64_t>();
  }
  return histogram;
}

Json BurnJson(const ObjectiveBurn& burn) {
  Json rows = Json::array();
  for (const BurnRow& row : burn.rows) {
    rows.push_back({{"workspace", row.workspace.value},
                    {"target", row.target.value},
                    {"short", CountsJson(row.short_window)},
                    {"long", CountsJson(row.long_window)}});
  }
  Json history = Json::array();
  std::ranges::transform(burn.history, std::back_inserter(history), CountsJson);
  const double share = burn.objective.share;
  Json json = ObjectiveJson(burn.objective);
  json["state"] = ToString(ComputeBurnState(burn));
  json["short_burn_rate"] = BurnRate(burn.ShortTotal(), share);
  json["long_burn_rate"] = BurnRate(burn.LongTotal(), share);
  json["budget_left"] = BudgetLeft(burn.LongTotal(), share);
  json["rows"] = std::move(rows);
  json["history"] = std::move(history);
  json["first_token_bins"] = HistogramJson(burn.first_token);
  return json;
}

ObjectiveBurn ParseBurn(const Json& json) {
  ObjectiveBurn burn{ParseObjective(json), {}, {}};
  for (const Json& row : json.at("rows")) {
    burn.rows.push_back({{row.at("workspace")},
                         {row.at("target")},
                         ParseCounts(row.at("short")),
                         ParseCounts(row.at("long"))});
  }
  std::ranges::transform(json.at("history"), std::back_inserter(burn.history),
                         ParseCounts);
  burn.first_token = ParseHistogram(json.at("first_token_bins"));
  return burn;
}

}  // namespace

Json ToJson(const BurnReport& report) {
  Json json = Json::array();
  std::ranges::transform(report, std::back_inserter(json), BurnJson);
  return json;
}

Result<BurnReport> ParseBurnReport(const Json& document) {
  // nlohmann::json reports wrong types only by exception.
  try {
    BurnReport report;
    std::ranges::transform(document, std::back_inserter(report), ParseBurn);
    return report;
  } catch (const Json::exception& e) {
    return Error{ErrorCode::kWrongType, "burn report", e.what()};
  }
}

}  // namespace dogwoodlatch
