// Compares routing policies by running the decision code in simulated time.

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

#include "bench.h"
#include "policy_simulation.h"
#include "simulated_policies.h"

namespace dogwoodlatch::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kRouterPolicy = "probe";
constexpr uint64_t kSeed = 20261203;
constexpr unsigned kHistogramBins = 600;
constexpr double kHistogramMinMs = 0.1;
constexpr double kHistogramMaxMs = 60000;

const std::array kScenarios = {
    Scenario{.name = "light", .load = 0.3},
    Scenario{.name = "steady"},
    Scenario{.name = "shifting-hot", .shift_interval = seconds(15)},
    Scenario{.name = "replica-crash", .fault = Fault::kReplicaCrash},
    Scenario{.name = "domain-lost", .load = 0.7, .fault = Fault::kDomainLost},
    Scenario{
        .name = "domain-lost-50", .load = 0.5, .fault = Fault::kDomainLost},
    Scenario{.name = "event-gaps", .event_loss = 0.02},
    Scenario{.name = "load-lag", .load_lag = seconds(2)},
    Scenario{.name = "router-herd", .fault = Fault::kRoutersRestart},
    Scenario{.name = "capacity", .load = 1.0},
    Scenario{.name = "twice-capacity", .load = 2.0},
};

struct PolicyMetrics {
  double hit_rate = 0;
  std::array<double, 3> first_token_percentiles_ms{};  // p50, p95, p99
  double wasted_share = 0;  // share of the served prompt tokens
  double goodput = 0;       // requests/s with the first token in time
  double shed_share = 0;
  double lost_share = 0;
  double fairness = 0;  // lowest ratio of a workspace's work to its fair share
};

std::array<double, 3> Percentiles(const std::vector<Duration>& times) {
  namespace bh = boost::histogram;
  auto histogram =
      bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
          kHistogramBins, kHistogramMinMs, kHistogramMaxMs));
  for (const Duration time : times) {
    histogram(std::chrono::duration<double, std::milli>(time).count());
  }
  std::array<double, 3> values{};
  constexpr std::array kQuantiles = {0.5, 0.95, 0.99};
  for (size_t i = 0; i < kQuantiles.size(); ++i) {
    const double rank = kQuantiles[i] * static_cast<double>(times.size());
    double cumulative = 0;
    for (const auto& cell : bh::indexed(histogram, bh::coverage::all)) {
      cumulative += *cell;
      if (cumulative < rank) continue;
      values[i] = cell.bin().upper();
      break;
    }
  }
  return values;
}

