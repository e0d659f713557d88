#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornwheel::base {

/// One figure of a report.
struct MetricSample {
  std::string name;
  double value = 0;
};

/// Named counters and distributions of one process. Distributions keep
/// estimates of quantiles in constant memory.
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// Adds to a counter.
  void Count(std::string_view name, std::uint64_t amount = 1);

  /// Adds a value to a distribution.
  void Observe(std::string_view name, double value);

  /// Value of a counter; 0 when nothing was counted.
  std::uint64_t Counter(std::string_view name) const;

  /// All counters, then count, mean, maximum, median, p90 and p99 of each
  /// distribution, by name. Quantiles are left out below nine values.
  std::vector<MetricSample> Report() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
