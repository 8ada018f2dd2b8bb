#include "dogwoodlatch/daemon/metrics.h"

#include <catch2/catch.hpp>

namespace dogwoodlatch::daemon {

TEST_CASE("metrics are exported in the Prometheus text format") {
  Metrics metrics;
  metrics.Count("requests_total", "outcome=\"served\"");
  metrics.Count("requests_total", "outcome=\"served\"");
  metrics.RegisterGauge("age_seconds", [] { return 1.5; });
  metrics.Observe("wait_ms", "service=\"m\"", std::chrono::milliseconds(3));
  metrics.Observe("wait_ms", "service=\"m\"", std::chrono::milliseconds(40000));
  const std::string text = metrics.Text();
  CHECK(text.find("requests_total{outcome=\"served\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("age_seconds 1.5\n") != std::string::npos);
  CHECK(text.find("wait_ms_bucket{service=\"m\",le=\"4\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("wait_ms_bucket{service=\"m\",le=\"+Inf\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("wait_ms_count{service=\"m\"} 2\n") != std::string::npos);
}

}  // namespace dogwoodlatch::daemon