// Splits `total` by max-min fairness with equal weights.
std::vector<double> FairShares(const std::vector<double>& demands,
                               double total) {
  std::vector<size_t> order(demands.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::ranges::sort(order, {}, [&](size_t i) { return demands[i]; });
  std::vector<double> shares(demands.size());
  auto remaining = static_cast<double>(demands.size());
  for (const size_t i : order) {
    shares[i] = std::min(demands[i], total / remaining);
    total -= shares[i];
    --remaining;
  }
  return shares;
}

// Estimates the prefill tokens that a workspace's requests would need: the mean
// cost of its served requests times the number of its requests.
double EstimateDemand(const SimulationResult::WorkspaceCounts& counts) {
  if (counts.served == 0) return 0;
  return static_cast<double>(counts.computed_tokens) *
         static_cast<double>(counts.offered) /
         static_cast<double>(counts.served);
}

// Returns the lowest ratio, over all workspaces, of prefill work received to
// the fair share of all prefill work done; at most 1.
double LowestFairShareRatio(const SimulationResult& result) {
  std::vector<double> demands;
  std::ranges::transform(result.workspaces, std::back_inserter(demands),
                         EstimateDemand);
  const std::vector<double> shares =
      FairShares(demands, static_cast<double>(result.computed_tokens));
  double worst = 1;
  for (size_t i = 0; i < shares.size(); ++i) {
    const SimulationResult::WorkspaceCounts& counts = result.workspaces[i];
    if (counts.offered > 0 && counts.served == 0) return 0;
    if (shares[i] == 0) continue;
    worst = std::min(worst,
                     static_cast<double>(counts.computed_tokens) / shares[i]);
  }
  return worst;
}

double Ratio(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

PolicyMetrics ComputeMetrics(const SimulationResult& result) {
  PolicyMetrics metrics;
  metrics.hit_rate = Ratio(result.cached_tokens, result.prompt_tokens);
  metrics.first_token_percentiles_ms = Percentiles(result.first_token);
  metrics.wasted_share = Ratio(result.wasted_tokens, result.prompt_tokens);
  metrics.goodput = static_cast<double>(result.in_time) / result.seconds;
  metrics.shed_share = Ratio(result.shed, result.requests);
  metrics.lost_share = Ratio(result.lost, result.requests);
  metrics.fairness = LowestFairShareRatio(result);
  return metrics;
}

void PrintHeader() {
  std::cout << std::left << std::setw(9) << "workload" << std::setw(15)
            << "scenario" << std::setw(14) << "policy" << std::right
            << "  hit   p50ms  p95ms  p99ms  waste  good/s   shed   lost  "
               "fair\n";
}

void PrintRow(const Deployment& deployment, const Scenario& scenario,
              std::string_view policy, const PolicyMetrics& metrics) {
  const auto& [p50, p95, p99] = metrics.first_token_percentiles_ms;
  std::cout << std::left << std::setw(9) << deployment.name << std::setw(15)
            << scenario.name << std::setw(14) << policy << std::right
            << std::fixed << std::setprecision(3) << metrics.hit_rate
            << std::setprecision(0) << std::setw(7) << p50 << std::setw(7)
            << p95 << std::setw(7) << p99 << std::setprecision(4)
            << std::setw(8) << metrics.wasted_share << std::setprecision(2)
            << std::setw(8) << metrics.goodput << std::setprecision(3)
            << std::setw(7) << metrics.shed_share << std::setw(7)
            << metrics.lost_share << std::setprecision(2) << std::setw(6)
            << metrics.fairness << "\n";
}

void PrintJson(const Deployment& deployment, const Scenario& scenario,
               std::string_view policy, const PolicyMetrics& metrics) {
  const nlohmann::json line = {
      {"bench", "policy"},
      {"seed", kSeed},
      {"workload", deployment.name},
      {"scenario", scenario.name},
      {"policy", policy},
      {"hit_rate", metrics.hit_rate},
      {"first_token_ms", metrics.first_token_percentiles_ms},
      {"wasted_share", metrics.wasted_share},
      {"goodput_per_second", metrics.goodput},
      {"shed_share", metrics.shed_share},
      {"lost_share", metrics.lost_share},
      {"fairness", metrics.fairness}};
  std::cout << line.dump() << "\n";
}

// Prints the metrics of the router's policy for several weights of
// recomputation.
void RunRecomputeWeightCurve(bool is_json) {
  constexpr std::array kWeights = {0.0, 0.5, 1.0, 2.0, 4.0, 8.0};
  const auto print = is_json ? PrintJson : PrintRow;
  const auto probe =
      std::ranges::find(Policies(), kRouterPolicy, &NamedPolicy::name);
  for (Deployment deployment : Deployments()) {
    for (const double weight : kWeights) {
      deployment.recompute_weight = weight;
      std::ostringstream label;
      label << "weight=" << weight;
      print(deployment, kScenarios[1], label.str(),
            ComputeMetrics(
                Simulate(deployment, kScenarios[1], probe->make, kSeed)));
    }
  }
}

bool HasArgument(std::span<const std::string> arguments,
                 std::string_view flag) {
  return std::ranges::find(arguments, flag) != arguments.end();
}

}  // namespace

int RunPolicyBench(std::span<const std::string> arguments) {
  const bool is_json = HasArgument(arguments, "--json");
  const auto print = is_json ? PrintJson : PrintRow;
  if (!is_json) PrintHeader();
  if (HasArgument(arguments, "--curve")) {
    RunRecomputeWeightCurve(is_json);
    return 0;
  }
  for (const Deployment& deployment : Deployments()) {
    for (const Scenario& scenario : kScenarios) {
      for (const NamedPolicy& policy : Policies()) {
        print(
            deployment, scenario, policy.name,
            ComputeMetrics(Simulate(deployment, scenario, policy.make, kSeed)));
      }
    }
  }
  return 0;
}

}  // namespace dogwoodlatch::bench
