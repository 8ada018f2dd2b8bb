#include "dogwoodlatch/daemon/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>
#include <utility>

namespace dogwoodlatch::daemon {
namespace {

namespace bh = boost::histogram;

// Bucket bounds double from 1 ms to 16 s, as deadlines are at most 15 s.
constexpr int kBuckets = 14;
constexpr double kFirstBucketMs = 1.0;
constexpr double kLastBucketMs = 16384.0;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

}  // namespace

struct Metrics::Histogram {
  decltype(bh::make_histogram(Axis())) bins =
      bh::make_histogram(Axis(kBuckets, kFirstBucketMs, kLastBucketMs));
  double sum_ms = 0;
  uint64_t count = 0;
};

// Enough for the workspaces that are limited at one router; a hostile or large
// set of names must not grow the metrics without bound.
constexpr size_t kMaxLabelValues = 64;

std::string BoundedLabel::Label(const std::string& name) {
  const bool is_known =
      names_.contains(name) ||
      (names_.size() < kMaxLabelValues && names_.insert(name).second);
  return key_ + "=\"" + (is_known ? name : std::string("other")) + "\"";
}

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, std::string_view label,
                    uint64_t by) {
  auto by_name = counters_.find(name);
  if (by_name == counters_.end()) {
    by_name = counters_.try_emplace(std::string(name)).first;
  }
  auto counter = by_name->second.find(label);
  if (counter == by_name->second.end()) {
    counter = by_name->second.try_emplace(std::string(label), 0).first;
  }
  counter->second += by;
}

void Metrics::Observe(std::string_view name, std::string_view label,
                      Duration value) {
  auto& slot = histograms_[std::string(name)][std::string(label)];
  if (!slot) slot = std::make_unique<Histogram>();
  const double ms = std::chrono::duration<double, std::milli>(value).count();
  slot->bins(ms);
  slot->sum_ms += ms;
  ++slot->count;
}

void Metrics::RegisterGauge(std::string name, std::function<double()> read) {
  gauges_[std::move(name)] = std::move(read);
}

std::string Metrics::Text() const {
  std::ostringstream out;
  const auto braces = [](const std::string& label) {
    return label.empty() ? std::string() : "{" + label + "}";
  };
  for (const auto& [name, by_label] : counters_) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [label, value] : by_label) {
      out << name << braces(label) << " " << value << "\n";
    }
  }
  for (const auto& [name, read] : gauges_) {
    out << "# TYPE " << name << " gauge\n" << name << " " << read() << "\n";
  }
  for (const auto& [name, by_label] : histograms_) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [label, histogram] : by_label) {
      const std::string comma = label.empty() ? "" : label + ",";
      const auto& axis = histogram->bins.axis(0);
      double below = histogram->bins.at(-1);
      out << name << "_bucket{" << comma << "le=\"" << axis.bin(0).lower()
          << "\"} " << below << "\n";
      for (int i = 0; i < axis.size(); ++i) {
        below += histogram->bins.at(i);
        out << name << "_bucket{" << comma << "le=\"" << axis.bin(i).upper()
            << "\"} " << below << "\n";
      }
      out << name << "_bucket{" << comma << "le=\"+Inf\"} " << histogram->count
          << "\n"
          << name << "_sum" << braces(label) << " " << histogram->sum_ms << "\n"
          << name << "_count" << braces(label) << " " << histogram->count
          << "\n";
    }
  }
  return out.str();
}

}  // namespace dogwoodlatch::daemon
