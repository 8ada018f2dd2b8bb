/// Counters and latency histograms of a process, as text for a scraper.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds one to a counter. `label` is "" or `key="value"` pairs.
  void Count(std::string_view name, std::string_view label = "");

  /// Adds a time to the histogram of that name and label.
  void Observe(std::string_view name, std::string_view label, Duration value);

  /// A value that is read whenever the metrics are.
  void RegisterGauge(std::string name, std::function<double()> read);

  /// The Prometheus text format, version 0.0.4.
  std::string Text() const;

 private:
  struct Histogram;

  std::map<std::string, std::map<std::string, uint64_t, std::less<>>,
           std::less<>>
      counters_;
  std::map<std::string, std::map<std::string, std::unique_ptr<Histogram>>>
      histograms_;
  std::map<std::string, std::function<double()>> gauges_;
};

}  // namespace dogwoodlatch::daemon
