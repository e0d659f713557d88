#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
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
  void Count(const std::string& name, std::uint64_t amount = 1);

  /// Adds a value to a distribution.
  void Observe(const std::string& name, double value);

  /// Value of a counter; 0 when nothing was counted.
  std::uint64_t Counter(const std::string& name) const;

  /// All counters, and count, mean, median, p99 and maximum of each
  /// distribution, in alphabetical order.
  std::vector<MetricSample> Report() const;

 private:
  class Private;
  std::unique_ptr<Private> d;
};

}  // namespace hawthornwheel::base
