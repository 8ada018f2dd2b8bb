#include "request_stats.h"

#include <sstream>

namespace dogwoodlatch::router {
namespace {

constexpr std::array kQuantiles = {0.5, 0.95, 0.99};

std::string Label(std::string_view name, std::string_view value) {
  return std::string(name) + "=\"" + std::string(value) + "\"";
}

void WriteBurn(const ObjectiveBurn& burn, std::ostream& out) {
  const std::string labels = Label("team", burn.objective.team) + "," +
                             Label("objective", burn.objective.name);
  const double share = burn.objective.share;
  out << "dogwoodlatch_burn_rate{" << labels << ",window=\"short\"} "
      << BurnRate(burn.ShortTotal(), share) << "\n";
  out << "dogwoodlatch_burn_rate{" << labels << ",window=\"long\"} "
      << BurnRate(burn.LongTotal(), share) << "\n";
  for (const double quantile : kQuantiles) {
    const auto time = FirstTokenQuantile(burn.first_token, quantile);
    if (!time) continue;
    out << "dogwoodlatch_first_token_seconds{" << labels << ",quantile=\""
        << quantile << "\"} " << std::chrono::duration<double>(*time).count()
        << "\n";
  }
}

void WriteUsage(const UsageReport::value_type& entry, std::ostream& out) {
  const auto& [key, counts] = entry;
  const std::string labels =
      Label("workspace", key.first.value) + "," + Label("serves", key.second);
  out << "dogwoodlatch_prompt_tokens_total{" << labels << "} "
      << counts.prompt_tokens << "\n";
  out << "dogwoodlatch_cached_tokens_total{" << labels << "} "
      << counts.cached_tokens << "\n";
}

}  // namespace

void RequestStats::Record(const SettingsSnapshot& settings,
                          const SloSample& sample, const Outcome& outcome,
                          TimePoint now) {
  const std::vector<Objective> objectives =
      settings.ObjectivesFor(sample.serves);
  const std::string labels = Label("outcome", ToString(outcome.kind)) + "," +
                             Label("reason", ToString(outcome.reason));
  const std::lock_guard lock(mutex_);
  ++outcome_counts_[labels];
  burn_.Record(objectives, sample, now);
  usage_[{sample.workspace, sample.serves}] += CountUsage(outcome);
}

std::string RequestStats::Metrics(TimePoint now) const {
  std::ostringstream out;
  const std::lock_guard lock(mutex_);
  for (const auto& [labels, count] : outcome_counts_) {
    out << "dogwoodlatch_requests_total{" << labels << "} " << count << "\n";
  }
  for (const auto& entry : usage_) WriteUsage(entry, out);
  for (const ObjectiveBurn& burn : burn_.Report(now)) WriteBurn(burn, out);
  return out.str();
}

nlohmann::json RequestStats::Status(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return {{"burn", ToJson(burn_.Report(now))}, {"usage", ToJson(usage_)}};
}

}  // namespace dogwoodlatch::router
