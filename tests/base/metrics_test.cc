#include "base/metrics.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace hawthornwheel::base {
namespace {

std::map<std::string, double> ReportOf(const Metrics& metrics) {
  std::map<std::string, double> values;
  for (const MetricSample& sample : metrics.Report()) {
    values[sample.name] = sample.value;
  }
  return values;
}

TEST(MetricsTest, CounterSumsAmounts) {
  Metrics metrics;
  metrics.Count("a");
  metrics.Count("a", 4);
  EXPECT_EQ(metrics.Counter("a"), 5U);
  EXPECT_EQ(metrics.Counter("b"), 0U);
}

// Guards against a state that is reported as the sum of all states before.
TEST(MetricsTest, SetReplacesTheValue) {
  Metrics metrics;
  metrics.Set("a", 3);
  metrics.Set("a", 1);
  EXPECT_EQ(metrics.Counter("a"), 1U);
  EXPECT_EQ(ReportOf(metrics)["a"], 1);
}

TEST(MetricsTest, QuantilesAreOmittedBelowNineValues) {
  Metrics metrics;
  for (int i = 0; i < 8; ++i) metrics.Observe("d", 100);
  auto report = ReportOf(metrics);
  EXPECT_EQ(report.count("d.p50"), 0U);
  EXPECT_EQ(report["d.max"], 100);
  metrics.Observe("d", 100);
  EXPECT_EQ(ReportOf(metrics)["d.p50"], 100);
}

TEST(MetricsTest, QuantilesOfManyValuesAreAccurate) {
  Metrics metrics;
  for (int i = 0; i < 10'000; ++i) metrics.Observe("d", (i * 7919) % 1000);
  auto report = ReportOf(metrics);
  EXPECT_NEAR(report["d.p50"], 500, 20);
  EXPECT_NEAR(report["d.p99"], 990, 10);
}

}  // namespace
}  // namespace hawthornwheel::base
