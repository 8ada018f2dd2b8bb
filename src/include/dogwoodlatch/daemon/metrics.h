/// Counters, gauges and latency histograms of a process, exported as text.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "dogwoodlatch/time.h"

namespace dogwoodlatch::daemon {

/// Label of a metric with a value for each of a bounded number of names;
/// further names share the value "other".
class BoundedLabel {
 public:
  explicit BoundedLabel(std::string key) : key_(std::move(key)) {}

  /// `key="name"`.
  std::string Label(const std::string& name);

 private:
  std::string key_;
  std::set<std::string> names_;
};

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Increases a counter. `label` is empty or a list of `key="value"` pairs.
  void Count(std::string_view name, std::string_view label = "",
             uint64_t by = 1);

  /// Adds a duration to the histogram with this name and label.
  void Observe(std::string_view name, std::string_view label, Duration value);

  /// Registers a gauge; `read` is called on every export.
  void RegisterGauge(std::string name, std::function<double()> read);

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
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
