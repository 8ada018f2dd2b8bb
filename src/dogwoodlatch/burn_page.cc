// Renders the burn report as one HTML page without scripts or external files.

#include <algorithm>
#include <array>
#include <numeric>
#include <sstream>

#include "burn_text.h"
#include "table.h"

namespace dogwoodlatch::cli {
namespace {

constexpr double kPlotWidth = 420;
constexpr double kPlotHeight = 140;
constexpr double kMargin = 30;
constexpr size_t kMaxConsumersShown = 10;
constexpr double kPercent = 100;

constexpr std::string_view kPageHead =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Service-level burn</title><style>"
    "body{font:14px sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;"
    "border-bottom:1px solid #ccc}.fast_burn{color:#b00}.slow_burn{color:#b60}"
    ".ok{color:#060}svg{margin-right:1em}</style></head><body>"
    "<h1>Service-level burn</h1>";

std::string EscapeHtml(std::string_view text) {
  struct Entity {
    char plain;
    std::string_view escaped;
  };
  static constexpr std::array kEntities = {
      Entity{'&', "&amp;"}, Entity{'<', "&lt;"}, Entity{'>', "&gt;"},
      Entity{'"', "&quot;"}};
  std::string out;
  for (const char c : text) {
    const auto entity = std::ranges::find(kEntities, c, &Entity::plain);
    if (entity == kEntities.end()) {
      out += c;
    } else {
      out += entity->escaped;
    }
  }
  return out;
}

void OpenPlot(std::ostream& out, std::string_view title) {
  out << "<svg width=\"" << kPlotWidth + 2 * kMargin << "\" height=\""
      << kPlotHeight + 2 * kMargin << "\" role=\"img\"><title>" << title
      << "</title><text x=\"" << kMargin << "\" y=\"18\">" << title
      << "</text><rect x=\"" << kMargin << "\" y=\"" << kMargin << "\" width=\""
      << kPlotWidth << "\" height=\"" << kPlotHeight
      << "\" fill=\"none\" stroke=\"#999\"/>";
}

double PlotY(double value, double top) {
  return kMargin + kPlotHeight * (1 - std::min(value / top, 1.0));
}

// Plots the burn rate of each bucket of the long window. The dashed line at 1
// marks the rate that spends exactly the error budget.
void PlotBurnRate(std::ostream& out, const ObjectiveBurn& burn) {
  std::vector<double> rates;
  std::ranges::transform(burn.history, std::back_inserter(rates),
                         [&](const SloCounts& counts) {
                           return BurnRate(counts, burn.objective.share);
                         });
  if (rates.empty()) return;
  const double top = std::max(2.0, *std::ranges::max_element(rates));
  OpenPlot(out, "burn rate over 6 h, at most " + FormatFixed(top, 1));
  out << "<line stroke=\"#b00\" stroke-dasharray=\"4\" x1=\"" << kMargin
      << "\" x2=\"" << kMargin + kPlotWidth << "\" y1=\"" << PlotY(1, top)
      << "\" y2=\"" << PlotY(1, top) << "\"/><polyline fill=\"none\" "
      << "stroke=\"#036\" stroke-width=\"2\" points=\"";
  const double step = kPlotWidth / static_cast<double>(rates.size());
  double x = kMargin + step / 2;
  for (const double rate : rates) {
    out << x << "," << PlotY(rate, top) << " ";
    x += step;
  }
  out << "\"/></svg>";
}

// Plots the histogram of the time to first token. The dashed line marks the
// objective's threshold.
void PlotFirstToken(std::ostream& out, const ObjectiveBurn& burn) {
  const FirstTokenAxis& axis = burn.first_token.axis();
  const auto tallest = static_cast<double>(
      *std::max_element(burn.first_token.begin(), burn.first_token.end()));
  if (tallest == 0) return;
  OpenPlot(out, "time to first token, 1 ms to 100 s, logarithmic");
  const double width = kPlotWidth / axis.size();
  for (int bin = 0; bin < axis.size(); ++bin) {
    const double y =
        PlotY(static_cast<double>(burn.first_token.at(bin)), tallest);
    out << "<rect fill=\"#69c\" x=\"" << kMargin + width * bin << "\" y=\"" << y
        << "\" width=\"" << width - 1 << "\" height=\""
        << kMargin + kPlotHeight - y << "\"/>";
  }
  if (burn.objective.is_first_token()) {
    const double seconds =
        std::chrono::duration<double>(burn.objective.first_token).count();
    const double x =
        kMargin + width * std::clamp(axis.index(seconds), 0, axis.size());
    out << "<line stroke=\"#b00\" stroke-dasharray=\"4\" x1=\"" << x
        << "\" x2=\"" << x << "\" y1=\"" << kMargin << "\" y2=\""
        << kMargin + kPlotHeight << "\"/>";
  }
  out << "</svg>";
}

void WriteTopConsumers(std::ostream& out, const ObjectiveBurn& burn) {
  const std::vector<BurnRow> rows =
      TopBudgetConsumers(burn, kMaxConsumersShown);
  if (rows.empty()) {
    out << "<p>No bad requests: the error budget is unspent.</p>";
    return;
  }
  out << "<table><tr><th>workspace</th><th>target</th><th>bad</th>"
      << "<th>requests</th></tr>";
  for (const BurnRow& row : rows) {
    out << "<tr><td>" << EscapeHtml(row.workspace.value) << "</td><td>"
        << EscapeHtml(row.target.value) << "</td><td>" << row.long_window.bad()
        << "</td><td>" << row.long_window.total << "</td></tr>";
  }
  out << "</table>";
}

void WriteSection(std::ostream& out, const ObjectiveBurn& burn) {
  const double share = burn.objective.share;
  const std::string_view state = ToString(ComputeBurnState(burn));
  out << "<h2>" << EscapeHtml(burn.objective.team + "/" + burn.objective.name)
      << " <span class=\"" << state << "\">" << state << "</span></h2><p>"
      << EscapeHtml(burn.objective.serves) << ": "
      << EscapeHtml(DescribeObjective(burn.objective)) << ". Burn rate "
      << FormatFixed(BurnRate(burn.ShortTotal(), share), 2) << " over 5 min, "
      << FormatFixed(BurnRate(burn.LongTotal(), share), 2)
      << " over 6 h; budget left "
      << FormatFixed(BudgetLeft(burn.LongTotal(), share) * kPercent, 0)
      << "%. Time to first token p50 " << FormatQuantileMs(burn, 0.5)
      << " ms, p99 " << FormatQuantileMs(burn, 0.99) << " ms.</p>";
  PlotBurnRate(out, burn);
  PlotFirstToken(out, burn);
  WriteTopConsumers(out, burn);
}

}  // namespace

std::string MakeBurnReportPage(const BurnReport& report) {
  std::ostringstream out;
  out << kPageHead;
  if (report.empty()) out << "<p>No requests with an objective yet.</p>";
  for (const ObjectiveBurn& burn : report) WriteSection(out, burn);
  out << "</body></html>\n";
  return out.str();
}

}  // namespace dogwoodlatch::cli
